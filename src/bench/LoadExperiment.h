#pragma once

#include "bench/BackendModel.h"
#include "bench/FlowExperiment.h"
#include "bench/LoadProfile.h"
#include "bench/OwnerDesign.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <queue>
#include <span>
#include <string>
#include <vector>

namespace cuminrelay {

struct LoadExperimentSettings {
    FleetProfile m_profile;
    ServiceLoad m_load; ///< for one service of the profile
    std::uint64_t m_seed = 1;
    LoadSpike m_loadSpike;
    bool m_hasStragglers = true;
    Instant m_measureFrom { std::chrono::seconds { 20 } };
    Instant m_end { std::chrono::seconds { 60 } }; ///< arrivals, probes and samples stop then
    Duration m_reportDelay = std::chrono::seconds { 1 };
    std::optional<std::size_t> m_misreportingBackend; ///< this backend server always reports zero load
    Deadline m_probesEnd = Deadline::max(); ///< probes of backend servers stop then
    Duration m_requestDeadline = std::chrono::seconds { 2 }; ///< from arrival; for feeds and short work
};

/// Measurements of one run. Counts and times cover work that arrived at m_measureFrom or later.
struct LoadResult {
    double m_worstImbalance = 0; ///< largest / mean connection count, worst sample; 0 if the mean stays below 50
    double m_meanImbalance = 0; ///< mean over the samples, one per second
    double m_connectionVariation = 0; ///< coefficient of variation, mean over the samples
    double m_waitMedian = 0; ///< seconds from arrival to a slot, for feeds and short work
    double m_waitP99 = 0;
    double m_shortP99 = 0; ///< seconds from arrival to completion of short work
    double m_inDeadlineShare = 1; ///< share of admitted feeds and short work completed by its deadline
    std::uint64_t m_offered = 0;
    std::uint64_t m_admitted = 0;
    std::array<std::uint64_t, 3> m_refused {}; ///< by Admission
    std::uint64_t m_noBackendRefusals = 0; ///< placement found no eligible backend server
    std::uint64_t m_refusedByBackend = 0; ///< at a backend server's connection limit
    std::uint64_t m_forcedRefusals = 0; ///< by an ideal central queue for all slots, with exact waiting times
    double m_refusalSpread = 0; ///< largest refused share of an entry VM / overall share; 0 without refusals
    double m_overrideShare = 0; ///< share of admitted work not on its default backend server

    std::uint64_t refusals() const;

    /// Returns (refusals - forced) / forced; negative if work was admitted that cannot meet its deadline. If forced is
    /// 0: 1 with refusals, else 0.
    double excessRefusals() const;
};

/// Simulates the load of one service in virtual time. Each entry VM has its own BackendStatusTable and policies for the
/// flows that it owns. Backend servers are queueing models whose reports arrive with a delay.
class LoadExperiment {
public:
    LoadExperiment(LoadExperimentSettings settings, const PolicyFactory& makePolicies);
    ~LoadExperiment();

    LoadResult run();

private:
    using BackendIndex = std::size_t;

    struct EntryVm;
    struct PlacedWork;

    enum class EventKind : std::uint8_t {
        SlotDone,
        FeedEnds,
        StragglerDetected,
        Probe,
        ReportArrives,
        Sample,
    };

    struct Event {
        Instant m_at {};
        std::uint64_t m_order = 0;
        EventKind m_kind = EventKind::Sample;
        std::size_t m_subject = 0; ///< a WorkIndex, a BackendIndex or an index in m_reports
    };

    struct LaterEvent {
        bool operator()(const Event& one, const Event& other) const;
    };

    void schedule(Instant at, EventKind kind, std::size_t subject);
    void handle(const Event& event);
    void handleArrival(WorkIndex index);
    void place(WorkIndex index, VmIndex vm, BackendIndex backend);
    void startQueuedWork(BackendIndex backend);
    void finishSlot(WorkIndex index);
    void endConnection(WorkIndex index);
    void probe(BackendIndex backend);
    void sample();
    bool isMeasured(const Work& work) const { return work.m_arrivesAt >= m_settings.m_measureFrom; }
    std::uint64_t countForcedRefusals() const;
    void summarize();

    LoadExperimentSettings m_settings;
    Configuration m_configuration;
    std::unique_ptr<ServiceTables> m_tables;
    const ServiceTable* m_service = nullptr;
    OwnerMap m_owners;
    std::vector<EntryVm> m_vms;
    std::vector<BackendModel> m_backends; ///< in the order of m_service->tunnels()
    std::vector<Work> m_work;
    std::vector<PlacedWork> m_placedWork; ///< by WorkIndex
    std::vector<BackendReport> m_reports;
    std::priority_queue<Event, std::vector<Event>, LaterEvent> m_events;
    std::uint64_t m_nextEvent = 0;
    Instant m_now {};
    std::uint64_t m_overrides = 0;
    std::uint64_t m_doneInTime = 0;
    std::uint64_t m_admittedWithDeadline = 0;
    std::vector<double> m_waits;
    std::vector<double> m_shortTimes;
    std::size_t m_sampleCount = 0;
    LoadResult m_result;
};

} // namespace cuminrelay
