#pragma once

#include "backends/BackendStatusTable.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace cuminrelay {

/// What is known of the backend servers: this VM's own probes and what peers said of theirs. A backend server that any
/// prober reaches is healthy: the others' trouble is on their way to it. Knows no socket, codec or clock.
class ReportBook {
public:
    /// A report that nobody repeated for this long is left out. Unchanged reports are repeated more often than that.
    static constexpr Duration s_expiry = std::chrono::seconds { 15 };

    /// How often an unchanged report of this VM is repeated to peers.
    static constexpr Duration s_repeat = std::chrono::seconds { 5 };

    /// self: this VM's m_peers endpoint, as a prober.
    explicit ReportBook(Endpoint self);

    /// Whether a report says something else than the held one that is worth a message.
    static bool differsNoticeably(const BackendReport& held, const BackendReport& report);

    /// Takes a report of a prober; an older one than the held is ignored. Returns whether it is newer than the held
    /// one.
    bool apply(Endpoint prober, const BackendReport& report, Instant now);

    /// Forgets the reports of probers that are not known; this VM's own stay.
    void retainProbers(std::span<const Endpoint> known);

    /// Says which probers are reachable. Reports of others do not count until they are, or until they report again.
    void setReachable(std::span<const Endpoint> probers);

    /// Forgets backend servers that are not in the list.
    void retainBackends(std::span<const Endpoint> backends);

    /// The merged reports that changed since the last call; for the own entry process.
    std::vector<BackendReport> takeChanged(Instant now);

    /// Makes all merged reports count as changed, for an entry process that knows none.
    void markAllChanged();

    /// This VM's own reports that changed enough to tell peers since the revision, which is moved on.
    std::vector<BackendReport> ownSince(std::uint64_t& revision) const;

    /// The merged reports of all backend servers.
    std::vector<BackendReport> all(Instant now) const;

private:
    struct Held {
        BackendReport m_report;
        Deadline m_expiresAt {};
        bool m_counts = true; ///< its prober is reachable
    };

    /// An own report as it was last worth telling.
    struct Told {
        BackendReport m_report;
        std::uint64_t m_revision = 0;
        Deadline m_repeatAt {};
    };

    struct Entry {
        std::map<Endpoint, Held> m_byProber;
        bool m_changed = false;
    };

    static BackendReport merge(const Entry& entry, Instant now);
    void noteOwn(const BackendReport& report, Instant now);

    Endpoint m_self;
    std::map<Endpoint, Entry> m_entries;
    std::map<Endpoint, Told> m_told;
    std::uint64_t m_revision = 0;
};

} // namespace cuminrelay
