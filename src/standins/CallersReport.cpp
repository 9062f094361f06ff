#include "standins/CallersReport.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace cuminrelay::standins {

namespace json = boost::json;

void CallersReport::countOpened(Instant now)
{
    ++m_flows;
    m_faultStatistics.flowOpened(now);
}

void CallersReport::countRefused()
{
    ++m_refused;
    ++m_faultStatistics.current().m_refused;
}

void CallersReport::countShed()
{
    ++m_shed;
    ++m_faultStatistics.current().m_shed;
}

void CallersReport::countMisrouted()
{
    ++m_misrouted;
    ++m_faultStatistics.current().m_misrouted;
}

void CallersReport::countIncomplete()
{
    ++m_incompleteAnswers;
    ++m_faultStatistics.current().m_incompleteAnswers;
}

void CallersReport::countReset(const FlowTrace& trace, Instant now)
{
    ++m_brokenByReset;
    m_faultStatistics.flowBroken(trace, now);
}

void CallersReport::countEarlyEnd(const FlowTrace& trace, Instant now)
{
    ++m_brokenByEarlyEnd;
    m_faultStatistics.flowBroken(trace, now);
}

void CallersReport::countTimeout(const FlowTrace& trace)
{
    ++m_brokenByTimeout;
    m_faultStatistics.flowTimedOut(trace);
}

void CallersReport::compareWith(std::span<const RunRecord> records)
{
    std::map<std::string_view, std::int64_t> lastStarted;
    std::set<std::string_view> wronglyRefused;
    for (const RunRecord& record : records) {
        const auto [run, isFirst] = lastStarted.emplace(record.m_id, record.m_startedUnixMs);
        run->second = std::max(run->second, record.m_startedUnixMs);
        if (!isFirst && !record.m_idempotent) {
            ++m_runTwice;
            ++m_faultStatistics.at(run->second).m_runTwice;
        }
        if (m_notRun.contains(record.m_id) && wronglyRefused.insert(record.m_id).second) {
            ++m_refusedButRun;
            ++m_faultStatistics.at(record.m_startedUnixMs).m_refusedButRun;
        }
    }
}

std::string CallersReport::json() const
{
    json::object hosts;
    for (const auto& [host, flows] : m_hostFlows)
        hosts[host] = flows;
    return json::serialize(json::object {
        { "flows", m_flows },
        { "broken", broken() },
        { "broken_by_reset", m_brokenByReset },
        { "broken_by_timeout", m_brokenByTimeout },
        { "broken_by_early_end", m_brokenByEarlyEnd },
        { "refused", m_refused },
        { "shed", m_shed },
        { "answers", m_answers },
        { "pushes", m_pushes },
        { "misrouted", m_misrouted },
        { "run_twice", m_runTwice },
        { "refused_but_run", m_refusedButRun },
        { "incomplete_answers", m_incompleteAnswers },
        { "host_flows", std::move(hosts) },
        { "faults", m_faultStatistics.json() },
    });
}

} // namespace cuminrelay::standins
