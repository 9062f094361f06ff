#pragma once

#include "bench/BaselineDesigns.h"

#include <map>
#include <string>
#include <vector>

namespace cuminrelay {

/// Sends a new flow to the backend server of the local zone to which this VM sent the fewest opening packets recently,
/// and later packets to the backend server of their token. VMs exchange no messages.
class NaiveAffinityDesign final : public LocalDesign {
public:
    /// zones: assigned to the VMs round robin.
    NaiveAffinityDesign(std::size_t vmCount, std::span<const std::string> zones);

    std::string_view name() const override { return "naive-affinity"; }
    void installConfiguration(VmIndex vm, const Configuration& configuration, Instant now) override;
    FleetOutcome route(VmIndex vm, const PacketSummary& packet, Instant now) override;

protected:
    Endpoint choose(VmIndex vm, const PacketSummary& packet, FlowHash hash) override;

private:
    struct Opening {
        Endpoint m_backend;
        Instant m_at {};
    };

    std::size_t countRecentOpenings(VmIndex vm, Endpoint backend) const;

    std::vector<std::string> m_zones; ///< by VM
    std::map<Endpoint, std::string> m_backendZones;
    std::vector<std::vector<Opening>> m_recentOpenings; ///< by VM
    boost::unordered_flat_map<std::uint64_t, Endpoint> m_tokenBackends;
    Instant m_now {};
};

} // namespace cuminrelay
