#pragma once

#include "placement/PlacementPolicy.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cuminrelay {

/// Keeps the default backend server unless there is a reason to leave it. Otherwise draws a few eligible backend
/// servers by the flow's hash and takes the least loaded of them.
///
/// Reasons to leave the default: it is not eligible; its estimated connections are clearly above the mean of the
/// eligible backend servers; stragglers occupy its slots or its queue is an outlier; it is in its cold start and the
/// flow falls outside its growing share; or none of its recent opening packets was answered. A reason that holds
/// for most candidates (stragglers and queues: for all) does not discriminate and is ignored.
///
/// While half of the backend servers are idle, waits come from stragglers rather than from load. Then slots that are
/// busy in several consecutive reports count as occupied by stragglers of any entry VM. A queue that exceeds the slots,
/// or stragglers in all slots, keep new flows away. A backend server with some slots occupied gives up a part of its
/// flows. Fewer connections above the mean are allowed, because own flows that do not end show a queue before a report.
///
/// Draws by the flow's hash keep entry VMs that hold the same reports from choosing the same backend server.
/// Cost: O(backend servers of the service) per new flow; allocates only for a service larger than any before.
class BoundedLoadPlacement final : public PlacementPolicy {
public:
    struct Parameters {
        double m_loadFactor = 1.12; ///< allowed connections of a default, as a multiple of the mean
        double m_loadSlack = 8; ///< connections allowed in addition; matters while the mean is small
        std::size_t m_choices = 2; ///< eligible backend servers drawn per flow
        double m_coldShare = 0.1; ///< fraction of the even share at the beginning of a cold start
        double m_idleConnections = 8; ///< maximum connections of an idle backend server, which has no queue
        double m_idleLoadSlack = 4; ///< replaces m_loadSlack while half of the backend servers are idle
        std::size_t m_idleChoices = 4; ///< replaces m_choices while half of the backend servers are idle
        double m_occupiedShare = 0.7; ///< fraction of its flows that a default keeps while stragglers occupy some slots
        double m_queueFactor = 2; ///< a queue is an outlier above this multiple of the mean queue
        double m_unresponsiveShare = 0.0625; ///< fraction of its flows that an unresponsive default keeps
    };

    BoundedLoadPlacement() = default;
    explicit BoundedLoadPlacement(const Parameters& parameters)
        : m_parameters(parameters)
    {
    }

    std::optional<Endpoint> choose(
        const PlacementRequest& request, const BackendStatusTable& backendStatuses, Instant now) override;

private:
    enum class Occupancy : std::uint8_t {
        None,
        SomeSlots, ///< stragglers occupy some slots
        AllSlots, ///< stragglers occupy all slots, or the queue is an outlier
    };

    struct Candidate {
        Endpoint m_backend;
        const BackendStatus* m_status = nullptr;
        double m_connections = 0;
        double m_share = 1; ///< fraction of its even share; below 1 during its cold start
        bool m_hasFreshReport = false;
        double m_occupiedSlots = 0; ///< slots occupied by stragglers
        Occupancy m_occupancy = Occupancy::None;
        bool m_isBusy = false;
        bool m_isUnresponsive = false;
        bool m_isImplausible = false; ///< has far fewer connections than the others
    };

    void collectEligible(const PlacementRequest& request, const BackendStatusTable& backendStatuses, Instant now);
    void markImplausibleLoads();
    bool isHalfIdle() const;
    void markOccupiedSlots();
    void markBusy();
    void ignoreMajorityReasons();
    bool keepsDefault(const Candidate& candidate, std::uint64_t flowHash) const;
    const Candidate& drawLeastLoaded(std::uint64_t flowHash) const;

    /// Returns the estimated connections; while half of the backend servers are idle, waiting ones plus the
    /// new one per free slot.
    double loadOf(const Candidate& candidate) const;

    Parameters m_parameters;
    std::vector<Candidate> m_eligible; // kept to avoid an allocation per call
    double m_meanConnections = 0;
    bool m_hasIdleHalf = false;
    bool m_anyUnoccupied = false;
};

} // namespace cuminrelay
