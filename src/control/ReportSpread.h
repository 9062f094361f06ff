#pragma once

#include "backends/BackendStatusTable.h"
#include "base/Time.h"
#include "members/HeartbeatMessage.h"

#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace cuminrelay {

/// Which reports to tell in a zone whose members pass on what they hear: this VM's own that are worth it, and those of
/// others that are new here. Health is told at once; load at most once in an interval that grows with the number of
/// backend servers, by the prober that told it last, so that the traffic stays the same; another prober takes over when
/// that one misses its turn. What a heartbeat has no room for is left to other connections and to the next telling;
/// changes of health always find room. Knows no socket, codec or clock.
class ReportSpread {
public:
    /// Time between two tellings of a backend server's load, for each backend server of the zone.
    static constexpr Duration s_loadIntervalPerBackend = std::chrono::milliseconds { 12 };

    /// How often an unchanged report is told again, or less often where the load interval is longer.
    static constexpr Duration s_repeat = std::chrono::seconds { 5 };

    /// What a report takes to reach all VMs of the zone.
    static constexpr Duration s_spreading = std::chrono::seconds { 2 };

    /// self: this VM's m_peers endpoint, as a prober.
    explicit ReportSpread(Endpoint self);

    /// Takes a report of this VM.
    void offerOwn(const BackendReport& report, Instant now);

    /// Takes a report of another prober that is newer than what was held, as told by from.
    void pass(const ForwardedReport& passed, Endpoint from, Instant now);

    /// Forgets backend servers that are not in the list.
    void retainBackends(std::span<const Endpoint> backends);

    /// Which reports a connection carries: its two ends would otherwise tell each other the same ones.
    enum class Extent : std::uint8_t {
        All,
        OwnAndHealth, ///< this VM's own, and changes of health
    };

    /// The reports to tell a peer since the revision, which is moved on: changes of health, and the newest others up to
    /// the limit. What the peer told itself is left out.
    std::vector<ForwardedReport> since(std::uint64_t& revision, Endpoint peer, Extent extent, std::size_t limit) const;

private:
    using Key = std::pair<Endpoint, Endpoint>; ///< backend server, prober

    struct Told {
        BackendReport m_report;
        Endpoint m_from;
        std::uint64_t m_revision = 0;
        Deadline m_repeatAt {};
        bool m_healthChanged = false;
    };

    /// What was last told of a backend server, by any prober.
    struct Latest {
        BackendReport m_report;
        Endpoint m_prober;
        Deadline m_loadDueAt {};
        Deadline m_takenOverAt {}; ///< when another prober tells its load instead
        Deadline m_repeatAt {};
    };

    static bool sameHealth(const BackendReport& left, const BackendReport& right);
    bool isWorthTelling(const BackendReport& report, Instant now) const;
    void note(const Key& key, const BackendReport& report, Endpoint from, Instant now);

    Endpoint m_self;
    std::map<Key, Told> m_told;
    std::map<std::uint64_t, Key> m_byRevision;
    std::map<Endpoint, Latest> m_latest;
    std::uint64_t m_revision = 0;
};

} // namespace cuminrelay
