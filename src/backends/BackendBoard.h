#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"

#include <boost/unordered/unordered_flat_map.hpp>
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
    Endpoint m_backend;
    BackendHealth m_health = BackendHealth::Healthy;
    bool m_shedding = false;
    std::uint32_t m_connections = 0; ///< open connections, as the backend server said
    std::uint16_t m_busySlots = 0;
    std::uint16_t m_queued = 0;
    Instant m_measuredAt {}; ///< on the clock of the VM that holds the board
};

/// What one entry VM believes of one backend server right now.
struct BackendStatus {
    BackendReport m_report;
    std::uint32_t m_openedSinceReport = 0; ///< flows that this VM placed there after the report was measured
    std::uint32_t m_closedSinceReport = 0;
    std::uint32_t m_ownFlows = 0; ///< open flows that this VM placed there
    std::uint32_t m_ownStragglers = 0; ///< of these, the ones that have carried far more than short work does
    std::uint32_t m_connectionLimit = 0;
    std::uint16_t m_slots = 0;
    bool m_draining = false;
    Instant m_firstSeen {}; ///< when it was declared; the start of its cold-start ramp
    Instant m_unprovenSince {}; ///< when the oldest opening that it has not answered was sent; epoch when none
};

/// What the entry VM believes of all declared backend servers. Fed by configuration, by reports and by what the packet
/// path shows; read by placement and admission. Cost: a hash look-up for each new flow, none for established packets.
class BackendBoard {
public:
    /// Declares a backend server or updates its declared values; keeps what is known of it.
    void declare(Endpoint backend, std::uint16_t slots, std::uint32_t connectionLimit, bool draining, Instant now);

    /// Forgets backend servers that are not in the list.
    void retainOnly(std::span<const Endpoint> declared);

    /// Takes a report unless a newer one is held; flows placed since it was measured stay counted on top.
    void apply(const BackendReport& report);

    void noteOpened(Endpoint backend);
    void noteClosed(Endpoint backend, bool straggler);
    void noteStraggler(Endpoint backend);

    /// The status, or nullptr for an undeclared backend server.
    const BackendStatus* find(Endpoint backend) const;

    std::size_t size() const { return m_statuses.size(); }

private:
    boost::unordered_flat_map<std::uint64_t, BackendStatus> m_statuses;
};

} // namespace cuminrelay
