#include "backends/BackendMessage.h"

#include "base/Assert.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace cuminrelay {

namespace {

    /// Clamps the age to the range of the field, about 71 minutes; older reports are equally useless.
    std::uint32_t ageMicroseconds(Instant measuredAt, Instant now)
    {
        const std::int64_t age = (now - measuredAt).count();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max()));
    }

} // namespace

void writeBackendReport(const BackendReport& report, Instant now, wire::BackendReport::Builder out)
{
    out.setBackend(report.m_backend.packed());
    out.setHealth(static_cast<std::uint8_t>(report.m_health));
    out.setShedding(report.m_shedding);
    out.setConnections(report.m_connections);
    out.setBusySlots(report.m_busySlots);
    out.setQueued(report.m_queued);
    out.setAgeMicroseconds(ageMicroseconds(report.m_measuredAt, now));
}

Outcome<BackendReport> readBackendReport(wire::BackendReport::Reader in, Instant now)
{
    if (in.getHealth() > static_cast<std::uint8_t>(BackendHealth::Partitioned))
        return Error { ErrorKind::InvalidInput,
            fmt::format("unknown backend health {}, expected 0 to 2", in.getHealth()) };
    if (in.getBackend() == 0)
        return Error { ErrorKind::InvalidInput,
            "backend report with endpoint 0, expected the endpoint of a backend server" };
    BackendReport report;
    report.m_backend = Endpoint::fromPacked(in.getBackend());
    report.m_health = static_cast<BackendHealth>(in.getHealth());
    report.m_shedding = in.getShedding();
    report.m_connections = in.getConnections();
    report.m_busySlots = in.getBusySlots();
    report.m_queued = in.getQueued();
    report.m_measuredAt = now - Duration { in.getAgeMicroseconds() };
    return report;
}

void writeBackendReports(
    std::span<const BackendReport> reports, Instant now, capnp::List<wire::BackendReport>::Builder out)
{
    CR_ASSERT(reports.size() == out.size(), "the list must have as many elements as there are reports");
    for (unsigned i = 0; i < out.size(); ++i)
        writeBackendReport(reports[i], now, out[i]);
}

Outcome<std::vector<BackendReport>> readBackendReports(capnp::List<wire::BackendReport>::Reader in, Instant now)
{
    if (in.size() > c_maximumReportsInMessage)
        return Error { ErrorKind::InvalidInput,
            fmt::format(
                "{} backend reports in one message, expected at most {}", in.size(), c_maximumReportsInMessage) };
    std::vector<BackendReport> reports;
    reports.reserve(in.size());
    for (const wire::BackendReport::Reader entry : in) {
        Outcome<BackendReport> report = readBackendReport(entry, now);
        if (!report)
            return report.error();
        reports.push_back(report.value());
    }
    return reports;
}

} // namespace cuminrelay
