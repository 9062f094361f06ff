#pragma once

#include "bench/FleetDesign.h"
#include "bench/Random.h"
#include "configuration/Model.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// Simulated deployment: zones, entry VMs, backend servers and services.
struct FleetProfile {
    std::string m_name;
    std::vector<std::string> m_zones;
    std::size_t m_entryVms = 0;
    struct ServiceSize {
        std::string m_name;
        std::size_t m_backendServers = 0;
        double m_arrivalShare = 0;
    };
    std::vector<ServiceSize> m_services;
};

/// Returns the profile "shirakaba" or "kalahari", or nullopt for another name.
std::optional<FleetProfile> findFleetProfile(std::string_view name);

/// Returns version 1 of a profile's configuration. Each service has a standby server that its selector excludes.
Configuration makeConfiguration(const FleetProfile& profile);

/// Faults and planned changes injected into the fleet.
enum class FaultKind : std::uint8_t {
    None,
    KillVm,
    PauseVm, ///< for 3 s; then it continues with its state and its socket queue
    RestartVm, ///< killed and restarted without state after 300 ms
    ReplaceVm, ///< planned: graceful shutdown, then a new VM in its place
    KillBackend,
    DrainBackend,
    AddBackend, ///< selector change that includes the standby
    RemoveBackend, ///< selector change that excludes a backend server; its flows continue
    PartitionZone, ///< network partition between one zone and the others, for 6 s
    LosePackets, ///< 5% of packets, calls and answers between VMs, for 3 s
    DuplicatePackets, ///< 5% of callers' packets, each copy routed independently by the fabric, for 3 s
    LoseAnswers, ///< half of the packets, calls and answers between VMs, for 3 s
    Count,
};

std::string_view faultName(FaultKind kind);

/// Whether a fault is a planned change, after which no flow may break.
bool isPlanned(FaultKind kind);

struct FaultEvent {
    Instant m_at {}; ///< from the end of the warm-up
    FaultKind m_kind = FaultKind::None;
};

/// Step of a flow's lifetime at the last fault.
enum class FlowStep : std::uint8_t {
    Opening,
    FirstData,
    Established,
    HalfClosed,
    Closing,
    Later, ///< opened after the fault
    Count,
};

std::string_view flowStepName(FlowStep step);

/// How the fabric selects the entry VM for a packet.
enum class FabricKind : std::uint8_t {
    EachPacketAnywhere, ///< a random listed VM for each packet
    EachFlowByHash, ///< the flow's hash modulo the number of listed VMs; changes with the list
};

struct FlowExperimentSettings {
    FleetProfile m_profile;
    FabricKind m_fabric = FabricKind::EachPacketAnywhere;
    std::uint64_t m_seed = 1;
    double m_arrivalsPerSecond = 300;
    Duration m_length = std::chrono::seconds { 20 }; ///< after a warm-up of 5 s
    std::vector<FaultEvent> m_faults;
};

/// Details of a broken flow.
struct BrokenFlow {
    Instant m_at {};
    Instant m_openedAt {};
    FlowKey m_key;
    PacketKind m_packetKind = PacketKind::Midstream;
    VmIndex m_lastVm = 0; ///< last VM on the packet's path
    unsigned m_hops = 0;
    Endpoint m_expectedBackend;
    Endpoint m_reachedBackend; ///< empty if no packet was delivered
};

struct FlowExperimentResult {
    std::uint64_t m_flows = 0; ///< opened
    std::uint64_t m_refused = 0;
    std::uint64_t m_neverOpened = 0; ///< gave up after all retransmissions of the opening packet
    std::uint64_t m_brokenByReset = 0; ///< a packet was refused, or reached a backend server without the connection
    std::uint64_t m_brokenByStall = 0; ///< no packet delivered within the callers' time-out
    std::uint64_t m_brokenOnDeadBackend = 0; ///< its backend server failed; unavoidable
    std::uint64_t m_brokenEstablished = 0; ///< broken by reset or stall, and older than 2 s at the last fault
    std::uint64_t m_misrouted = 0; ///< a packet reached a backend server of another service
    std::uint64_t m_openedTwice = 0; ///< opening packets of one flow reached two backend servers
    std::uint64_t m_packets = 0;
    std::uint64_t m_hops = 0;
    std::uint64_t m_relayedPackets = 0;
    std::uint64_t m_controlBytes = 0;
    std::vector<BrokenFlow> m_brokenFlows; ///< the first 20
    Instant m_lastFault {};
    std::size_t m_heldFlows = 0; ///< flow states on all VMs at the end
    std::size_t m_liveFlows = 0; ///< established flows at the end
    std::map<Reason, std::uint64_t> m_drops;

