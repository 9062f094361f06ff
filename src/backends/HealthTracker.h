#pragma once

#include "backends/BackendBoard.h"
#include "base/Endpoint.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// What one probe of a backend server showed.
enum class ProbeSignal : std::uint8_t {
    Good, ///< it answered in time and says that it is healthy
    Slow, ///< it says that it is healthy, but took far longer than it should
    ReportedUnhealthy, ///< it answered that it does not serve
    NoAnswer, ///< refused, reset, timed out, or answered nonsense
};

/// A backend server that this VM probes.
struct ProbedBackend {
    Endpoint m_backend;
    std::string_view m_zone;

    friend bool operator==(const ProbedBackend&, const ProbedBackend&) = default;
};

/// Decides on the health of the backend servers that this VM probes. One bad probe never takes a backend server down
/// and one good probe never brings it back: bad signals add suspicion by their weight, and what went down stays down
/// for a while, longer each time that it went down again soon. When many backend servers of a zone stop answering at
/// about the same time, that is taken as our own fault or a cut (BeyondCut). A backend server that says itself that it
/// is unhealthy is reachable and therefore never counts towards a cut.
///
/// Knows no socket, codec or clock. Cost: O(probed backend servers) for each question.
class HealthTracker {
public:
    /// Replaces the set of probed backend servers; what is known of those that stay is kept.
    void assign(std::span<const ProbedBackend> backends);

    /// Takes the result of a probe. One of a backend server that is not assigned is ignored.
    void note(Endpoint backend, ProbeSignal signal, Instant now);

    /// The health of a backend server; Healthy for one that is not assigned.
    BackendHealth health(Endpoint backend) const;

private:
    struct State {
        std::string m_zone;
        unsigned m_suspicion = 0;
        unsigned m_goodInARow = 0;
        bool m_down = false;
        bool m_answers = true; ///< the last probe was answered
        Instant m_failingSince {}; ///< when it stopped answering; meaningful while it does not answer
        Deadline m_upNotBefore {}; ///< flap damping
        Deadline m_calmAt {}; ///< going down again before then makes the damping longer
        unsigned m_flaps = 0;
    };

    void noteGood(State& state, Instant now);
    void noteBad(State& state, unsigned weight, Instant now);
    bool failedTogether(const State& state) const;

    std::map<Endpoint, State> m_states;
};

/// An entry VM that may be chosen to probe.
struct ProberCandidate {
    Endpoint m_entry;
    std::string_view m_zone;
};

/// The entry VMs that probe a backend server: the two that rank highest in a rendezvous hash among those of its zone,
/// or among all when its zone has none. The candidates are the live entry VMs.
std::vector<Endpoint> probersOf(Endpoint backend, std::string_view zone, std::span<const ProberCandidate> candidates);

} // namespace cuminrelay
