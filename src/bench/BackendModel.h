#pragma once

#include "backends/BackendStatusTable.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace cuminrelay {

/// Index of a piece of work in an experiment.
using WorkIndex = std::size_t;

/// Queueing model of a backend server: slots, a first-in first-out queue, and a connection limit.
class BackendModel {
public:
    BackendModel(Endpoint tunnel, std::uint16_t slots, std::uint32_t connectionLimit);

    /// Opens a connection. Returns false if the limit is reached.
    bool connect();
    void disconnect() { --m_connections; }

    /// Queues a piece of work of an open connection.
    void enqueue(WorkIndex work) { m_queue.push_back(work); }

    /// Moves the first queued piece of work to a free slot. Returns nullopt without a free slot or queued work.
    std::optional<WorkIndex> startNext();
    void freeSlot() { --m_busySlots; }

    std::uint32_t connections() const { return m_connections; }

    /// Returns the answer to a probe.
    BackendReport report(Instant now) const;

private:
    Endpoint m_tunnel;
    std::uint16_t m_slots;
    std::uint32_t m_connectionLimit;
    std::uint32_t m_connections = 0;
    std::uint16_t m_busySlots = 0;
    std::deque<WorkIndex> m_queue;
};

} // namespace cuminrelay
