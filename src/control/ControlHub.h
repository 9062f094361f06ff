#pragma once

#include "control/ControlOptions.h"
#include "control/ControlState.h"
#include "control/FleetListener.h"
#include "control/WakeSignal.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <kj/async.h>
#include <kj/timer.h>
#include <map>
#include <string>

namespace cuminrelay {

/// State of one session with a peer.
struct PeerLink {
    std::uint32_t m_address = 0; ///< of the remote end
    bool m_accepted = false; ///< the remote end opened the connection
    Endpoint m_control; ///< of the peer; zero until its first heartbeat
    std::string m_zone; ///< of the peer; empty until its first heartbeat
    PeerCursor m_cursor;
    ConfigVersion m_peerConfigVersion; ///< in force on the peer
    Deadline m_heartbeatDeadline {}; ///< the connection is closed then unless a heartbeat arrives
    WakeSignal m_heartbeatReceived;
};

/// Shared context of the fibers on the RPC thread. Each input to the state passes through this class, which wakes the
/// fibers affected by the change.
class ControlHub {
public:
    ControlHub(const ControlOptions& options, const Clock& clock, kj::Timer& timer, Metrics& metrics, Log& log,
        FleetListener& listener);

    const ControlOptions& options() const { return m_options; }
    ControlState& state() { return m_state; }
    Instant now() const { return m_clock.now(); }

    /// Signals of the changes in ControlChanges.
    WakeSignal& entryWork() { return m_entryWork; }
    WakeSignal& urgent() { return m_urgent; }
    WakeSignal& peers() { return m_peers; }

    void count(std::string_view name, std::string_view reason) { m_metrics.counter(name, reason).add(); }
    Metrics& metrics() { return m_metrics; }
    Log& log() { return m_log; }

    /// Resolves at the deadline.
    kj::Promise<void> at(Deadline deadline);

    /// Fails with OVERLOADED unless the promise resolves within the time.
    template <typename T> kj::Promise<T> within(Duration time, kj::Promise<T>&& promise)
    {
        return m_timer.timeoutAfter(time.count() * kj::MICROSECONDS, kj::mv(promise));
    }

    void applyList(std::span<const Member> listed);
    void applyOwnReports(std::span<const BackendReport> reports);
    void applyEntryStatus(const EntryProcessStatus& status);
    void entryLost();
    void tick();

    /// Applies a configuration if it is newer and counts the result. source: "platform" or "peer".
    void offerConfiguration(Configuration configuration, std::string_view source);

    /// Applies a heartbeat received over a link. Errors: Unauthorized if the sender's address differs from the link's.
    Outcome<void> applyHeartbeat(PeerLink& link, const Heartbeat& heartbeat);

    /// Whether the address belongs to a seed or a member; others may not connect.
    bool isAdmitted(std::uint32_t address) const;

    void unknownPeerConnected() { m_listener.unknownPeerConnected(); }

    /// Whether the peer with this control endpoint has opened a connection to this VM and sent a heartbeat on it.
    bool hasAcceptedLink(Endpoint control) const { return m_acceptedLinks.contains(control); }
    void linkEnded(const PeerLink& link);

    /// Whether this VM sends heartbeats to the peer with this control endpoint: a seed, or a target of the membership.
    bool sendsHeartbeatsTo(Endpoint control) const;

    /// Whether the heartbeat targets of this VM are selected at random.
    bool selectsPeersAtRandom() const { return m_state.membership().usesGossip(); }

    /// See Membership::stopMonitoring.
    void stopMonitoring(Endpoint peers) { m_state.membership().stopMonitoring(peers, now()); }

    /// Whether the peer with this control endpoint is a member that is not unreachable.
    bool isReachable(Endpoint control) const;

private:
    void dispatch();
    FleetSnapshot snapshot();
    ZoneStatus zoneStatus();

    const ControlOptions& m_options;
    const Clock& m_clock;
    kj::Timer& m_timer;
    Metrics& m_metrics;
    Log& m_log;
    FleetListener& m_listener;
    ControlState m_state;
    WakeSignal m_entryWork;
    WakeSignal m_urgent;
    WakeSignal m_peers;
    std::map<Endpoint, unsigned> m_acceptedLinks;
    Deadline m_statusDueAt {};
    bool m_isConverged = false;
};

} // namespace cuminrelay
