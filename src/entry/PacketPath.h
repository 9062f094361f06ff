#pragma once

#include "admission/AdmissionPolicy.h"
#include "base/BytePacer.h"
#include "base/Error.h"
#include "base/Time.h"
#include "entry/EntrySettings.h"
#include "flows/FlowRouter.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "packets/FouFrontEnd.h"
#include "packets/FouVerdictSender.h"
#include "packets/PeerFilter.h"
#include "packets/PeerFrontEnd.h"
#include "placement/PlacementPolicy.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <span>

namespace cuminrelay {

/// What takes the next replica batch for a peer. It is called once at most and must not wait.
class BatchTaker {
public:
    BatchTaker() = default;
    BatchTaker(const BatchTaker&) = delete;
    BatchTaker& operator=(const BatchTaker&) = delete;
    virtual ~BatchTaker() = default;

    virtual void take(ReplicaBatch batch) = 0;
};

/// What the packet path says of itself.
struct PacketPathStatus {
    ConfigVersion m_configVersion;
    std::size_t m_flows = 0;
    std::size_t m_overrides = 0;
    bool m_drained = false;
    bool m_leaving = false;
    bool m_owning = false;
    std::uint64_t m_incarnation = 0;
    Duration m_uptime {};
};

/// The packet path of an entry VM: the sockets, a front end and a task for each, the flow router that they share, and
/// the tick task. Everything runs on the one thread of its context; other threads post there.
class PacketPath {
public:
    /// The policies, metrics, log and clock must outlive the path.
    struct Parts {
        PlacementPolicy& m_placement;
        AdmissionPolicy& m_admission;
        Metrics& m_metrics;
        Log& m_log;
        const Clock& m_clock;
    };

    /// Binds the sockets. Errors: Unavailable, naming the endpoint that is in use.
    static Outcome<std::unique_ptr<PacketPath>> open(
        boost::asio::io_context& context, const EntrySettings& settings, const Parts& parts);

    PacketPath(boost::asio::ip::udp::socket fabric, boost::asio::ip::udp::socket peers, const EntrySettings& settings,
        const Parts& parts);
    PacketPath(const PacketPath&) = delete;
    PacketPath& operator=(const PacketPath&) = delete;

    /// Starts the tasks.
    void start();

    /// This VM's name among the members: where its peers socket is bound.
    Endpoint self() const { return m_self; }

    /// Where callers' packets are taken from the fabric.
    Endpoint packets() const;

    /// The tables in force, to build the next ones from; nullptr before the first.
    std::shared_ptr<const ServiceTables> tables() const { return m_router.tables(); }

    /// Takes a configuration and its tables unless newer ones are held; returns the version that is in force.
    ConfigVersion install(std::shared_ptr<const ServiceTables> tables, const Configuration& configuration);
    void installMembers(const MemberView& view);
    void applyReports(std::span<const BackendReport> reports);

    /// Gives the next batch for a peer to the taker once there is one and the budget allows it. A taker that already
    /// waits for the same peer is dropped.
    void awaitBatch(Endpoint peer, std::unique_ptr<BatchTaker> taker);
    void confirmBatch(Endpoint peer, const ReplicaBatch& batch);

    /// Takes what a peer tells; false when a version that it names is not held.
    bool acceptBatch(Endpoint peer, const ReplicaBatch& batch);

    PacketPathStatus status() const;

    /// Takes no new flow from now on and hands over what is held. Call once.
    void beginLeaving();

    /// Waits, after beginLeaving, until everything is handed over or the deadline for it has passed; returns whether
    /// everything is handed over.
    boost::asio::awaitable<bool> left();

private:
    boost::asio::awaitable<void> runFrontEnd(PacketFrontEnd& frontEnd);
    boost::asio::awaitable<void> runTicks();
    void serveTakers(Instant now);
    bool serveTaker(Endpoint peer, Instant now);

    boost::asio::ip::udp::socket m_fabricSocket;
    boost::asio::ip::udp::socket m_peersSocket;
    Endpoint m_self;
    Metrics& m_metrics;
    Log& m_log;
    const Clock& m_clock;
    std::uint64_t m_incarnation;
    Instant m_startedAt;
    Duration m_leaveAllowance;
    PeerFilter m_filter;
    FouVerdictSender m_sender;
    FouFrontEnd m_fabric;
    PeerFrontEnd m_peers;
    FlowRouter m_router;
    BytePacer m_pacer;
    std::map<Endpoint, std::unique_ptr<BatchTaker>> m_takers;
    Endpoint m_lastServed; ///< of m_takers; the next turn begins behind it
    bool m_leaving = false;
    boost::asio::steady_timer m_leaveDeadline; ///< cancelled when everything is handed over before
};

} // namespace cuminrelay
