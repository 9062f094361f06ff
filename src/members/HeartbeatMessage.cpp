#include "members/HeartbeatMessage.h"

#include "backends/BackendMessage.h"
#include "members/MemberMessage.h"

#include <fmt/format.h>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_maximumSummaries = 256;

    void writeSummary(const ZoneSummary& summary, wire::ZoneSummary::Builder out)
    {
        out.setZone(summary.m_zone);
        out.setLowestConfigVersion(summary.m_lowestConfigVersion.m_number);
        writeMembers(summary.m_members, out.initMembers(static_cast<unsigned>(summary.m_members.size())));
    }

    Outcome<ZoneSummary> readSummary(wire::ZoneSummary::Reader in)
    {
        Outcome<std::vector<Member>> members = readMembers(in.getMembers());
        if (!members)
            return members.error();
        return ZoneSummary { in.getZone(), std::move(members).value(), ConfigVersion { in.getLowestConfigVersion() } };
    }

} // namespace

void writeHeartbeat(const Heartbeat& heartbeat, Instant now, wire::Heartbeat::Builder out)
{
    writeMember(heartbeat.m_beat.m_sender, out.initSender());
    out.setConfigVersion(heartbeat.m_beat.m_figures.m_configVersion.m_number);
    out.setFlows(heartbeat.m_beat.m_figures.m_flows);
    out.setExceptions(heartbeat.m_beat.m_figures.m_exceptions);
    out.setSequence(heartbeat.m_beat.m_sequence);
    if (!heartbeat.m_reports.empty())
        writeBackendReports(
            heartbeat.m_reports, now, out.initReports(static_cast<unsigned>(heartbeat.m_reports.size())));
    if (heartbeat.m_summaries.empty())
        return;
    capnp::List<wire::ZoneSummary>::Builder summaries
        = out.initZoneVersions(static_cast<unsigned>(heartbeat.m_summaries.size()));
    for (unsigned i = 0; i < summaries.size(); ++i)
        writeSummary(heartbeat.m_summaries[i], summaries[i]);
}

Outcome<Heartbeat> readHeartbeat(wire::Heartbeat::Reader in, Instant now)
{
    Outcome<Member> sender = readMember(in.getSender());
    if (!sender)
        return sender.error();
    Outcome<std::vector<BackendReport>> reports = readBackendReports(in.getReports(), now);
    if (!reports)
        return reports.error();
    if (in.getZoneVersions().size() > c_maximumSummaries)
        return Error { ErrorKind::InvalidInput,
            fmt::format("{} zone summaries; allowed are {}", in.getZoneVersions().size(), c_maximumSummaries) };
    Heartbeat heartbeat;
    heartbeat.m_beat.m_sender = std::move(sender).value();
    heartbeat.m_beat.m_sequence = in.getSequence();
    heartbeat.m_beat.m_figures
        = MemberFigures { ConfigVersion { in.getConfigVersion() }, in.getFlows(), in.getExceptions() };
    heartbeat.m_reports = std::move(reports).value();
    for (const wire::ZoneSummary::Reader entry : in.getZoneVersions()) {
        Outcome<ZoneSummary> summary = readSummary(entry);
        if (!summary)
            return summary.error();
        heartbeat.m_summaries.push_back(std::move(summary).value());
    }
    return heartbeat;
}

} // namespace cuminrelay
