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

/// Selects the reports to send in a zone that uses gossip: reports of this VM, and forwarded reports that are new to
/// it. Health changes are sent at once. Load is sent at most once in an interval that grows with the number of backend
/// servers, so that the traffic is constant, and by the prober that sent it last; another prober takes over if that one
/// misses its turn. Load reports above the limit of a heartbeat are left to other connections and to the next interval;
/// health changes have no limit. Independent of sockets, codecs and clocks.
class ReportDissemination {
public:
    /// Interval between load reports of a backend server, per backend server of the zone.
    static constexpr Duration s_loadIntervalPerBackend = std::chrono::milliseconds { 12 };

    /// Interval at which an unchanged report is sent again, unless the load interval is longer.
    static constexpr Duration s_repeatInterval = std::chrono::seconds { 5 };

    /// Time for a report to reach all VMs of the zone.
    static constexpr Duration s_propagationTime = std::chrono::seconds { 2 };

    /// self: this VM's m_peers endpoint, as a prober.
    explicit ReportDissemination(Endpoint self);

    /// Records a report of this VM if it is due to be sent.
    void recordOwn(const BackendReport& report, Instant now);

    /// Records a report of another prober that is newer than the held one. from: the peer that sent it.
    void recordForwarded(const ForwardedReport& forwarded, Endpoint from, Instant now);

    /// Removes backend servers that are not in the list.
    void retainBackends(std::span<const Endpoint> backends);

    /// Reports to send over a connection. Only the accepting end sends All: otherwise both ends would send the same.
    enum class Extent : std::uint8_t {
        All,
        OwnAndHealth, ///< reports of this VM, and health changes of all probers
    };

    /// The reports to send to a peer since the revision: health changes, and the newest others up to the limit. Leaves
    /// out reports received from the peer or measured by it. Sets revision to the current one.
    std::vector<ForwardedReport> since(std::uint64_t& revision, Endpoint peer, Extent extent, std::size_t limit) const;

private:
    using Key = std::pair<Endpoint, Endpoint>; ///< backend server, prober

    struct StoredReport {
        BackendReport m_report;
        Endpoint m_receivedFrom;
        std::uint64_t m_revision = 0;
        Deadline m_repeatAt {};
        bool m_healthChanged = false;
    };

    /// The last report of a backend server, by any prober.
    struct Latest {
        BackendReport m_report;
        Endpoint m_prober;
        Deadline m_loadDueAt {};
        Deadline m_takeoverAt {}; ///< another prober may send the load then
        Deadline m_repeatAt {};
    };

    static bool sameHealth(const BackendReport& left, const BackendReport& right);
    bool isDue(const BackendReport& report, Instant now) const;
    void record(const Key& key, const BackendReport& report, Endpoint from, Instant now);

    Endpoint m_self;
    std::map<Key, StoredReport> m_reports;
    std::map<std::uint64_t, Key> m_byRevision;
    std::map<Endpoint, Latest> m_latest;
    std::uint64_t m_revision = 0;
};

} // namespace cuminrelay
