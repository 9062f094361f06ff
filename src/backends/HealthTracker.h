#pragma once

#include "backends/BackendStatusTable.h"
#include "base/Endpoint.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// Outcome of one probe of a backend server.
enum class ProbeSignal : std::uint8_t {
    Good, ///< answered in time and reported healthy
    Slow, ///< reported healthy, but answered late
    ReportedUnhealthy, ///< answered that it does not serve
    NoAnswer, ///< refused, reset, timed out, or a malformed answer
};

/// A backend server that this VM probes.
struct ProbedBackend {
    Endpoint m_backend;
    std::string_view m_zone;

    friend bool operator==(const ProbedBackend&, const ProbedBackend&) = default;
};

/// Determines the health of the backend servers that this VM probes. One bad probe never marks a backend server down
/// and one good probe never marks it up: bad signals add suspicion by their weight, and a backend server stays down for
/// a minimum time, which doubles when it goes down again soon. When more than half of a zone's backend servers, or all
/// probed ones, stop answering at about the same time, a fault of this VM or a network partition is assumed
/// (Partitioned). A backend server that reports itself unhealthy is reachable and never counts towards a partition.
///
/// Independent of sockets, codecs and clocks. Cost: O(probed backend servers) per call of health().
class HealthTracker {
public:
    /// Replaces the set of probed backend servers; the state of those in both sets is kept.
    void assign(std::span<const ProbedBackend> backends);

    /// Applies the result of a probe; ignored for a backend server that is not assigned.
    void record(Endpoint backend, ProbeSignal signal, Instant now);

    /// Returns the health of a backend server; Healthy if it is not assigned.
    BackendHealth health(Endpoint backend) const;

private:
    struct State {
        std::string m_zone;
        unsigned m_suspicion = 0;
        unsigned m_consecutiveGood = 0;
        bool m_down = false;
        bool m_isAnswering = true; ///< the last probe was answered
        Instant m_failingSince {}; ///< when it stopped answering; valid while m_isAnswering is false
        Deadline m_earliestRecovery {}; ///< end of the minimum down time
        Deadline m_flapWindowEnds {}; ///< going down before then doubles the minimum
        unsigned m_flaps = 0;
    };

    void recordGoodSignal(State& state, Instant now);
    void recordBadSignal(State& state, unsigned weight, Instant now);
    bool isCorrelatedFailure(const State& state) const;

    std::map<Endpoint, State> m_states;
};

/// An entry VM that may be selected as a prober.
struct ProberCandidate {
    Endpoint m_entry;
    std::string_view m_zone;
};

/// Selects the entry VMs that probe a backend server: the two with the highest rendezvous hash in its zone, or among
/// all candidates when its zone has none. candidates: the live entry VMs.
std::vector<Endpoint> probersOf(Endpoint backend, std::string_view zone, std::span<const ProberCandidate> candidates);

} // namespace cuminrelay
