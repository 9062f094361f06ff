#pragma once

#include "backends/BackendStatusTable.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace cuminrelay {

/// Caches backend server reports of this VM's probes and of peers. A backend server that any prober reaches is healthy:
/// failures of other probers lie in their network paths. Independent of sockets, codecs and clocks.
class ReportCache {
public:
    /// Lifetime of a report that is not repeated; above the repeat interval of unchanged reports.
    static constexpr Duration s_expiry = std::chrono::seconds { 15 };

    /// Interval at which an unchanged report of this VM is sent to peers again.
    static constexpr Duration s_repeatInterval = std::chrono::seconds { 5 };

    /// self: this VM's m_peers endpoint, as a prober.
    explicit ReportCache(Endpoint self);

    /// Whether a report differs from the held one by enough to be sent.
    static bool differsSignificantly(const BackendReport& held, const BackendReport& report);

    /// Applies a report of a prober unless it is older than the held one. Returns whether it is of a newer measurement.
    bool apply(Endpoint prober, const BackendReport& report, Instant now);

    /// Removes the reports of probers that are not in the list, except those of this VM.
    void retainProbers(std::span<const Endpoint> members);

    /// Sets the reachable probers. Reports of others are ignored until they are reachable or report again.
    void setReachable(std::span<const Endpoint> probers);

    /// Removes backend servers that are not in the list.
    void retainBackends(std::span<const Endpoint> backends);

    /// The merged reports that changed since the last call; for the entry process of this VM.
    std::vector<BackendReport> takeChanged(Instant now);

    /// Marks all merged reports as changed, for a restarted entry process.
    void markAllChanged();

    /// This VM's own reports to send to peers since the revision. Sets revision to the current one.
    std::vector<BackendReport> ownSince(std::uint64_t& revision) const;

    /// The merged reports of all backend servers.
    std::vector<BackendReport> all(Instant now) const;

private:
    struct HeldReport {
        BackendReport m_report;
        Deadline m_expiresAt {};
        bool m_isProberReachable = true;
    };

    /// The last report of this VM that was due to be sent.
    struct PublishedReport {
        BackendReport m_report;
        std::uint64_t m_revision = 0;
        Deadline m_repeatAt {};
    };

    struct Entry {
        std::map<Endpoint, HeldReport> m_byProber;
        bool m_changed = false;
    };

    static BackendReport merge(const Entry& entry, Instant now);
    void recordOwn(const BackendReport& report, Instant now);

    Endpoint m_self;
    std::map<Endpoint, Entry> m_entries;
    std::map<Endpoint, PublishedReport> m_published;
    std::uint64_t m_revision = 0;
};

} // namespace cuminrelay
