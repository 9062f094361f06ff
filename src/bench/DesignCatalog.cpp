#include "bench/DesignCatalog.h"

#include "admission/UnlimitedAdmission.h"
#include "base/Assert.h"
#include "bench/BaselineDesigns.h"
#include "bench/OwnerDesign.h"
#include "bench/TokenDesign.h"
#include "placement/BoundedLoadPlacement.h"
#include "placement/DefaultOnlyPlacement.h"

#include <array>

namespace cuminrelay {

namespace {

    constexpr std::array<std::string_view, 8> c_names { "owner", "carried", "owner-without-copies",
        "owner-default-only", "modulo", "connection-table", "horizon-tracking", "carried-by-hash" };

    PolicyFactory boundedLoad()
    {
        return { [] { return std::make_unique<BoundedLoadPlacement>(); },
            [] { return std::make_unique<UnlimitedAdmission>(); } };
    }

    PolicyFactory defaultOnly()
    {
        return { [] { return std::make_unique<DefaultOnlyPlacement>(); },
            [] { return std::make_unique<UnlimitedAdmission>(); } };
    }

    /// Returns the configuration in which every declared backend server serves. Horizon tracking needs it in advance.
    Configuration horizonOf(const FleetProfile& profile)
    {
        Configuration horizon = makeConfiguration(profile);
        for (BackendServer& server : horizon.m_backendServers)
            server.m_labels["tier"] = "serving";
        return horizon;
    }

} // namespace

std::span<const std::string_view> designNames()
{
    return c_names;
}

std::unique_ptr<FleetDesign> makeDesign(
    std::string_view name, const FleetProfile& profile, std::span<const Endpoint> vms, FleetNetwork& network)
{
    const std::string text { name };
    if (name == "owner")
        return std::make_unique<OwnerDesign>(text, vms, network, boundedLoad());
    if (name == "owner-without-copies")
        return std::make_unique<OwnerDesign>(text, vms, network, boundedLoad(), OwnerDesign::Replication::None);
    if (name == "owner-default-only")
        return std::make_unique<OwnerDesign>(text, vms, network, defaultOnly());
    if (name == "modulo")
        return std::make_unique<ModuloDesign>(vms.size());
    if (name == "connection-table")
        return std::make_unique<ConnectionTableDesign>(vms.size());
    if (name == "horizon-tracking")
        return std::make_unique<HorizonDesign>(vms.size(), horizonOf(profile));
    if (name == "carried")
        return std::make_unique<TokenDesign>(vms, profile.m_zones, network);
    CR_ASSERT(name == "carried-by-hash", "a design that designNames() lists");
    return std::make_unique<TokenByHashDesign>(vms.size());
}

} // namespace cuminrelay
