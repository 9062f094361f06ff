#include "control/EntryTask.h"

#include "backends/BackendMessage.h"
#include "base/Backoff.h"
#include "configuration/ConfigurationMessage.h"
#include "members/MemberMessage.h"

#include <capnp/rpc-twoparty.h>
#include <netinet/in.h>

namespace cuminrelay {

namespace {

    constexpr Backoff::Limits c_reconnect { std::chrono::milliseconds { 50 }, std::chrono::seconds { 1 } };
    constexpr Duration c_connectTimeout = std::chrono::seconds { 1 };
    constexpr Duration c_callTimeout = std::chrono::seconds { 5 };

    /// Interval of status requests while there is nothing to install.
    constexpr Duration c_statusInterval = std::chrono::milliseconds { 250 };

    kj::Promise<kj::Own<kj::AsyncIoStream>> connectTo(kj::AsyncIoContext& io, Endpoint remote)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(remote.m_address);
        address.sin_port = htons(remote.m_port);
        kj::Own<kj::NetworkAddress> target = io.provider->getNetwork().getSockaddr(&address, sizeof address);
        kj::Promise<kj::Own<kj::AsyncIoStream>> connecting = target->connect();
        return connecting.attach(kj::mv(target));
    }

} // namespace

EntryTask::EntryTask(ControlHub& hub, kj::AsyncIoContext& io)
    : m_hub(hub)
    , m_io(io)
{
}

void EntryTask::run(kj::WaitScope& scope)
{
    Backoff backoff { c_reconnect, m_hub.options().m_entryRpc.packed(), m_hub.now() };
    while (true) {
        const Instant started = m_hub.now();
        const kj::Maybe<kj::Exception> failed = kj::runCatchingExceptions([&] { serveConnection(scope); });
        KJ_IF_MAYBE (failure, failed) {
            m_hub.count("cuminrelay_entry_retries_total",
                failure->getType() == kj::Exception::Type::OVERLOADED ? "timeout" : "disconnected");
            m_hub.log().warning("control", "entry_lost",
                { { "entry", formatEndpoint(m_hub.options().m_entryRpc) },
                    { "reason", failure->getDescription().cStr() } });
        }
        m_hub.entryLost();
        if (m_hub.now() - started > c_reconnect.m_maximumDelay)
            backoff.succeeded();
        m_hub.at(backoff.failed(m_hub.now())).wait(scope);
    }
}

void EntryTask::serveConnection(kj::WaitScope& scope)
{
    const kj::Own<kj::AsyncIoStream> stream
        = m_hub.within(c_connectTimeout, connectTo(m_io, m_hub.options().m_entryRpc)).wait(scope);
    capnp::TwoPartyClient client { const_cast<kj::AsyncIoStream&>(*stream) };
    wire::EntryControl::Client entry = client.bootstrap().castAs<wire::EntryControl>();
    InstalledState installedState;
    while (true) {
        const std::uint64_t seen = m_hub.entryWork().revision();
        requestStatus(entry, installedState, scope);
        const bool installed = installConfigurations(entry, installedState, scope);
        installMembers(entry, installedState, scope);
        sendReports(entry, scope);
        if (installed)
            continue;
        m_hub.at(m_hub.now() + c_statusInterval).exclusiveJoin(m_hub.entryWork().wait(seen)).wait(scope);
    }
}

void EntryTask::requestStatus(wire::EntryControl::Client& entry, InstalledState& installedState, kj::WaitScope& scope)
{
    kj::Promise<capnp::Response<wire::EntryControl::StatusResults>> sent = entry.statusRequest().send();
    const capnp::Response<wire::EntryControl::StatusResults> response
        = m_hub.within(c_callTimeout, kj::mv(sent)).wait(scope);
    const wire::EntryStatus::Reader status = response.getStatus();
    if (installedState.m_incarnation != status.getIncarnation()) {
        m_hub.log().info("control", "entry_found",
            { { "incarnation", status.getIncarnation() }, { "config_version", status.getConfigVersion() } });
        installedState = InstalledState { status.getIncarnation(), {}, 0, false, false };
        m_hub.state().resendReportsToEntry();
    }
    installedState.m_configVersion = ConfigVersion { status.getConfigVersion() };
    installedState.m_owning = status.getOwning();
    m_hub.applyEntryStatus(EntryProcessStatus { status.getIncarnation(), status.getLeaving(), status.getOwning(),
        MemberStatistics { installedState.m_configVersion, status.getFlows(), status.getExceptions() } });
}

