#include "bench/BackendModel.h"

#include <algorithm>
#include <limits>

namespace cuminrelay {

BackendModel::BackendModel(Endpoint tunnel, std::uint16_t slots, std::uint32_t connectionLimit)
    : m_tunnel(tunnel)
    , m_slots(slots)
    , m_connectionLimit(connectionLimit)
{
}

bool BackendModel::connect()
{
    if (m_connections >= m_connectionLimit)
        return false;
    ++m_connections;
    return true;
}

std::optional<WorkIndex> BackendModel::startNext()
{
    if (m_queue.empty() || m_busySlots >= m_slots)
        return std::nullopt;
    const WorkIndex work = m_queue.front();
    m_queue.pop_front();
    ++m_busySlots;
    return work;
}

BackendReport BackendModel::report(Instant now) const
{
    BackendReport report;
    report.m_backend = m_tunnel;
    report.m_connections = m_connections;
    report.m_busySlots = m_busySlots;
    constexpr std::size_t largest = std::numeric_limits<std::uint16_t>::max();
    report.m_queued = static_cast<std::uint16_t>(std::min(m_queue.size(), largest));
    report.m_measuredAt = now;
    return report;
}

} // namespace cuminrelay
