#include "standins/HostWork.h"

#include <algorithm>

namespace cuminrelay::standins {

namespace asio = boost::asio;

namespace {

    bool isPastDeadline(const WorkRequest& request)
    {
        return request.m_deadlineUnixMs != 0 && unixMilliseconds() >= request.m_deadlineUnixMs;
    }

    Deadline startDeadline(const WorkRequest& request)
    {
        if (request.m_deadlineUnixMs == 0)
            return Deadline::max();
        return now() + std::chrono::milliseconds { request.m_deadlineUnixMs - unixMilliseconds() };
    }

} // namespace

asio::awaitable<WorkStatus> HostWork::run(WorkRequest request)
{
    if (m_shedding || m_queue.size() >= m_options.m_queueLimit)
        co_return WorkStatus::Shed;
    WorkItem workItem { request.m_id };
    m_workItems.insert(&workItem);
    WorkStatus status = co_await waitForSlot(request, workItem);
    if (status == WorkStatus::Done)
        status = co_await occupySlot(request, workItem);
    m_workItems.erase(&workItem);
    m_changed.notify();
    co_return status;
}

asio::awaitable<WorkStatus> HostWork::waitForSlot(const WorkRequest& request, WorkItem& workItem)
{
    m_queue.push_back(&workItem);
    const Deadline deadline = startDeadline(request);
    WorkStatus status = WorkStatus::Done;
    while (true) {
        if (workItem.m_cancelled)
            status = WorkStatus::Cancelled;
        else if (isPastDeadline(request))
            status = WorkStatus::DeadlineExceeded;
        else if (m_queue.front() != &workItem || m_busySlots >= m_options.m_slots) {
            co_await m_changed.waitUntil(deadline);
            continue;
        }
        break;
    }
    m_queue.remove(&workItem);
    m_changed.notify();
    co_return status;
}

asio::awaitable<WorkStatus> HostWork::occupySlot(const WorkRequest& request, WorkItem& workItem)
{
    ++m_busySlots;
    m_records.push_back({ request.m_id, request.m_kind, unixMilliseconds() });
    const Instant start = now();
    const std::uint64_t factor = start < m_options.m_coldStartEnd ? m_options.m_coldStartFactor : 1;
    const Deadline end = start + std::chrono::milliseconds { request.m_workMs * factor };
    while (!workItem.m_cancelled && now() < end)
        co_await m_changed.waitUntil(end);
    --m_busySlots;
    co_return workItem.m_cancelled ? WorkStatus::Stopped : WorkStatus::Done;
}

bool HostWork::cancel(std::string_view id)
{
    const auto found = std::find_if(
        m_workItems.begin(), m_workItems.end(), [&](const WorkItem* workItem) { return workItem->m_id == id; });
    if (found == m_workItems.end())
        return false;
    (*found)->m_cancelled = true;
    m_changed.notify();
    return true;
}

} // namespace cuminrelay::standins