    struct StepCount {
        std::uint64_t m_flows = 0;
        std::uint64_t m_broken = 0;
    };
    std::array<StepCount, static_cast<std::size_t>(FlowStep::Count)> m_steps {}; ///< by FlowStep
    double m_worstImbalance = 0; ///< largest / mean number of open flows of a backend server at the end; worst service

    std::uint64_t broken() const { return m_brokenByReset + m_brokenByStall; }
};

/// Simulates callers of a fleet of entry VMs in virtual time, with faults. Callers open long feeds, short forms,
/// uploads and datagram flows. The fabric selects the VM of each packet. Backend servers accept packets of the
/// connections that they opened and reset all others.
class FlowExperiment final : private FleetNetwork {
public:
    using DesignFactory
        = std::function<std::unique_ptr<FleetDesign>(std::span<const Endpoint> vms, FleetNetwork& network)>;

    FlowExperiment(FlowExperimentSettings settings, const DesignFactory& makeDesign);
    ~FlowExperiment() override;

    FlowExperimentResult run();

private:
    struct Vm;
    struct Backend;
    struct CallerFlow;

    /// Time of a flow's next packet.
    struct Event {
        Instant m_at {};
        std::uint64_t m_order = 0;
        std::size_t m_flow = 0;
        std::uint32_t m_generation = 0;
    };

    struct LaterEvent {
        bool operator()(const Event& one, const Event& other) const;
    };

    bool reaches(VmIndex from, VmIndex to) override;
    bool isRunning(VmIndex vm) const override;
    VmIndex vmAt(Endpoint peerEndpoint) const override;

    void openFlow();
    void sendNext(std::size_t flow);
    void deliver(std::size_t flow, VmIndex vm, const PacketSummary& packet);
    void applyOutcome(std::size_t flow, const PacketSummary& packet, const FleetOutcome& outcome);
    void breakFlow(CallerFlow& flow, std::uint64_t& counter, const FleetOutcome& outcome, PacketKind packet);
    void scheduleNext(std::size_t flow);
    std::optional<VmIndex> selectVm(const FlowKey& flow);

    void injectFault(const FaultEvent& fault);
    void recordFlowSteps();
    void killVm(VmIndex vm);
    void startVm(VmIndex vm);
    void resumeVm(VmIndex vm);
    void stopDrainedVms();
    void publish(const Configuration& configuration);
    void changeBackend(FaultKind kind);
    void refreshViews();
    MemberView viewOf(VmIndex vm) const;
    void reportBackends();
    void tick();
    double imbalance() const;
    VmIndex randomRunningVm();

    FlowExperimentSettings m_settings;
    Random m_random;
    Configuration m_configuration;
    std::vector<Configuration> m_published;
    std::vector<Vm> m_vms;
    std::map<Endpoint, VmIndex> m_vmByAddress;
    std::map<Endpoint, Backend> m_backends;
    std::vector<CallerFlow> m_flows;
    std::vector<std::size_t> m_freeFlows;
    std::priority_queue<Event, std::vector<Event>, LaterEvent> m_events;
    std::uint64_t m_nextEvent = 0;
    std::unique_ptr<FleetDesign> m_design;
    FlowExperimentResult m_result;
    Instant m_now { std::chrono::seconds { 1 } };
    Instant m_lastFault {};
    std::string m_partitionedZone;
    Deadline m_partitionEnds {};
    Deadline m_lossEnds {};
    Deadline m_duplicationEnds {};
    Deadline m_answerLossEnds {};
};

} // namespace cuminrelay
