#pragma once

#include "affinity/NullRouterObserver.h"
#include "affinity/TokenRouter.h"
#include "exchange/ContestedFlowsExchange.h"
#include "exchange/ExchangePeers.h"
#include "exchange/LoadMessageSchedule.h"
#include "placement/LeastWorkPlacement.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace cuminrelay {

/// What is drawn at random in a run of FlowFleet.
struct FlowFleetOptions {
    std::uint64_t m_seed = 1;
    std::vector<std::size_t> m_vmsPerZone { 4, 2 }; ///< callers are in the first zone
    double m_flowsPerSecond = 120;
    unsigned m_requests = 6; ///< of each flow
    Duration m_minPause = std::chrono::milliseconds { 100 };
    Duration m_maxPause = std::chrono::milliseconds { 500 };
    bool m_reusesPorts = false; ///< a second after a flow ended
    double m_packetLoss = 0; ///< of callers' and backend servers' packets
    double m_openingAnswerLoss = 0; ///< of the answers to opening packets, beside m_packetLoss
    double m_messageLoss = 0; ///< of messages between VMs
    Duration m_stopInterval {}; ///< between planned restarts of VMs of the callers' zone; 0: none
    Duration m_cutInterval {}; ///< between two power cuts 850 ms apart; 0: none
    bool m_losesSeeds = false; ///< the VMs that the seeds name leave for good, just before one of the others restarts
    bool m_cutsLinks = false; ///< at random times a VM gets and sends no messages for a second or two
};

/// Entry VMs, backend servers that answer and retransmit, and callers, on a virtual clock. The routers, what they know
/// of contested flows and of each other are the product's; the fabric, network, backend servers and callers are models
/// of the users' platform. Checks each packet that a backend server gets.
class FlowFleet {
public:
    explicit FlowFleet(const FlowFleetOptions& options);

    void run(Duration duration);

    /// Flows that were reset by a backend server that did not hold them, while they were open at another one. Under
    /// power cuts and cut links only those whose packet went through a VM that had run undisturbed for 4 s.
    const std::vector<std::string>& misrouted() const { return m_misrouted; }

    /// Requests of which no copy reached the flow's backend server, though all went through VMs that had run
    /// undisturbed for 4 s, and a VM still runs that sent earlier packets of the flow there.
    const std::vector<std::string>& stalled() const { return m_stalled; }

    std::size_t answered() const { return m_answered; }
    std::size_t opened() const { return m_opened; }

    /// Bytes of notices and load messages that a VM has sent, in the mean.
    double bytesSent() const { return static_cast<double>(m_bytes) / static_cast<double>(m_vms.size()); }

private:
    struct Vm {
        std::size_t m_index = 0;
        Endpoint m_self;
        std::string m_zone;
        std::unique_ptr<TokenRouter> m_router;
        std::unique_ptr<ExchangePeers> m_peers;
        std::unique_ptr<ContestedFlowsExchange> m_contested;
        std::unique_ptr<LoadMessageSchedule> m_schedule;
        std::vector<BackendLoadReport> m_loads;
        std::vector<Endpoint> m_seeds;
        Instant m_disturbedAt {}; ///< last start, end, or cut of its links, unless planned
        Instant m_stoppedAt {}; ///< last start or stop, planned or not
        Deadline m_cutUntil {};
        bool m_isRunning = false;
        bool m_isLeaving = false;
        bool m_isInRotation = false;
        bool m_isRemoved = false;
        unsigned m_misses = 0;
        std::uint64_t m_life = 0;
    };

    struct HostFlow {
        std::uint32_t m_openingSequence = 0;
        std::uint32_t m_sequence = 0;
        std::uint32_t m_answered = 0; ///< sequence number after the last request
        std::uint32_t m_token = 0;
        bool m_isOpen = false;
        bool m_isUnacknowledged = true;
        unsigned m_repeats = 0;
        std::uint64_t m_timer = 0;
    };

    struct Host {
        AnnouncedBackend m_backend;
        std::map<FlowKey, HostFlow> m_flows;
    };

    struct Caller {
        FlowKey m_key;
        std::uint32_t m_openingSequence = 0;
        std::uint32_t m_nextSequence = 0; ///< of the pending request
        std::uint32_t m_acknowledgment = 0;
        std::uint32_t m_token = 0;
        unsigned m_requestsLeft = 0;
        unsigned m_copies = 0;
        bool m_isOpen = false; ///< got an answer to its opening
        bool m_isEnded = false;
        bool m_isPending = false; ///< waits for an answer to a request
        Instant m_sentAt {}; ///< first copy of the request
        bool m_isUndisturbed = true; ///< all copies of the request went through VMs that ran undisturbed
        bool m_hasArrived = false; ///< a copy of the request reached the backend server of the flow
        std::uint64_t m_timer = 0;
        Host* m_host = nullptr; ///< where the flow is open
        std::map<const Vm*, std::uint64_t> m_knownBy; ///< the VMs that sent packets there, and their lives
        const Vm* m_lastVm = nullptr;
        std::string m_trail;
    };

    using CallerPointer = std::shared_ptr<Caller>;

    void after(Duration delay, std::function<void()> action);
    bool isLost(double share) { return share > 0 && std::uniform_real_distribution<> {}(m_random) < share; }
    Duration draw(Duration low, Duration high);

    void start(Vm& vm);
    void stop(Vm& vm);
    void cutPower(Vm& vm);
    void end(Vm& vm);
    void tick(Vm& vm, std::uint64_t life);
    void probeReadiness(Vm& vm);
    void sendNotices(Vm& vm);
    void send(Vm& vm, LoadMessage message, const std::vector<Endpoint>& targets);
    void receive(Vm& vm, Endpoint sender, const LoadMessage& message);
    void fetchContestedFlows(Vm& vm);
    void planFaults();
    bool isDisturbed(const Vm& vm) const;

    void openFlow();
    void sendOpening(const CallerPointer& caller);
    void sendRequest(const CallerPointer& caller);
    void sendPending(const CallerPointer& caller, std::uint64_t timer);
    void sendFromCaller(const CallerPointer& caller, PacketSummary packet);
    void receiveAtVm(Vm& vm, const PacketSummary& packet);
    void receiveAtHost(Host& host, const PacketSummary& packet, std::uint32_t token, const Vm& vm);
    void transmit(Host& host, const FlowKey& key, bool isOpening);
    void receiveAtCaller(Host& host, const FlowKey& key, const HostFlow& flow, bool isOpening);
    void resetCaller(Host& host, const FlowKey& key, const Vm& vm);
    void endFlow(Caller& caller);
    CallerPointer callerOf(const FlowKey& key);
    void trace(Caller& caller, const std::string& text);

    struct Event {
        Instant m_at {};
        std::uint64_t m_number = 0;
        std::function<void()> m_action;
        bool operator<(const Event& other) const
        {
            return m_at != other.m_at ? m_at > other.m_at : m_number > other.m_number;
        }
    };

    FlowFleetOptions m_options;
    std::mt19937_64 m_random;
    Instant m_now { std::chrono::seconds { 1'000 } };
    std::uint64_t m_events = 0;
    std::priority_queue<Event> m_queue;
    LeastWorkPlacement m_placement;
    NullRouterObserver m_observer;
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<FlowKey, CallerPointer> m_callers;
    std::vector<std::uint16_t> m_freePorts;
    std::uint16_t m_nextPort = 10'000;
    std::vector<std::string> m_misrouted;
    std::vector<std::string> m_stalled;
    std::size_t m_answered = 0;
    std::size_t m_opened = 0;
    std::size_t m_bytes = 0;
};

} // namespace cuminrelay
