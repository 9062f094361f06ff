#include "members/HeartbeatMessage.h"

#include "backends/BackendMessage.h"
#include "members/MemberMessage.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <limits>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_maximumSummaries = 256;
    constexpr std::int64_t c_maximumAgeMilliseconds = std::numeric_limits<std::uint32_t>::max();

    std::uint32_t ageMilliseconds(Instant at, Instant now)
    {
        const std::int64_t age = std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, c_maximumAgeMilliseconds));
    }

    void writeMemberHeartbeat(const MemberHeartbeat& memberHeartbeat, wire::MemberNews::Builder out)
    {
        writeMember(memberHeartbeat.m_sender, out.initMember());
        out.setSequence(memberHeartbeat.m_sequence);
        out.setConfigVersion(memberHeartbeat.m_statistics.m_configVersion.m_number);
        out.setFlows(memberHeartbeat.m_statistics.m_flows);
        out.setExceptions(memberHeartbeat.m_statistics.m_overrides);
    }

    Outcome<MemberHeartbeat> readMemberHeartbeat(wire::MemberNews::Reader in)
    {
        Outcome<Member> member = readMember(in.getMember());
        if (!member)
            return member.error();
        return MemberHeartbeat { std::move(member).value(), in.getSequence(),
            MemberStatistics { ConfigVersion { in.getConfigVersion() }, in.getFlows(), in.getExceptions() } };
    }

    void writeSummary(const ZoneSummary& summary, Instant now, wire::ZoneSummary::Builder out)
    {
        out.setZone(summary.m_zone);
        out.setLowestConfigVersion(summary.m_lowestConfigVersion.m_number);
        out.setAgeMilliseconds(ageMilliseconds(summary.m_lastContactAt, now));
        if (summary.m_members.empty())
            return;
        capnp::List<wire::MemberNews>::Builder members
            = out.initMembers(static_cast<unsigned>(summary.m_members.size()));
        for (unsigned i = 0; i < members.size(); ++i)
            writeMemberHeartbeat(summary.m_members[i], members[i]);
    }

    Outcome<ZoneSummary> readSummary(wire::ZoneSummary::Reader in, Instant now)
    {
        if (in.getMembers().size() > c_maximumMembersInMessage)
            return Error { ErrorKind::InvalidInput,
                fmt::format("zone summary: got {} members, expected at most {}", in.getMembers().size(),
                    c_maximumMembersInMessage) };
        ZoneSummary summary { in.getZone(), {}, ConfigVersion { in.getLowestConfigVersion() },
            now - std::chrono::milliseconds { in.getAgeMilliseconds() } };
        for (const wire::MemberNews::Reader entry : in.getMembers()) {
            Outcome<MemberHeartbeat> memberHeartbeat = readMemberHeartbeat(entry);
            if (!memberHeartbeat)
                return memberHeartbeat.error();
            summary.m_members.push_back(std::move(memberHeartbeat).value());
        }
        return summary;
    }

    void writeForwardedReports(std::span<const ForwardedReport> forwarded, Instant now, wire::Heartbeat::Builder out)
    {
        capnp::List<wire::BackendReport>::Builder reports
            = out.initPassedReports(static_cast<unsigned>(forwarded.size()));
        capnp::List<std::uint64_t>::Builder probers = out.initPassedProbers(static_cast<unsigned>(forwarded.size()));
        for (unsigned i = 0; i < reports.size(); ++i) {
            writeBackendReport(forwarded[i].m_report, now, reports[i]);
            probers.set(i, forwarded[i].m_prober.packed());
        }
    }

    Outcome<std::vector<ForwardedReport>> readForwardedReports(wire::Heartbeat::Reader in, Instant now)
    {
        Outcome<std::vector<BackendReport>> reports = readBackendReports(in.getPassedReports(), now);
        if (!reports)
            return reports.error();
        const capnp::List<std::uint64_t>::Reader probers = in.getPassedProbers();
        if (probers.size() != reports.value().size())
            return Error { ErrorKind::InvalidInput,
                fmt::format("heartbeat: got {} passed reports with {} probers, expected equal counts",
                    reports.value().size(), probers.size()) };
        std::vector<ForwardedReport> forwarded;
        for (unsigned i = 0; i < probers.size(); ++i)
            forwarded.push_back({ Endpoint::fromPacked(probers[i]), reports.value()[i] });
        return forwarded;
    }

} // namespace

void writeHeartbeat(const Heartbeat& heartbeat, Instant now, wire::Heartbeat::Builder out)
{
    writeMember(heartbeat.m_memberHeartbeat.m_sender, out.initSender());
    out.setConfigVersion(heartbeat.m_memberHeartbeat.m_statistics.m_configVersion.m_number);
    out.setFlows(heartbeat.m_memberHeartbeat.m_statistics.m_flows);
    out.setExceptions(heartbeat.m_memberHeartbeat.m_statistics.m_overrides);
    out.setSequence(heartbeat.m_memberHeartbeat.m_sequence);
    if (!heartbeat.m_reports.empty())
        writeBackendReports(
            heartbeat.m_reports, now, out.initReports(static_cast<unsigned>(heartbeat.m_reports.size())));
    out.setViewDigest(heartbeat.m_viewDigest);
    out.setClosing(heartbeat.m_closing);
    if (!heartbeat.m_forwardedReports.empty())
        writeForwardedReports(heartbeat.m_forwardedReports, now, out);
    if (heartbeat.m_summaries.empty())
        return;
    capnp::List<wire::ZoneSummary>::Builder summaries
        = out.initZoneVersions(static_cast<unsigned>(heartbeat.m_summaries.size()));
    for (unsigned i = 0; i < summaries.size(); ++i)
        writeSummary(heartbeat.m_summaries[i], now, summaries[i]);
}

Outcome<Heartbeat> readHeartbeat(wire::Heartbeat::Reader in, Instant now)
{
    Outcome<Member> sender = readMember(in.getSender());
    if (!sender)
        return sender.error();
    Outcome<std::vector<BackendReport>> reports = readBackendReports(in.getReports(), now);
    if (!reports)
        return reports.error();
    Outcome<std::vector<ForwardedReport>> forwarded = readForwardedReports(in, now);
    if (!forwarded)
        return forwarded.error();
    if (in.getZoneVersions().size() > c_maximumSummaries)
        return Error { ErrorKind::InvalidInput,
            fmt::format("heartbeat: got {} zone summaries, expected at most {}", in.getZoneVersions().size(),
                c_maximumSummaries) };
    Heartbeat heartbeat;
    heartbeat.m_memberHeartbeat.m_sender = std::move(sender).value();
    heartbeat.m_memberHeartbeat.m_sequence = in.getSequence();
    heartbeat.m_memberHeartbeat.m_statistics
        = MemberStatistics { ConfigVersion { in.getConfigVersion() }, in.getFlows(), in.getExceptions() };
    heartbeat.m_reports = std::move(reports).value();
    heartbeat.m_forwardedReports = std::move(forwarded).value();
    heartbeat.m_viewDigest = in.getViewDigest();
    heartbeat.m_closing = in.getClosing();
    for (const wire::ZoneSummary::Reader entry : in.getZoneVersions()) {
        Outcome<ZoneSummary> summary = readSummary(entry, now);
        if (!summary)
            return summary.error();
        heartbeat.m_summaries.push_back(std::move(summary).value());
    }
    return heartbeat;
}

} // namespace cuminrelay
