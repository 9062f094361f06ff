#pragma once

#include "affinity/TokenRouter.h"
#include "discovery/Watches.h"
#include "exchange/ExchangePeers.h"
#include "exchange/LoadMessageSchedule.h"
#include "exchange/StoreCache.h"
#include "exchange/StoreUpdateClient.h"
#include "exchange/StoreUpdateServer.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "observe/MetricsServer.h"
#include "observe/NonBlockingSink.h"
#include "packets/PacketFrontEnd.h"
#include "relay/BackendInquiry.h"
#include "relay/BeliefGauges.h"
#include "relay/Departure.h"
#include "relay/FlowLog.h"
#include "relay/PauseDetector.h"
#include "relay/ReadinessServer.h"
#include "relay/RelaySettings.h"
#include "settings/Program.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <optional>
#include <vector>

namespace cuminrelay {

/// Where a process gets its settings from, again and again.
class SettingsSource {
public:
    SettingsSource() = default;
    SettingsSource(const SettingsSource&) = delete;
    SettingsSource& operator=(const SettingsSource&) = delete;
    virtual ~SettingsSource() = default;

    /// Errors: NotFound, InvalidInput.
    virtual Outcome<RelaySettings> load() = 0;
};

/// What differs between the surroundings that a relay serves in. Everything must outlive the process.
struct RelayParts {
    boost::asio::io_context& m_context;
    PacketFrontEnd& m_packets;
    Discovery& m_backends;
    Discovery& m_declarations;
    BackendInquiry& m_inquiry;
    SettingsSource& m_settings;
    const Clock& m_clock;
    Metrics& m_metrics;
    Log& m_log;
    NonBlockingSink& m_logOutput; ///< of m_log
};

/// The process on an entry VM where packets carry their flow's backend server: one thread, and on it one task each for
/// packets, for what the others tell of load, for telling them, for each watch, each connection and each probe.
class RelayProcess final : private DiscoveryListener {
public:
    RelayProcess(RelaySettings settings, FlowPlacement& placement, const RelayParts& parts);

    /// Opens the sockets. Errors: Unavailable, naming the endpoint.
    Outcome<void> open();

    /// Serves until it was told to stop and may end.
    ExitStatus run();

    /// Tells it to stop, as SIGTERM does; may be called from any thread while it runs.
    void requestStop();

private:
    void backendsListed(const BackendList& list) override;
    void backendsChanged(const BackendChanges& changes) override;
    void declared(const ServiceDeclarations& declarations, StoreRevision revision) override;

    boost::asio::awaitable<void> forwardPackets();
    boost::asio::awaitable<void> hearLoads();
    boost::asio::awaitable<void> keepHouse();
    boost::asio::awaitable<void> serveSignals();
    boost::asio::awaitable<void> fetchStoreUpdate(Endpoint peer);
    boost::asio::awaitable<void> ask(LivenessProbe probe);

    void takeLoad(std::span<const std::byte> datagram, Endpoint peer, Instant now);
    void applyStoreUpdate(const StoreUpdate& storeUpdate, Endpoint peer);
    void chooseReader(Instant now);
    void tellLoad(Instant now);
    void announceStoreUpdate(Instant now);
    void introduceNewPeers(Instant now);
    std::size_t sendTo(std::span<const Endpoint> targets, std::span<const ExchangePeer> gossiped);
    void startProbes(Instant now);
    void beginLeaving();
    void reload();
    void noteRan(Instant now);
    void updateReadiness();
    void flushLog();
    void showBeliefs(Instant now);

    /// Some 100 bytes each.
    static constexpr std::size_t s_trackedFlows = 100'000;

    RelaySettings m_settings;
    RelayParts m_parts;
    FlowLog m_flowLog;
    TokenRouter m_router;
    ExchangePeers m_peers;
    StoreCache m_storeCache;
    StoreUpdateClient m_storeUpdateClient;
    StoreUpdateServer m_storeUpdateServer;
    BackendsWatch m_backendsWatch;
    DeclarationsWatch m_declarationsWatch;
    ReadinessServer m_readiness;
    MetricsServer m_metricsServer;
    std::optional<boost::asio::ip::udp::socket> m_exchange;
    boost::asio::signal_set m_signals;
    PauseDetector m_pauses;
    std::optional<Departure> m_departure;
    bool m_hasBackends = false; ///< the list was read at least once
    LoadMessage m_message; // reused by each telling
    LoadMessageSchedule m_loadMessageSchedule { c_exchangeBytesPerSecond };
    bool m_hasStoreUpdate = false; ///< not yet told to the own zone
    bool m_isFetching = false;
    BeliefGauges m_gauges;
    Deadline m_gaugesAt {}; ///< when they are shown next
    std::uint64_t m_countedLost = 0; ///< log lines, as the counter has them
    alignas(8) std::array<std::byte, c_maxLoadMessageBytes> m_sendRoom {};
    alignas(8) std::array<std::byte, c_maxLoadMessageBytes> m_receiveRoom {};
};

} // namespace cuminrelay
