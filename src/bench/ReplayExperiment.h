#pragma once

#include "bench/BackendModel.h"
#include "bench/FleetDesign.h"
#include "bench/FlowExperiment.h"
#include "bench/Random.h"
#include "bench/Timeline.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// Load patterns and faults of a run.
enum class LoadPattern : std::uint8_t {
    Steady,
    LoadSpike, ///< three times the callers for five seconds
    Stragglers, ///< one short request in fifty takes forty times longer
    UnreachablePeers, ///< a load spike while no messages between entry VMs arrive
    UnresponsiveBackends, ///< every seventh backend server does not answer for four seconds, unreported
    Count,
};

std::string_view loadPatternName(LoadPattern pattern);

struct ReplaySettings {
    FleetProfile m_profile; ///< its first service is used
    LoadPattern m_pattern = LoadPattern::Steady;
    std::uint64_t m_seed = 1;
    Instant m_end { std::chrono::seconds { 21 } };
};

struct ReplayResult {
    std::uint64_t m_requests = 0;
    std::uint64_t m_late = 0; ///< answered after the latency objective
    std::uint64_t m_failed = 0; ///< not answered by the deadline
    double m_medianSeconds = 0;
    double m_p99Seconds = 0;
    double m_worstWindow = 1; ///< share answered within the objective in the worst two seconds

    /// Returns the share of requests answered within the objective.
    double inObjective() const;
};

/// Simulates requests over long and short flows in virtual time, to compare the placement of new flows by its effect on
/// callers. Callers retransmit opening packets and data as TCP does; backend servers have slots and queues. The same
/// seed and design give the same run.
class ReplayExperiment final : private FleetNetwork {
public:
    ReplayExperiment(ReplaySettings settings, const FlowExperiment::DesignFactory& makeDesign);

    ReplayResult run();

private:
    using FlowIndex = std::size_t;

    struct Flow {
        FlowKey m_key;
        VmIndex m_vm = 0;
        bool m_isLong = false;
        Instant m_callerLeavesAt {}; ///< a caller of long flows opens no other flow after this
        Instant m_closesAt {}; ///< a long flow starts no request after this
        bool m_isOpen = false;
        bool m_isDone = false;
        std::uint64_t m_request = 0; ///< request number; answers and timers of earlier requests are ignored
        std::uint64_t m_receivedRequest = 0; ///< last request received by a backend server
        bool m_isWaiting = false; ///< for the answer to m_request
        bool m_isStraggler = false; ///< the current request takes long by design
        Instant m_requestedAt {};
        double m_workSeconds = 0;
        std::uint32_t m_sequence = 1;
        std::uint32_t m_acknowledgment = 1;
    };

    /// Request in a backend server's queue or slot.
    struct Job {
        FlowIndex m_flow = 0;
        std::uint64_t m_request = 0;
    };

    struct SimulatedBackend {
        BackendModel m_model;
        bool m_isUnresponsive = false;
        std::uint64_t m_workLosses = 0; ///< number of times that its queue and slots were cleared
    };

    struct FinishedRequest {
        Instant m_requestedAt {};
        Duration m_responseTime {}; ///< until the answer; Duration::max() without one
        Duration m_objective {};
    };

    bool reaches(VmIndex from, VmIndex to) override;
    bool isRunning(VmIndex) const override { return true; }
    VmIndex vmAt(Endpoint peerEndpoint) const override;

    void startVms();
    void scheduleTicks();
    void scheduleShortRequests();
    void startCallers(std::size_t count, Instant until);
    void setUnresponsive(bool isUnresponsive);
    bool isInLoadSpike() const;

    FlowIndex newFlow(bool isLong, Instant callerLeavesAt);
    void open(FlowIndex flow, std::uint8_t retransmissions);
    void startRequest(FlowIndex flow);
    void sendRequest(FlowIndex flow, std::uint64_t request, Duration retransmitAfter);
    void receiveRequest(Endpoint backend, Job job);
    void startWork(Endpoint backend);
    void receiveAnswer(FlowIndex flow, std::uint64_t request);
    void timeOutRequest(FlowIndex flow, std::uint64_t request);
    void scheduleNextRequest(FlowIndex flow);
    PacketSummary packetOf(const Flow& flow, PacketKind kind, std::uint16_t payloadBytes) const;
    FleetOutcome route(const Flow& flow, const PacketSummary& packet);
    ReplayResult summary() const;

    ReplaySettings m_settings;
    Random m_random;
    Timeline m_timeline;
    Configuration m_configuration;
    std::vector<Endpoint> m_vms;
    std::map<Endpoint, SimulatedBackend> m_backends; ///< of the simulated service
    std::unique_ptr<FleetDesign> m_design;
    std::vector<Flow> m_flows;
    std::vector<Job> m_jobs;
    std::vector<FinishedRequest> m_finishedRequests;
    Instant m_start {};
};

} // namespace cuminrelay
