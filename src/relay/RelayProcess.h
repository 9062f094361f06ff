#pragma once

#include "affinity/TokenRouter.h"
#include "discovery/Watches.h"
#include "evacuation/Evacuations.h"
#include "exchange/ContestedFlowsExchange.h"
#include "exchange/ExchangePeers.h"
#include "exchange/LoadMessageSchedule.h"
#include "exchange/StateEra.h"
#include "exchange/StoreCache.h"
#include "exchange/StoreUpdateClient.h"
#include "exchange/StoreUpdateServer.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "observe/MetricsServer.h"
#include "observe/NonBlockingSink.h"
#include "observe/TaskSupervisor.h"
#include "packets/PacketFrontEnd.h"
#include "relay/BackendProber.h"
#include "relay/FlowLog.h"
#include "relay/GracefulShutdown.h"
#include "relay/PauseDetector.h"
#include "relay/ReadinessServer.h"
#include "relay/RelayGauges.h"
#include "relay/RelaySettings.h"
#include "settings/Program.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cuminrelay {

/// Loads the settings at the start and on each reload.
class SettingsSource {
public:
    SettingsSource() = default;
    SettingsSource(const SettingsSource&) = delete;
    SettingsSource& operator=(const SettingsSource&) = delete;
    virtual ~SettingsSource() = default;

    /// Errors: NotFound, InvalidInput.
    virtual Outcome<RelaySettings> load() = 0;
};

/// The dependencies of a relay process. All objects must outlive the process.
struct RelayEnvironment {
    boost::asio::io_context& m_context;
    PacketFrontEnd& m_packets;
    Discovery& m_backends;
    Discovery& m_declarations;
    Discovery& m_evacuations;
    BackendProber& m_backendProber;
    SettingsSource& m_settings;
    const Clock& m_clock;
    Metrics& m_metrics;
    Log& m_log;
    NonBlockingSink& m_logOutput; ///< of m_log
};

/// The process of an entry VM for packets that carry a token of their flow's backend server. Runs on one thread, with
/// one task each for packets, received load messages, periodic work, signals, each watch, connection and probe.
class RelayProcess final : private DiscoveryListener {
public:
    RelayProcess(RelaySettings settings, FlowPlacement& placement, const RelayEnvironment& environment);

    /// Opens the sockets. Errors: Unavailable; the message names the endpoint. A metrics endpoint that cannot be opened
    /// is logged.
    Outcome<void> open();

    /// Serves until a stop was requested and the shutdown is complete.
    ExitStatus run();

    /// Requests a stop, as SIGTERM does; may be called from any thread during run().
    void requestStop();

private:
    void backendsListed(const BackendList& readList) override;
    void backendsChanged(const BackendChanges& readChanges) override;
    void declarationsChanged(const ServiceDeclarations& declarations, StoreRevision revision) override;
    void evacuationsListed(const EvacuationList& list) override;
    void evacuationsChanged(const EvacuationChanges& changes) override;

    boost::asio::awaitable<void> forwardPackets();
    boost::asio::awaitable<void> receiveLoadMessages();
    boost::asio::awaitable<void> runPeriodicTasks();
    boost::asio::awaitable<void> serveSignals();
    boost::asio::awaitable<void> fetchStoreUpdate(Endpoint peer, StoreVersions held);
    boost::asio::awaitable<void> fetchContestedFlows(Endpoint peer);
    boost::asio::awaitable<void> probeBackend(LivenessProbe probe);

    void applyLoadMessage(std::span<const std::byte> datagram, Endpoint peer, Instant now);
    void applyStoreUpdate(const StoreUpdate& storeUpdate, Endpoint peer);
    void applyEvacuations();
    void logRestore(StoreRevision revision);
    void endRetention(Instant now);
    void updateZoneMembers(Instant now);
    StoreVersions storeVersions() const;
    void chooseReader(Instant now);
    void fetchFromPeers(Instant now);
    bool takeContentRequest();
    void confirmState(Instant now);
    Instant stateConfirmedAt();
    void sendLoadMessages(Instant now);
    void announceStoreUpdate(Instant now);
    void introduceNewPeers(Instant now);
    void sendNotices(Instant now);
    std::size_t sendTo(std::span<const Endpoint> targets, std::span<const ExchangePeer> gossiped);
    std::size_t send(LoadMessage& message, std::span<const Endpoint> targets);
    void startProbes(Instant now);
    void startProbe(LivenessProbe probe);
    void beginShutdown();
    void reload();
    void reloadSeeds(Instant now);
    void reportIgnoredSettings(const RelaySettings& settings);
    void detectPause(Instant now);
    void updateReadiness();
    void flushLog();
    void updateGauges(Instant now);

    /// Limit of tracked flows, of about 100 bytes each.
    static constexpr std::size_t s_trackedFlowLimit = 100'000;

    RelaySettings m_settings;
    RelayEnvironment m_environment;
    TaskSupervisor m_tasks;
    FlowLog m_flowLog;
    TokenRouter m_router;
    ExchangePeers m_peers;
    ContestedFlowsExchange m_contestedFlowsExchange;
    StoreCache m_storeCache;
    StateEra m_stateEra;
    Evacuations m_evacuations;
    StoreUpdateClient m_storeUpdateClient;
    StoreUpdateServer m_storeUpdateServer;
    BackendsWatch m_backendsWatch;
    DeclarationsWatch m_declarationsWatch;
    EvacuationsWatch m_evacuationsWatch; ///< runs if the settings say that evacuations are followed
    ReadinessServer m_readiness;
    MetricsServer m_metricsServer;
    std::optional<boost::asio::ip::udp::socket> m_exchange;
    boost::asio::signal_set m_signals;
    PauseDetector m_pauseDetector;
    std::optional<GracefulShutdown> m_shutdown;
    bool m_hasBackends = false; ///< the list was applied at least once
    std::vector<ZoneMember> m_zoneMembers; // reused for each update
    LoadMessage m_message; // reused for each message
    LoadMessage m_notice; // reused for each notice
    LoadMessageSchedule m_loadMessageSchedule { c_exchangeBytesPerSecond };
    bool m_hasStoreUpdate = false; ///< to announce to the local zone
    bool m_isFetching = false;
    Deadline m_nextConfirmationAt {}; ///< earliest time of the next call to confirm the state
    Deadline m_nextFetchAt {}; ///< earliest time of the next request to another VM
    Deadline m_nextSeedsAt {}; ///< earliest time to load the settings for their seeds
    std::map<BackendIdentity, unsigned>
        m_contentRequests; ///< to other VMs, for backend servers with unreadable entries
    Instant m_resumedAt {}; ///< messages received before may be older than the last pause
    RelayGauges m_gauges;
    Deadline m_nextGaugeUpdateAt {};
    std::uint64_t m_countedLostLines = 0; ///< lost log lines that the counter includes
    alignas(8) std::array<std::byte, c_maxLoadMessageBytes> m_sendBuffer {};
    alignas(8) std::array<std::byte, c_maxLoadMessageBytes> m_receiveBuffer {};
};

} // namespace cuminrelay
