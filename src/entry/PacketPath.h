#pragma once

#include "admission/AdmissionPolicy.h"
#include "base/BytePacer.h"
#include "base/Error.h"
#include "base/Time.h"
#include "entry/EntrySettings.h"
#include "flows/FlowRouter.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "packets/FouActionExecutor.h"
#include "packets/FouFrontEnd.h"
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

/// Receives the next replica batch for a peer. Called at most once; must not block.
class BatchReceiver {
public:
    BatchReceiver() = default;
    BatchReceiver(const BatchReceiver&) = delete;
    BatchReceiver& operator=(const BatchReceiver&) = delete;
    virtual ~BatchReceiver() = default;

    virtual void deliver(ReplicaBatch batch) = 0;
};

/// Snapshot for the control process and the log.
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

/// The packet path of an entry VM: two sockets, each with a front end and a task, their shared flow router, and the
/// tick task. All of it runs on the single thread of its context; other threads post to that context.
class PacketPath {
public:
    /// All references must outlive the path.
    struct Dependencies {
        PlacementPolicy& m_placement;
        AdmissionPolicy& m_admission;
        Metrics& m_metrics;
        Log& m_log;
        const Clock& m_clock;
    };

    /// Binds the sockets. Errors: Unavailable, with the endpoint that is in use.
    static Outcome<std::unique_ptr<PacketPath>> open(
        boost::asio::io_context& context, const EntrySettings& settings, const Dependencies& dependencies);

    PacketPath(boost::asio::ip::udp::socket fabric, boost::asio::ip::udp::socket peers, const EntrySettings& settings,
        const Dependencies& dependencies);
    PacketPath(const PacketPath&) = delete;
    PacketPath& operator=(const PacketPath&) = delete;

    void start();

    /// The endpoint of the peers socket; identifies this VM among the members.
    Endpoint self() const { return m_self; }

    /// The endpoint for callers' packets from the fabric.
    Endpoint packets() const;

    /// The tables in force, for building the next ones; nullptr before the first.
    std::shared_ptr<const ServiceTables> tables() const { return m_router.tables(); }

    /// Installs a configuration and its tables if its version is above the one in force. Returns the one in force.
    ConfigVersion install(std::shared_ptr<const ServiceTables> tables, const Configuration& configuration);
    void installMembers(const MemberView& view);
    void applyReports(std::span<const BackendReport> reports);

    /// Delivers the next batch for a peer once one is pending and the byte budget allows it. Replaces a receiver that
    /// is already waiting for the same peer.
    void requestBatch(Endpoint peer, std::unique_ptr<BatchReceiver> receiver);
    void confirmBatch(Endpoint peer, const ReplicaBatch& batch);

    /// Applies a batch of a peer. Returns false, and applies nothing, when it has a version above the one in force.
    bool acceptBatch(Endpoint peer, const ReplicaBatch& batch);

    PacketPathStatus status() const;

    /// Stops accepting new flows and starts the handover. Call once.
    void beginLeaving();

    /// Waits, after beginLeaving, for the end of the handover or its deadline. Returns whether the handover is
    /// complete.
    boost::asio::awaitable<bool> waitUntilDrained();

private:
    boost::asio::awaitable<void> runFrontEnd(PacketFrontEnd& frontEnd);
    boost::asio::awaitable<void> runTicks();
    void deliverBatches(Instant now);
    bool deliverBatch(Endpoint peer, Instant now);

    boost::asio::ip::udp::socket m_fabricSocket;
    boost::asio::ip::udp::socket m_peersSocket;
    Endpoint m_self;
    Metrics& m_metrics;
    Log& m_log;
    const Clock& m_clock;
    std::uint64_t m_incarnation;
    Instant m_startedAt;
    Duration m_leaveTimeout;
    PeerFilter m_filter;
    FouActionExecutor m_actionExecutor;
    FouFrontEnd m_fabric;
    PeerFrontEnd m_peers;
    FlowRouter m_router;
    BytePacer m_pacer;
    std::map<Endpoint, std::unique_ptr<BatchReceiver>> m_receivers;
    /// The round robin over m_receivers continues after this peer.
    Endpoint m_lastServedPeer;
    bool m_leaving = false;
    /// Expires m_leaveTimeout after beginLeaving; cancelled when the handover completes earlier.
    boost::asio::steady_timer m_leaveDeadline;
};

} // namespace cuminrelay
