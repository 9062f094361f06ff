#include "control/PeerTasks.h"

#include "base/Backoff.h"
#include "rpc/FiberTask.h"
#include "rpc/Streams.h"

namespace cuminrelay {

namespace {

    constexpr Backoff::Limits c_reconnect { std::chrono::milliseconds { 50 }, std::chrono::seconds { 1 } };

    /// Time that the end with the higher endpoint waits for the other one to connect, before it connects itself.
    constexpr Duration c_connectDelay = std::chrono::seconds { 1 };

    constexpr Duration c_connectTimeout = std::chrono::milliseconds { 1500 };

    /// Limit of open accepted connections; each member opens one or two.
    constexpr std::size_t c_maxAcceptedConnections = 2048;

    constexpr std::string_view c_refusalCounter = "cuminrelay_control_refusals_total";

    std::string_view reasonOf(const kj::Exception& failure)
    {
        switch (failure.getType()) {
        case kj::Exception::Type::OVERLOADED:
            return "timeout";
        case kj::Exception::Type::DISCONNECTED:
            return "disconnected";
        default:
            return "failed";
        }
    }

} // namespace

PeerTasks::PeerTasks(ControlHub& hub, kj::AsyncIoContext& io)
    : m_hub(hub)
    , m_io(io)
{
}

void PeerTasks::accept(kj::ConnectionReceiver& receiver, kj::WaitScope& scope)
{
    while (true) {
        kj::Own<kj::AsyncIoStream> stream = receiver.accept().wait(scope);
        for (const std::uint64_t ended : m_endedAccepted)
            m_acceptedTasks.erase(ended);
        m_endedAccepted.clear();
        const std::uint32_t address = remoteAddress(*stream);
        if (!m_hub.isAdmitted(address)) {
            m_hub.count(c_refusalCounter, "not_a_member");
            m_hub.log().warning("control", "stranger_refused", { { "address", formatAddress(address) } });
            m_hub.unknownPeerConnected();
            continue;
        }
        if (m_acceptedTasks.size() >= c_maxAcceptedConnections) {
            m_hub.count(c_refusalCounter, "too_many_connections");
            continue;
        }
        const std::uint64_t number = m_nextAccepted++;
        Task task = startFiberTask([this, number, stream = kj::mv(stream)](kj::WaitScope& fiber) mutable {
            runAcceptedSession(kj::mv(stream), fiber);
            m_endedAccepted.push_back(number);
        });
        m_acceptedTasks.emplace(number, task.eagerlyEvaluate(nullptr));
    }
}

void PeerTasks::runAcceptedSession(kj::Own<kj::AsyncIoStream> stream, kj::WaitScope& scope)
{
    const kj::Maybe<kj::Exception> failed = kj::runCatchingExceptions([&] {
        PeerSession session { m_hub, kj::mv(stream), true };
        session.run(scope);
    });
    KJ_IF_MAYBE (failure, failed)
        m_hub.count("cuminrelay_accepted_links_lost_total", reasonOf(*failure));
}

void PeerTasks::maintainPeers(kj::WaitScope& scope)
{
    while (true) {
        const std::uint64_t seen = m_hub.peers().revision();
        for (const Endpoint ended : m_endedPeers)
            m_peerTasks.erase(ended);
        m_endedPeers.clear();
        for (const Endpoint control : peersToConnect()) {
            if (m_peerTasks.contains(control))
                continue;
            Task task = startFiberTask([this, control](kj::WaitScope& fiber) {
                maintainPeer(control, fiber);
                m_endedPeers.push_back(control);
                m_hub.peers().wake();
            });
            m_peerTasks.emplace(control, task.eagerlyEvaluate(nullptr));
        }
        m_hub.peers().wait(seen).wait(scope);
    }
}

std::set<Endpoint> PeerTasks::peersToConnect() const
{
    std::set<Endpoint> targets;
    for (const Endpoint seed : m_hub.options().m_seedPeers) {
        if (m_hub.sendsHeartbeatsTo(seed))
            targets.insert(seed);
    }
    for (const Member& member : m_hub.state().membership().heartbeatTargets()) {
        if (member.m_control != Endpoint {})
            targets.insert(member.m_control);
    }
    targets.erase(m_hub.options().m_self.m_control);
    return targets;
}

void PeerTasks::maintainPeer(Endpoint control, kj::WaitScope& scope)
{
    Backoff backoff { c_reconnect, control.packed() ^ m_hub.options().m_self.m_control.packed(), m_hub.now() };
    while (true) {
        waitBeforeConnecting(control, scope);
        if (!m_hub.sendsHeartbeatsTo(control))
            return;
        const kj::Maybe<kj::Exception> failed = kj::runCatchingExceptions([&] { runOpenedSession(control, scope); });
        KJ_IF_MAYBE (failure, failed) {
            m_hub.count("cuminrelay_peer_retries_total", reasonOf(*failure));
            m_hub.log().debug("control", "peer_lost",
                { { "peer", formatEndpoint(control) }, { "reason", failure->getDescription().cStr() } });
        }
        if (m_hub.isReachable(control))
            backoff.succeeded();
        m_hub.at(backoff.failed(m_hub.now())).wait(scope);
    }
}

void PeerTasks::waitBeforeConnecting(Endpoint control, kj::WaitScope& scope)
{
    if (m_hub.selectsPeersAtRandom()) {
        waitWhileLinkAccepted(control, scope);
        return;
    }
    if (m_hub.options().m_self.m_control < control)
        return;
    Deadline waitDeadline = m_hub.now() + c_connectDelay;
    while (m_hub.now() < waitDeadline && m_hub.sendsHeartbeatsTo(control)) {
        const std::uint64_t seen = m_hub.peers().revision();
        if (m_hub.isReachable(control) || m_hub.hasAcceptedLink(control)) {
            m_hub.peers().wait(seen).wait(scope);
            waitDeadline = m_hub.now() + c_connectDelay;
            continue;
        }
        m_hub.at(waitDeadline).exclusiveJoin(m_hub.peers().wait(seen)).wait(scope);
    }
}

void PeerTasks::waitWhileLinkAccepted(Endpoint control, kj::WaitScope& scope)
{
    while (m_hub.sendsHeartbeatsTo(control) && m_hub.hasAcceptedLink(control)) {
        const std::uint64_t seen = m_hub.peers().revision();
        m_hub.peers().wait(seen).wait(scope);
    }
}

void PeerTasks::runOpenedSession(Endpoint control, kj::WaitScope& scope)
{
    kj::Promise<kj::Own<kj::AsyncIoStream>> connecting
        = connectFrom(*m_io.lowLevelProvider, m_hub.options().m_self.m_control.m_address, control);
    PeerSession session { m_hub, m_hub.within(c_connectTimeout, kj::mv(connecting)).wait(scope), false };
    session.run(scope);
}

} // namespace cuminrelay
