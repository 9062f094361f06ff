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

/// What a day with trouble brings to callers.
enum class LoadPattern : std::uint8_t {
    Steady,
    Crest, ///< for five seconds three times the callers
    Stragglers, ///< one short request in fifty works forty times longer
    SilentPeers, ///< a crest while entry VMs do not hear of each other
    DarkHosts, ///< a seventh of the backend servers answers nothing for four seconds, and nobody says so
    Count,
};

std::string_view loadPatternName(LoadPattern pattern);

struct ReplaySettings {
    FleetProfile m_profile; ///< its first service is played
    LoadPattern m_pattern = LoadPattern::Steady;
    std::uint64_t m_seed = 1;
    Instant m_end { std::chrono::seconds { 21 } };
};

/// What callers saw.
struct ReplayResult {
    std::uint64_t m_requests = 0;
    std::uint64_t m_late = 0; ///< answered after the latency objective
    std::uint64_t m_failed = 0; ///< not answered by the deadline
    double m_medianSeconds = 0;
    double m_p99Seconds = 0;
    double m_worstWindow = 1; ///< part answered within the objective in the worst two seconds

    double inObjective() const;
};

/// Plays requests over long and short flows against a design, in virtual time: callers that repeat openings and data as
/// TCP does, and backend servers with slots and queues. It answers what the way of placing new flows is worth to
/// callers. The same seed and design give the same run.
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
        Instant m_callerLeavesAt {}; ///< who has long flows opens no other after this
        Instant m_closesAt {}; ///< a long flow begins no request after this
        bool m_isOpen = false;
        bool m_isDone = false;
        std::uint64_t m_request = 0; ///< counts up; answers and timers of earlier ones are ignored
        std::uint64_t m_taken = 0; ///< the last request that a backend server has
        bool m_waits = false; ///< for an answer
        bool m_isStraggler = false; ///< the request is meant to take long
        Instant m_askedAt {};
        double m_workSeconds = 0;
        std::uint32_t m_sequence = 1;
        std::uint32_t m_acknowledgment = 1;
    };

    /// A request in a backend server's queue or slot.
    struct Job {
        FlowIndex m_flow = 0;
        std::uint64_t m_request = 0;
    };

    struct Host {
        BackendModel m_model;
        bool m_isDark = false;
        std::uint64_t m_lost = 0; ///< counts the times that it lost its work
    };

    struct Answered {
        Instant m_askedAt {};
        Duration m_taken {}; ///< Duration::max(): not answered
        Duration m_objective {};
    };

    // What designs ask of the network.
    bool reaches(VmIndex from, VmIndex to) override;
    bool isRunning(VmIndex) const override { return true; }
    VmIndex vmAt(Endpoint peers) const override;

    void startVms();
    void tickRepeatedly();
    void shortArrivals();
    void startCallers(std::size_t count, Instant until);
    void darken(bool dark);
    bool isCrest() const;

    FlowIndex newFlow(bool isLong, Instant callerLeavesAt);
    void open(FlowIndex flow, std::uint8_t copy);
    void ask(FlowIndex flow);
    void sendRequest(FlowIndex flow, std::uint64_t request, Duration repeatAfter);
    void takeRequest(Endpoint host, Job job);
    void startWork(Endpoint host);
    void takeAnswer(FlowIndex flow, std::uint64_t request);
    void giveUp(FlowIndex flow, std::uint64_t request);
    void goOn(FlowIndex flow);
    PacketSummary packetOf(const Flow& flow, PacketKind kind, std::uint16_t payloadBytes) const;
    FleetOutcome route(const Flow& flow, const PacketSummary& packet);
    ReplayResult summary() const;

    ReplaySettings m_settings;
    Random m_random;
    Timeline m_timeline;
    Configuration m_configuration;
    std::vector<Endpoint> m_vms;
    std::map<Endpoint, Host> m_hosts; ///< of the played service
    std::unique_ptr<FleetDesign> m_design;
    std::vector<Flow> m_flows;
    std::vector<Job> m_jobs;
    std::vector<Answered> m_answered;
    Instant m_start {};
};

} // namespace cuminrelay
