#include "standins/FaultMarks.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <iterator>

namespace cuminrelay::standins {

namespace json = boost::json;

namespace {

    constexpr Duration c_establishedAge = std::chrono::seconds { 2 };

    /// Upper bound of the gap between packets of an intact flow of the callers.
    constexpr Duration c_quietLimit = std::chrono::seconds { 1 };

    bool wasEstablished(Instant opened, Instant mark)
    {
        return opened + c_establishedAge < mark;
    }

} // namespace

FaultMarks::FaultMarks()
{
    m_faults.emplace_back().m_name = "start";
}

void FaultMarks::mark(std::string_view name, Instant now, std::int64_t unixMs)
{
    FaultReport fault;
    fault.m_name = name;
    fault.m_at = now;
    fault.m_unixMs = unixMs;
    const auto younger = m_open.lower_bound(now - c_establishedAge);
    fault.m_established = static_cast<std::uint64_t>(std::distance(m_open.begin(), younger));
    fault.m_younger = m_open.size() - fault.m_established;
    m_faults.push_back(std::move(fault));
}

void FaultMarks::flowOpened(Instant now)
{
    m_open.insert(now);
    ++current().m_younger;
}

void FaultMarks::flowEnded(const FlowTrace& trace)
{
    const auto found = m_open.find(trace.m_opened);
    if (found != m_open.end())
        m_open.erase(found);
}

void FaultMarks::flowCut(const FlowTrace& trace, Instant now)
{
    countBroken(trace, now);
}

void FaultMarks::flowTimedOut(const FlowTrace& trace)
{
    countBroken(trace, trace.m_progress + c_quietLimit);
}

void FaultMarks::countBroken(const FlowTrace& trace, Instant brokeAt)
{
    const auto after = std::find_if(
        m_faults.begin() + 1, m_faults.end(), [&](const FaultReport& fault) { return fault.m_at > brokeAt; });
    FaultReport& fault = *std::prev(after);
    ++(wasEstablished(trace.m_opened, fault.m_at) ? fault.m_establishedBroken : fault.m_youngerBroken);
    ++fault.m_brokenByHost[trace.m_host];
}

FaultReport& FaultMarks::at(std::int64_t unixMs)
{
    const auto after = std::find_if(
        m_faults.begin() + 1, m_faults.end(), [&](const FaultReport& fault) { return fault.m_unixMs > unixMs; });
    return *std::prev(after);
}

json::array FaultMarks::json() const
{
    json::array faults;
    for (const FaultReport& fault : m_faults) {
        json::object hosts;
        for (const auto& [host, flows] : fault.m_brokenByHost)
            hosts[host] = flows;
        faults.push_back(json::object {
            { "name", fault.m_name },
            { "established", fault.m_established },
            { "established_broken", fault.m_establishedBroken },
            { "younger", fault.m_younger },
            { "younger_broken", fault.m_youngerBroken },
            { "broken_by_host", std::move(hosts) },
            { "refused", fault.m_refused },
            { "shed", fault.m_shed },
            { "misrouted", fault.m_misrouted },
            { "incomplete_answers", fault.m_incompleteAnswers },
            { "run_twice", fault.m_runTwice },
            { "refused_but_run", fault.m_refusedButRun },
        });
    }
    return faults;
}

} // namespace cuminrelay::standins
