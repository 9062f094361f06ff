#include "control/PeerSession.h"

#include "configuration/ConfigurationMessage.h"

namespace cuminrelay {

namespace {

    using capnp::rpc::twoparty::Side;

    /// A call that takes longer is a failure of the peer or the network path.
    constexpr Duration c_callTimeout = std::chrono::milliseconds { 1500 };
    constexpr Duration c_firstHeartbeatTimeout = std::chrono::seconds { 5 };

    constexpr std::string_view c_refusalCounter = "cuminrelay_control_refusals_total";

    std::shared_ptr<PeerLink> makeLink(kj::AsyncIoStream& stream, bool accepted, Instant now)
    {
        std::shared_ptr<PeerLink> link = std::make_shared<PeerLink>();
        link->m_address = remoteAddress(stream);
        link->m_accepted = accepted;
        link->m_cursor.m_accepted = accepted;
        link->m_heartbeatDeadline = now + c_firstHeartbeatTimeout;
        return link;
    }

    kj::Exception refusal(const Error& error)
    {
        return KJ_EXCEPTION(FAILED, "refused", error.m_message.c_str());
    }

} // namespace

PeerService::PeerService(ControlHub& hub, std::shared_ptr<PeerLink> link)
    : m_hub(hub)
    , m_link(std::move(link))
{
}

kj::Promise<void> PeerService::beat(BeatContext context)
{
    const Outcome<Heartbeat> heartbeat = readHeartbeat(context.getParams().getBeat(), m_hub.now());
    if (!heartbeat) {
        m_hub.count(c_refusalCounter, "malformed");
        return refusal(heartbeat.error());
    }
    const Outcome<void> applied = m_hub.applyHeartbeat(*m_link, heartbeat.value());
    if (!applied) {
        m_hub.count(c_refusalCounter, "other_sender");
        return refusal(applied.error());
    }
    const Heartbeat answer = m_hub.state().heartbeatFor(m_link->m_zone, m_link->m_cursor, m_hub.now());
    writeHeartbeat(answer, m_hub.now(), context.getResults().initBeat());
    return kj::READY_NOW;
}

kj::Promise<void> PeerService::fetchConfiguration(FetchConfigurationContext context)
{
    const ConfigurationHolder& holder = m_hub.state().configuration();
    const ConfigVersion held { context.getParams().getKnown() };
    const SharedConfiguration heldConfiguration = holder.find(held);
    const SharedConfiguration next = holder.next(held);
    writeUpdate(heldConfiguration ? *heldConfiguration : Configuration {}, next ? *next : *holder.current(),
        context.getResults().initUpdate());
    m_hub.count("cuminrelay_configuration_updates_total", heldConfiguration ? "changes" : "whole");
    return kj::READY_NOW;
}

PeerSession::PeerSession(ControlHub& hub, kj::Own<kj::AsyncIoStream> stream, bool accepted)
    : m_hub(hub)
    , m_link(makeLink(*stream, accepted, hub.now()))
    , m_connection(
          kj::mv(stream), accepted ? Side::SERVER : Side::CLIENT, kj::heap<PeerService>(hub, m_link), hub.metrics())
    , m_remote(m_connection.remote())
{
}

PeerSession::~PeerSession()
{
    m_hub.linkEnded(*m_link);
}

void PeerSession::run(kj::WaitScope& scope)
{
    kj::ForkedPromise<void> disconnected = m_connection.onDisconnect().fork();
    bool connected = true;
    Deadline nextHeartbeatAt = m_link->m_accepted ? Deadline::max() : m_hub.now();
    std::uint64_t urgentSeen = m_hub.urgent().revision();
    while (connected && m_hub.now() < m_link->m_heartbeatDeadline && !isSuperseded()) {
        if (m_hub.now() >= nextHeartbeatAt || m_hub.urgent().revision() > urgentSeen) {
            urgentSeen = m_hub.urgent().revision();
            m_closing = !m_link->m_accepted && m_link->m_control != Endpoint {}
                && !m_hub.sendsHeartbeatsTo(m_link->m_control);
            beat(scope);
            if (m_closing)
                break;
            if (!m_link->m_accepted)
                nextHeartbeatAt = m_hub.now() + m_hub.options().m_heartbeatInterval;
        }
        const std::uint64_t heartbeatSeen = m_link->m_heartbeatReceived.revision();
        bool behind = true;
        while (behind && m_hub.state().startFetch(m_link->m_peerConfigVersion, m_hub.now()))
            behind = fetchConfiguration(scope);
        m_hub.at(std::min(nextHeartbeatAt, m_link->m_heartbeatDeadline))
            .exclusiveJoin(m_hub.urgent().wait(urgentSeen))
            .exclusiveJoin(m_link->m_heartbeatReceived.wait(heartbeatSeen))
            .exclusiveJoin(disconnected.addBranch().then([&connected] { connected = false; }))
            .wait(scope);
    }
    if (m_closing)
        m_hub.stopMonitoring(m_link->m_cursor.m_peer);
}

bool PeerSession::isSuperseded() const
{
    const bool preferred = m_hub.options().m_self.m_control < m_link->m_control;
    return !m_link->m_accepted && m_link->m_control != Endpoint {} && !preferred
        && m_hub.hasAcceptedLink(m_link->m_control);
}

void PeerSession::beat(kj::WaitScope& scope)
{
    Heartbeat heartbeat = m_hub.state().heartbeatFor(m_link->m_zone, m_link->m_cursor, m_hub.now());
    heartbeat.m_closing = m_closing;
    capnp::Request<wire::ControlPeer::BeatParams, wire::ControlPeer::BeatResults> request = m_remote.beatRequest();
    writeHeartbeat(heartbeat, m_hub.now(), request.initBeat());
    kj::Promise<capnp::Response<wire::ControlPeer::BeatResults>> sent = request.send();
    const capnp::Response<wire::ControlPeer::BeatResults> response
        = m_hub.within(c_callTimeout, kj::mv(sent)).wait(scope);
    const Outcome<Heartbeat> answer = readHeartbeat(response.getBeat(), m_hub.now());
    if (!answer) {
        m_hub.count(c_refusalCounter, "malformed");
        kj::throwFatalException(refusal(answer.error()));
    }
    if (!m_link->m_accepted)
        m_link->m_control = answer.value().m_memberHeartbeat.m_sender.m_control;
    const Outcome<void> applied = m_hub.applyHeartbeat(*m_link, answer.value());
    if (!applied) {
        m_hub.count(c_refusalCounter, "other_sender");
        kj::throwFatalException(refusal(applied.error()));
    }
}

bool PeerSession::fetchConfiguration(kj::WaitScope& scope)
{
    capnp::Request<wire::ControlPeer::FetchConfigurationParams, wire::ControlPeer::FetchConfigurationResults> request
        = m_remote.fetchConfigurationRequest();
    request.setKnown(m_hub.state().configuration().version().m_number);
    kj::Promise<capnp::Response<wire::ControlPeer::FetchConfigurationResults>> sent = request.send();
    const capnp::Response<wire::ControlPeer::FetchConfigurationResults> response
        = m_hub.within(ControlState::s_fetchTimeout, kj::mv(sent)).wait(scope);
    const wire::ConfigurationUpdate::Reader update = response.getUpdate();
    const SharedConfiguration base = m_hub.state().configuration().find(ConfigVersion { update.getBase() });
    Outcome<Configuration> configuration = applyUpdate(base ? *base : Configuration {}, update);
    m_hub.state().fetchEnded();
    if (configuration) {
        const ConfigVersion before = m_hub.state().configuration().version();
        m_hub.offerConfiguration(std::move(configuration).value(), "peer");
        return m_hub.state().configuration().version() > before;
    }
    m_hub.count("cuminrelay_configurations_total", "malformed_update");
    m_hub.log().warning("control", "configuration_update_refused", { { "reason", configuration.error().m_message } });
    return false;
}

} // namespace cuminrelay
