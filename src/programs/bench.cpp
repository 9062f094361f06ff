#include "admission/AdmissionPolicy.h"
#include "bench/BaselineDesigns.h"
#include "bench/FlowExperiment.h"
#include "bench/OwnerDesign.h"
#include "placement/BoundedLoadPlacement.h"
#include <fmt/format.h>
using namespace cuminrelay;
struct All : AdmissionPolicy { Admission admit(std::span<const Endpoint>, const BackendBoard&, std::size_t, Instant) override { return Admission::Admitted; } };
int main(int argc, char** argv) {
    unsigned long seed = argc > 1 ? atoi(argv[1]) : 1;
    unsigned k = argc>2?atoi(argv[2]):1; for (int d = 0; d < 1; ++d) {
        FlowExperimentSettings s; s.m_profile = *findFleetProfile("shirakaba"); s.m_seed = seed; s.m_faults = { { Instant { std::chrono::seconds { 15 } }, (FaultKind)k } };
        s.m_length = std::chrono::seconds{40};
        FlowExperiment e(s, [&](std::span<const Endpoint> a, FleetNetwork& n) -> std::unique_ptr<FleetDesign> {
            PolicyFactory f { [] { return std::make_unique<BoundedLoadPlacement>(); }, [] { return std::make_unique<All>(); } };
            if (d == 0) return std::make_unique<OwnerDesign>("owner", a, n, f);
            if (d == 1) return std::make_unique<OwnerDesign>("owner-nocopy", a, n, f, OwnerDesign::Copies::None);
            if (d == 2) return std::make_unique<ModuloDesign>(a.size());
            if (d == 3) return std::make_unique<ConnectionTableDesign>(a.size());
            if (d == 4) { Configuration c = makeConfiguration(s.m_profile); for (auto& b : c.m_backendServers) b.m_labels["tier"] = "serving"; return std::make_unique<HorizonDesign>(a.size(), c); }
            return std::make_unique<CarriedIdentityDesign>(a.size());
        });
        FlowExperimentResult r = e.run();
        std::string drops; for (auto& [a, b] : r.m_drops) drops += fmt::format("{}={} ", reasonName(a), b);
        fmt::print("{:18} d{} flows {:6} refused {} never {} reset {} stall {} dead {} est {} misr {} twice {} pk {} hops {:.2f} relay {} ctl {} held {} live {} imb {:.2f} {}\n", faultName((FaultKind)k), d, r.m_flows, r.m_refused, r.m_neverOpened, r.m_brokenByReset, r.m_brokenByStall, r.m_brokenOnDeadBackend, r.m_brokenEstablished, r.m_misrouted, r.m_openedTwice, r.m_packets, double(r.m_hops) / r.m_packets, r.m_relayedPackets, r.m_controlBytes, r.m_heldFlows, r.m_liveFlows, r.m_worstImbalance, drops);
    }
}
