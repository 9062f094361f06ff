#include "standins/CallersReport.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace cuminrelay::standins {

namespace json = boost::json;

void CallersReport::compareWith(std::span<const RunRecord> records)
{
    std::set<std::string_view> once;
    std::set<std::string_view> wronglyRefused;
    for (const RunRecord& record : records) {
        if (!once.insert(record.m_id).second && !record.m_idempotent)
            ++m_runTwice;
        if (m_notRun.contains(record.m_id))
            wronglyRefused.insert(record.m_id);
    }
    m_refusedButRun += wronglyRefused.size();
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
    });
}

} // namespace cuminrelay::standins
