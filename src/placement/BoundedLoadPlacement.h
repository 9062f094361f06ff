#pragma once

#include "placement/PlacementPolicy.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cuminrelay {

/// Keeps the default unless there is a reason to leave it, then takes the least loaded of a few eligible backend
/// servers drawn by the flow's hash.
///
/// Reasons to leave the default: it is not eligible; its estimated connections are clearly above the mean of the
/// eligible ones; its slots are busy with stragglers or its queue stands out; it is in its cold start and the flow
/// falls outside its growing share; its recent openings all stay unanswered. When a reason holds for most candidates at
/// once it distinguishes nothing and is ignored.
///
/// While half of the backend servers are idle, waits come from stragglers rather than from load, and more is told
/// apart: slots that stay busy over several reports are held, whoever placed the straggler; a queue that exceeds the
/// slots, or stragglers in all of them, keep new work away; one with some slots held gives up a part of its flows; and
/// fewer connections above the mean are allowed, because own flows that do not end show a queue before a report.
///
/// Draws by the flow's hash spread the flows that leave a default, so that entry VMs with the same reports do not herd.
/// Cost: O(backend servers of the service) for each new flow; no allocation once the largest service was seen.
class BoundedLoadPlacement final : public PlacementPolicy {
public:
    struct Parameters {
        double m_loadFactor = 1.12; ///< connections of a default may exceed the mean by this factor
        double m_loadSlack = 8; ///< and by this many connections, which matters while there are few
        std::size_t m_choices = 2; ///< how many eligible backend servers are drawn
        double m_coldShare = 0.1; ///< part of its even share that a backend server gets as its cold start begins
        double m_idleConnections = 8; ///< an idle backend server has no queue and at most this many connections
        double m_idleLoadSlack = 4; ///< in place of m_loadSlack while half of the backend servers are idle
        std::size_t m_idleChoices = 4; ///< likewise in place of m_choices
        double m_heldShare = 0.7; ///< part of its flows that one keeps while stragglers hold some of its slots
        double m_queueFactor = 2; ///< a queue stands out above the mean queue by this factor
        double m_probeShare = 0.0625; ///< part of its flows that a backend server with unanswered openings still gets
    };

    BoundedLoadPlacement() = default;
    explicit BoundedLoadPlacement(const Parameters& parameters)
        : m_parameters(parameters)
    {
    }

    std::optional<Endpoint> choose(const PlacementRequest& request, const BackendBoard& board, Instant now) override;

private:
    enum class Hold : std::uint8_t {
        None,
        SomeSlots, ///< stragglers hold some slots
        AllSlots, ///< stragglers hold all slots, or the queue stands out
    };

    struct Candidate {
        Endpoint m_backend;
        const BackendStatus* m_status = nullptr;
        double m_connections = 0;
        double m_share = 1; ///< of its even share, while its cold start lasts
        bool m_hasFreshReport = false;
        double m_heldSlots = 0; ///< by stragglers
        Hold m_hold = Hold::None;
        bool m_isBusy = false;
        bool m_isSilent = false;
        bool m_isImplausible = false; ///< reports far fewer connections than the others
    };

    void collectEligible(const PlacementRequest& request, const BackendBoard& board, Instant now);
    void distrustIdleReports();
    bool isHalfIdle() const;
    void markHeldSlots();
    void markBusy();
    void ignoreCommonReasons();
    bool keepsDefault(const Candidate& candidate, std::uint64_t flowHash) const;
    const Candidate& drawLeastLoaded(std::uint64_t flowHash) const;

    /// By which candidates are compared.
    double loadOf(const Candidate& candidate) const;

    Parameters m_parameters;
    std::vector<Candidate> m_eligible; // reused by each call
    double m_meanConnections = 0;
    bool m_hasIdleHalf = false;
    bool m_anyWithoutHold = false;
};

} // namespace cuminrelay
