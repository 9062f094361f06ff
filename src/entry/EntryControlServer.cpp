#include "entry/EntryControlServer.h"

#include "backends/BackendMessage.h"
#include "configuration/ConfigurationMessage.h"
#include "members/MemberMessage.h"

#include <algorithm>
#include <kj/debug.h>
#include <memory>
#include <utility>
#include <vector>

namespace cuminrelay {

namespace {

    void writeStatus(
        const PacketPathStatus& status, std::span<const CounterSample> samples, wire::EntryStatus::Builder out)
    {
        out.setConfigVersion(status.m_configVersion.m_number);
        out.setFlows(status.m_flows);
        out.setExceptions(status.m_overrides);
        out.setDrained(status.m_drained);
        out.setLeaving(status.m_leaving);
        out.setOwning(status.m_owning);
        out.setIncarnation(status.m_incarnation);
        out.setUptimeMicroseconds(static_cast<std::uint64_t>(status.m_uptime.count()));
        capnp::List<wire::EntryStatus::Counter>::Builder counters
            = out.initCounters(static_cast<unsigned>(samples.size()));
        for (unsigned i = 0; i < counters.size(); ++i) {
            counters[i].setName(samples[i].m_name);
            counters[i].setReason(samples[i].m_reason);
            counters[i].setValue(samples[i].m_value);
        }
    }

    bool isBefore(const Member& left, const Member& right)
    {
        return left.m_peers < right.m_peers;
    }

} // namespace

EntryControlServer::EntryControlServer(
    PacketPathProxy& packetPath, MemberListener& listener, const Clock& clock, Metrics& metrics, Log& log)
    : m_packetPath(packetPath)
    , m_listener(listener)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_log(log)
{
}

kj::Promise<void> EntryControlServer::installConfigurations(InstallConfigurationsContext context)
{
    kj::Promise<ConfigVersion> installed
        = m_packetPath.call([](PacketPath& path) { return path.status().m_configVersion; });
    for (const wire::ConfigurationUpdate::Reader update : context.getParams().getUpdates()) {
        const SharedConfiguration configuration = acceptUpdate(update);
        if (!configuration)
            break; // later updates are based on this one
        installed = installed.then([this, configuration](ConfigVersion) { return install(configuration); });
    }
    return installed.then(
        [context](ConfigVersion version) mutable { context.getResults().setVersion(version.m_number); });
}

kj::Promise<ConfigVersion> EntryControlServer::install(const SharedConfiguration& configuration)
{
    return m_packetPath.call([](PacketPath& path) { return path.tables(); })
        .then([this, configuration](const std::shared_ptr<const ServiceTables>& previous) {
            // Builds the tables on the RPC thread, to keep the packet thread free.
            auto tables = std::make_shared<const ServiceTables>(*configuration, previous.get());
            return m_packetPath.call(
                [configuration, tables](PacketPath& path) { return path.install(tables, *configuration); });
        });
}

SharedConfiguration EntryControlServer::acceptUpdate(wire::ConfigurationUpdate::Reader update)
{
    Outcome<Configuration> next = applyUpdate(*m_configurations.current(), update);
    if (!next) {
        countRefusal(next.error().m_kind == ErrorKind::Stale ? "configuration_base_not_held" : "configuration_invalid",
            next.error());
        return nullptr;
    }
    const Outcome<bool> accepted = m_configurations.offer(std::move(next.value()));
    if (!accepted)
        countRefusal(accepted.error().m_kind == ErrorKind::Stale ? "configuration_stale" : "configuration_conflict",
            accepted.error());
    return accepted && accepted.value() ? m_configurations.current() : nullptr;
}

void EntryControlServer::countRefusal(std::string_view reason, const Error& error)
{
    m_metrics.counter("cuminrelay_refusals_total", reason).add();
    m_log.warning("entry", "configuration_refused", { { "reason", reason }, { "error", error.m_message } });
}

kj::Promise<void> EntryControlServer::installMembers(InstallMembersContext context)
{
    Outcome<std::vector<Member>> members = readMembers(context.getParams().getMembers());
    if (!members) {
        m_metrics.counter("cuminrelay_refusals_total", "rpc_malformed").add();
        return KJ_EXCEPTION(FAILED, "malformed members", members.error().m_message.c_str());
    }
    MemberView view { ++m_epoch, std::move(members.value()) };
    std::sort(view.m_members.begin(), view.m_members.end(), isBefore);
    m_listener.membersInstalled(view.m_members);
    return m_packetPath.call([view = std::move(view)](PacketPath& path) { path.installMembers(view); });
}

kj::Promise<void> EntryControlServer::applyReports(ApplyReportsContext context)
{
    Outcome<std::vector<BackendReport>> reports = readBackendReports(context.getParams().getReports(), m_clock.now());
    if (!reports) {
        m_metrics.counter("cuminrelay_refusals_total", "rpc_malformed").add();
        return KJ_EXCEPTION(FAILED, "malformed reports", reports.error().m_message.c_str());
    }
    return m_packetPath.call([reports = std::move(reports.value())](PacketPath& path) { path.applyReports(reports); });
}

kj::Promise<void> EntryControlServer::status(StatusContext context)
{
    return m_packetPath.call([](PacketPath& path) { return path.status(); })
        .then([this, context](const PacketPathStatus& status) mutable {
            std::vector<CounterSample> samples = m_metrics.samples();
            std::erase_if(samples, [](const CounterSample& sample) { return sample.m_value == 0; });
            writeStatus(status, samples, context.getResults().initStatus());
        });
}

} // namespace cuminrelay
