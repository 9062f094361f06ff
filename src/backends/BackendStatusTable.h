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
    Unhealthy, ///< several probe signals show that it does not serve
    Partitioned, ///< many backend servers of its zone failed at once: assumed a fault of this VM or a network partition
};

/// Probe result for one backend server, as the control process passes it to the entry process.
struct BackendReport {
    Endpoint m_backend {};
    BackendHealth m_health = BackendHealth::Healthy;
    bool m_shedding = false;
    std::uint32_t m_connections = 0; ///< open connections, as reported by the backend server
    std::uint16_t m_busySlots = 0;
    std::uint16_t m_queued = 0;
    Instant m_measuredAt {}; ///< on the clock of the local VM
};

/// Busy slots in the last reports of one backend server. Short work starts and ends between reports; slots that are
/// busy in all of them are therefore occupied by long work, whichever entry VM placed it.
class BusySlotHistory {
public:
    void add(std::uint16_t busySlots);

    /// Returns the fewest busy slots among the last s_reportCount reports; 0 until there are that many.
    std::uint16_t fewest() const;

private:
    static constexpr std::size_t s_reportCount = 5;

    std::array<std::uint16_t, s_reportCount> m_busySlots {};
    std::size_t m_next = 0;
};

/// Status of one backend server, as estimated by one entry VM.
struct BackendStatus {
    BackendReport m_report;
    BusySlotHistory m_busySlots; ///< of m_report and the reports before it
    Deadline m_staleAt {}; ///< when m_report expires; epoch without a report
    std::uint32_t m_openedSinceReport = 0; ///< flows placed by this VM after the report was measured
    std::uint32_t m_closedSinceReport = 0;
    std::uint32_t m_ownFlows = 0; ///< open flows placed by this VM
    std::uint32_t m_ownStragglers = 0; ///< own flows that have carried far more data than short work does
    std::uint32_t m_connectionLimit = 0;
    std::uint16_t m_slots = 0;
    bool m_draining = false;
    Instant m_coldStartBegan {}; ///< when it was declared or returned to service
    Deadline m_coldStartEnds {};
    Instant m_unansweredSince {}; ///< when the oldest unanswered opening packet was sent; epoch without one
    std::uint32_t m_unansweredOpenings = 0; ///< opening packets since then

    bool hasFreshReport(Instant now) const { return now < m_staleAt; }
};

/// Status of all declared backend servers on one entry VM. Updated by the configuration, by reports and by the packet
/// path; read by placement and admission. Cost: one hash look-up per new flow, none for packets of established flows.
class BackendStatusTable {
public:
    /// Declares a backend server or updates its declared values; the rest of its status is kept. A new backend server,
    /// and one that no longer drains, begins its cold start.
    void declare(Endpoint backend, std::uint16_t slots, std::uint32_t connectionLimit, bool draining, Instant now);

    /// Removes backend servers that are not in the list.
    void retainOnly(std::span<const Endpoint> declared);

    /// Applies a report unless a newer one is held; flows placed after its measurement are added on top. An unhealthy
    /// backend server that is reported healthy begins its cold start.
    void apply(const BackendReport& report);

    /// Sets the number of entry VMs that place flows, this one included; each receives an even part of the new flows.
    void setOwnerCount(std::size_t ownerCount) { m_ownerCount = ownerCount > 0 ? ownerCount : 1; }
    std::size_t ownerCount() const { return m_ownerCount; }

    /// Records a flow that this VM placed on the backend server.
    void recordOpened(Endpoint backend, Instant now);

    /// Records the end of a flow of this VM. straggler: recordStraggler was called for the flow.
    void recordClosed(Endpoint backend, bool straggler, Instant now);

    /// Records that a flow of this VM has carried far more data than short work does.
    void recordStraggler(Endpoint backend);

    /// Resets the unanswered opening packets: a caller's packet proves an answer of the backend server.
    void recordAnsweredOpening(Endpoint backend);

    /// Returns the status, or nullptr for an undeclared backend server.
    const BackendStatus* find(Endpoint backend) const;

    /// Returns the estimated open connections: the fresh report plus this VM's opened less closed flows since, scaled
    /// to all owners; without a fresh report, this VM's open flows scaled to all owners.
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
