#include "standins/FaultStatistics.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <iterator>

namespace cuminrelay::standins {

namespace json = boost::json;

namespace {

    constexpr Duration c_establishedAge = std::chrono::seconds { 2 };

    /// Maximum time between two packets of an intact flow.
    constexpr Duration c_maxPacketGap = std::chrono::seconds { 1 };

    bool wasEstablished(Instant opened, Instant mark)
    {
        return opened + c_establishedAge < mark;
    }

} // namespace

FaultStatistics::FaultStatistics()
{
    m_faults.emplace_back().m_name = "start";
}

void FaultStatistics::mark(std::string_view name, Instant now, std::int64_t unixMs)
{
    FaultReport fault;
    fault.m_name = name;
    fault.m_injectedAt = now;
    fault.m_injectedUnixMs = unixMs;
    const auto firstYounger = m_openingTimes.lower_bound(now - c_establishedAge);
    fault.m_established = static_cast<std::uint64_t>(std::distance(m_openingTimes.begin(), firstYounger));
    fault.m_younger = m_openingTimes.size() - fault.m_established;
    m_faults.push_back(std::move(fault));
}

void FaultStatistics::flowOpened(Instant now)
{
    m_openingTimes.insert(now);
    ++current().m_younger;
}

void FaultStatistics::flowEnded(const FlowTrace& trace)
{
    const auto found = m_openingTimes.find(trace.m_openedAt);
    if (found != m_openingTimes.end())
        m_openingTimes.erase(found);
}

void FaultStatistics::flowBroken(const FlowTrace& trace, Instant now)
{
    countBroken(trace, now);
}

void FaultStatistics::flowTimedOut(const FlowTrace& trace)
{
    countBroken(trace, trace.m_lastPacketAt + c_maxPacketGap);
}

void FaultStatistics::countBroken(const FlowTrace& trace, Instant brokeAt)
{
    const auto nextFault = std::find_if(
        m_faults.begin() + 1, m_faults.end(), [&](const FaultReport& fault) { return fault.m_injectedAt > brokeAt; });
    FaultReport& fault = *std::prev(nextFault);
    ++(wasEstablished(trace.m_openedAt, fault.m_injectedAt) ? fault.m_establishedBroken : fault.m_youngerBroken);
    ++fault.m_brokenByHost[trace.m_host];
}

FaultReport& FaultStatistics::at(std::int64_t unixMs)
{
    const auto nextFault = std::find_if(m_faults.begin() + 1, m_faults.end(),
        [&](const FaultReport& fault) { return fault.m_injectedUnixMs > unixMs; });
    return *std::prev(nextFault);
}

json::array FaultStatistics::json() const
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
