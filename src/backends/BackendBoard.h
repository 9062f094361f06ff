#pragma once

#include "backends/RecentActivity.h"
#include "base/Endpoint.h"
#include "base/Time.h"

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <span>

namespace cuminrelay {

enum class BackendHealth : std::uint8_t {
    Healthy,
    Unhealthy, ///< several signals agree that it does not serve
    BeyondCut, ///< many backend servers of its zone failed at once: taken as our own fault or a cut, not theirs
};

/// What a prober learnt of one backend server, as control hands it to the entry process.
struct BackendReport {
    Endpoint m_backend {};
    BackendHealth m_health = BackendHealth::Healthy;
    bool m_shedding = false;
    std::uint32_t m_connections = 0; ///< open connections, as the backend server said
    std::uint16_t m_busySlots = 0;
    std::uint16_t m_queued = 0;
    Instant m_measuredAt {}; ///< on the clock of the VM that holds the board
};

/// The busy slots of the last few reports on one backend server. Short work comes and goes between reports, so that
/// slots which stay busy through all of them are held by long work, whichever entry VM placed it.
class BusySlotHistory {
public:
    void add(std::uint16_t busySlots);

    /// The fewest busy slots among the last reports; 0 until there were enough of them.
    std::uint16_t fewest() const;

private:
    static constexpr std::size_t s_reportCount = 5;

    std::array<std::uint16_t, s_reportCount> m_busySlots {};
    std::size_t m_next = 0;
};

/// What one entry VM believes of one backend server right now.
struct BackendStatus {
    BackendReport m_report;
    BusySlotHistory m_busySlots; ///< of m_report and the ones before it
    Deadline m_staleAt {}; ///< when m_report is too old to count; epoch while there is none
    std::uint32_t m_openedSinceReport = 0; ///< flows that this VM placed there after the report was measured
    std::uint32_t m_closedSinceReport = 0;
    std::uint32_t m_ownFlows = 0; ///< open flows that this VM placed there
    std::uint32_t m_ownStragglers = 0; ///< of these, the ones that have carried far more than short work does
    std::uint32_t m_connectionLimit = 0;
    std::uint16_t m_slots = 0;
    bool m_draining = false;
    Instant m_rampBegan {}; ///< when it was declared or came back to service
    Deadline m_rampEnds {}; ///< when its cold start is over
    Instant m_unprovenSince {}; ///< when the oldest opening that it has not answered was sent; epoch when none
    std::uint32_t m_unprovenOpenings = 0; ///< openings since then

    bool hasFreshReport(Instant now) const { return now < m_staleAt; }
};

/// What the entry VM believes of all declared backend servers. Fed by configuration, by reports and by what the packet
/// path shows; read by placement and admission. Cost: a hash look-up for each new flow, none for established packets.
class BackendBoard {
public:
    /// Declares a backend server or updates its declared values; keeps what is known of it. A new one, and one that
    /// drains no longer, begins its cold start.
    void declare(Endpoint backend, std::uint16_t slots, std::uint32_t connectionLimit, bool draining, Instant now);

    /// Forgets backend servers that are not in the list.
    void retainOnly(std::span<const Endpoint> declared);

    /// Takes a report unless a newer one is held; flows placed since it was measured stay counted on top. One that
    /// says that the backend server is healthy again begins its cold start.
    void apply(const BackendReport& report);

    /// How many entry VMs place flows at the same time, this one included: each sees an even part of the arrivals.
    void setOwnerCount(std::size_t ownerCount) { m_ownerCount = ownerCount > 0 ? ownerCount : 1; }
    std::size_t ownerCount() const { return m_ownerCount; }

    /// This VM has placed a flow there.
    void noteOpened(Endpoint backend, Instant now);

    /// A flow that this VM holds there has ended. straggler: noteStraggler was called for it.
    void noteClosed(Endpoint backend, bool straggler, Instant now);

    /// A flow that this VM holds there has carried far more than short work does.
    void noteStraggler(Endpoint backend);

    /// A caller's packet shows that the backend server has answered an opening.
    void noteProven(Endpoint backend);

    /// The status, or nullptr for an undeclared backend server.
    const BackendStatus* find(Endpoint backend) const;

    /// Open connections as estimated now: the fresh report plus what this VM placed since, scaled to all owners;
    /// without a fresh report, this VM's own flows scaled to all owners.
    double estimatedConnections(const BackendStatus& status, Instant now) const;

    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        BackendStatus m_status;
        RecentActivity m_recent;
    };

    boost::unordered_flat_map<std::uint64_t, Entry> m_entries;
    std::size_t m_ownerCount = 1;
};

} // namespace cuminrelay