bool EntryTask::installConfigurations(
    wire::EntryControl::Client& entry, InstalledState& installedState, kj::WaitScope& scope)
{
    // Sends each retained version, because flows may be based on earlier ones. One call carries all missing
    // versions, so that the newest one does not wait for a round trip per version.
    const ConfigurationHolder& holder = m_hub.state().configuration();
    const std::vector<SharedConfiguration> targets = holder.after(installedState.m_configVersion);
    if (targets.empty())
        return false;
    SharedConfiguration base = holder.find(installedState.m_configVersion);
    if (!base)
        base = std::make_shared<const Configuration>();
    capnp::Request<wire::EntryControl::InstallConfigurationsParams, wire::EntryControl::InstallConfigurationsResults>
        request = entry.installConfigurationsRequest();
    capnp::List<wire::ConfigurationUpdate>::Builder updates
        = request.initUpdates(static_cast<unsigned>(targets.size()));
    for (unsigned i = 0; i < updates.size(); ++i) {
        writeUpdate(*base, *targets[i], updates[i]);
        base = targets[i];
    }
    const SharedConfiguration& target = targets.back();
    kj::Promise<capnp::Response<wire::EntryControl::InstallConfigurationsResults>> sent = request.send();
    const capnp::Response<wire::EntryControl::InstallConfigurationsResults> response
        = m_hub.within(c_callTimeout, kj::mv(sent)).wait(scope);
    const ConfigVersion inForce { response.getVersion() };
    if (inForce >= target->m_version)
        return true;
    m_hub.count("cuminrelay_entry_refusals_total", "configuration");
    m_hub.log().warning("control", "entry_kept_configuration",
        { { "in_force", inForce.m_number }, { "offered", target->m_version.m_number } });
    return false;
}

void EntryTask::installMembers(wire::EntryControl::Client& entry, InstalledState& installedState, kj::WaitScope& scope)
{
    Membership& membership = m_hub.state().membership();
    MemberView view = membership.view();
    const bool isConverged = membership.isConverged(m_hub.now());
    if (view.m_epoch == installedState.m_viewEpoch && isConverged == installedState.m_isViewConverged)
        return;
    // Until the view has converged, an entry process that owns flows keeps its view, and a starting one gets a view
    // only for forwarding packets to owners.
    if (!isConverged && installedState.m_owning)
        return;
    for (Member& member : view.m_members) {
        const bool mayOwn = isConverged && member.m_peers == membership.self().m_peers;
        if (mayOwn && member.m_state == MemberState::Joining)
            member.m_state = MemberState::Active;
    }
    capnp::Request<wire::EntryControl::InstallMembersParams, wire::EntryControl::InstallMembersResults> request
        = entry.installMembersRequest();
    writeMembers(view.m_members, request.initMembers(static_cast<unsigned>(view.m_members.size())));
    kj::Promise<capnp::Response<wire::EntryControl::InstallMembersResults>> sent = request.send();
    m_hub.within(c_callTimeout, kj::mv(sent)).wait(scope);
    installedState.m_viewEpoch = view.m_epoch;
    installedState.m_isViewConverged = isConverged;
}

void EntryTask::sendReports(wire::EntryControl::Client& entry, kj::WaitScope& scope)
{
    const std::vector<BackendReport> reports = m_hub.state().takeReportsForEntry(m_hub.now());
    if (reports.empty())
        return;
    capnp::Request<wire::EntryControl::ApplyReportsParams, wire::EntryControl::ApplyReportsResults> request
        = entry.applyReportsRequest();
    writeBackendReports(reports, m_hub.now(), request.initReports(static_cast<unsigned>(reports.size())));
    kj::Promise<capnp::Response<wire::EntryControl::ApplyReportsResults>> sent = request.send();
    m_hub.within(c_callTimeout, kj::mv(sent)).wait(scope);
}

} // namespace cuminrelay
