#pragma once

#include "backends/BackendStatusTable.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace cuminrelay {

/// Position of a piece of work in an experiment.
using WorkIndex = std::size_t;

/// A backend server as a queueing model: slots, a first-in first-out queue before them, and a limit of connections.
class BackendModel {
public:
    BackendModel(Endpoint tunnel, std::uint16_t slots, std::uint32_t connectionLimit);

    /// Takes a connection, unless the limit is reached.
    bool connect();
    void disconnect() { --m_connections; }

    /// Queues a piece of work that is connected.
    void enqueue(WorkIndex work) { m_queue.push_back(work); }

    /// Takes a free slot for the first piece of work in the queue; nothing when there is no slot or no work.
    std::optional<WorkIndex> startNext();
    void finish() { --m_busySlots; }

    std::uint32_t connections() const { return m_connections; }

    /// What it says when it is probed.
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
