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

/// One conversation with a peer, on a connection that either end opened.
struct PeerLink {
    std::uint32_t m_address = 0; ///< of the other end
    bool m_accepted = false; ///< the other end opened the connection
    Endpoint m_control; ///< of the peer; zero until its first heartbeat
    std::string m_zone; ///< of the peer; empty until its first heartbeat
    PeerCursor m_cursor;
    ConfigVersion m_offered; ///< in force at the peer
    Deadline m_silentAt {}; ///< when the connection is given up unless a heartbeat comes
    WakeSignal m_heard;
};

/// What the fibers of the RPC thread share: the state, the signals that wake them, time, counters and the log. Each
/// input to the state goes through here, so that whoever has to hear of a change is woken.
class ControlHub {
public:
    ControlHub(const ControlOptions& options, const Clock& clock, kj::Timer& timer, Metrics& metrics, Log& log,
        FleetListener& listener);

    const ControlOptions& options() const { return m_options; }
    ControlState& state() { return m_state; }
    Instant now() const { return m_clock.now(); }

    WakeSignal& entryWork() { return m_entryWork; }
    WakeSignal& urgent() { return m_urgent; }
    WakeSignal& peers() { return m_peers; }

    void count(std::string_view name, std::string_view reason) { m_metrics.counter(name, reason).add(); }
    Metrics& metrics() { return m_metrics; }
    Log& log() { return m_log; }

    /// Resolves at the deadline.
    kj::Promise<void> at(Deadline deadline);

    /// Fails the promise when it is not resolved by the deadline.
    template <typename T> kj::Promise<T> within(Duration time, kj::Promise<T>&& promise)
    {
        return m_timer.timeoutAfter(time.count() * kj::MICROSECONDS, kj::mv(promise));
    }

    void applyList(std::span<const Member> listed);
    void applyOwnReports(std::span<const BackendReport> reports);
    void applyEntryStatus(const EntryProcessStatus& status);
    void entryLost();
    void tick();

    /// Takes a configuration; source is "platform" or "peer" and counted with what became of it.
    void offerConfiguration(Configuration configuration, std::string_view source);

    /// Takes a heartbeat that came over a link. Errors: Unauthorized when its sender is not who opened the connection.
    Outcome<void> applyHeartbeat(PeerLink& link, const Heartbeat& heartbeat);

    /// Whether a connection from the address is let in.
    bool isAdmitted(std::uint32_t address) const;

    void strangerCalled() { m_listener.strangerCalled(); }

    /// Whether the peer with this control endpoint has opened a connection to this VM and speaks on it.
    bool hasAcceptedLink(Endpoint control) const { return m_acceptedLinks.contains(control); }
    void linkEnded(const PeerLink& link);

    /// Whether this VM beats to the peer with this control endpoint: a seed, or one of those that the state names.
    bool sendsHeartbeatsTo(Endpoint control) const;

    /// Whether the members that this VM beats to are drawn at random.
    bool drawsPeers() const { return m_state.membership().usesGossip(); }

    /// See Membership::stopMonitoring.
    void stopMonitoring(Endpoint peers) { m_state.membership().stopMonitoring(peers, now()); }

    /// Whether a heartbeat of the peer with this control endpoint came lately.
    bool isHeard(Endpoint control) const;

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
