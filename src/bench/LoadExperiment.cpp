#include "bench/LoadExperiment.h"

#include "base/Assert.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cuminrelay {

namespace {

    constexpr std::uint32_t c_vmNetwork = 0x0a090000;
    constexpr std::uint16_t c_peersPort = 7000;
    constexpr Duration c_probeInterval = std::chrono::seconds { 1 };
    constexpr Duration c_stragglerDetectionDelay = std::chrono::milliseconds { 500 };
    // 99% quantile of the exponentially distributed slot time, in mean slot times.
    constexpr double c_p99SlotTimes = 4.6;
    // With fewer connections at each backend server, the imbalance ratio is mostly noise.
    constexpr double c_minMeanConnections = 50;
    // Backend servers are past their cold start when a run begins.
    constexpr Instant c_declaredAt { -std::chrono::hours { 1 } };

    Duration secondsToDuration(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    double secondsOf(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    double quantile(std::vector<double>& values, double probability)
    {
        if (values.empty())
            return 0;
        const auto rank = static_cast<std::ptrdiff_t>(probability * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + rank, values.end());
        return values[static_cast<std::size_t>(rank)];
    }

    std::vector<Member> makeMembers(const FleetProfile& profile)
    {
        std::vector<Member> members(profile.m_entryVms);
        for (std::size_t i = 0; i < members.size(); ++i) {
            members[i].m_peers = { c_vmNetwork + static_cast<std::uint32_t>(i), c_peersPort };
            members[i].m_zone = profile.m_zones[i % profile.m_zones.size()];
        }
        return members;
    }

} // namespace

struct LoadExperiment::EntryVm {
    BackendStatusTable m_backendStatuses;
    std::unique_ptr<PlacementPolicy> m_placement;
    std::unique_ptr<AdmissionPolicy> m_admission;
    std::size_t m_ownerCount = 1; ///< 1 / its share of all flows
    std::uint64_t m_offered = 0;
    std::uint64_t m_refusals = 0;
};

struct LoadExperiment::PlacedWork {
    VmIndex m_vm = 0;
    BackendIndex m_backend = 0;
    bool m_isDetectedStraggler = false;
    bool m_isFinished = false;
};

std::uint64_t LoadResult::refusals() const
{
    return std::accumulate(m_refused.begin(), m_refused.end(), m_noBackendRefusals + m_refusedByBackend);
}

double LoadResult::excessRefusals() const
{
    if (m_forcedRefusals == 0)
        return refusals() == 0 ? 0 : 1;
    return static_cast<double>(refusals()) / static_cast<double>(m_forcedRefusals) - 1;
}

bool LoadExperiment::LaterEvent::operator()(const Event& one, const Event& other) const
{
    return std::tie(one.m_at, one.m_order) > std::tie(other.m_at, other.m_order);
}

LoadExperiment::LoadExperiment(LoadExperimentSettings settings, const PolicyFactory& makePolicies)
    : m_settings(std::move(settings))
    , m_configuration(makeConfiguration(m_settings.m_profile))
    , m_tables(std::make_unique<ServiceTables>(m_configuration))
    , m_owners(makeMembers(m_settings.m_profile))
{
    for (const std::shared_ptr<const ServiceTable>& service : m_tables->services())
        if (service->name() == m_settings.m_load.m_service && service->protocol() == Protocol::Tcp)
            m_service = service.get();
    CR_ASSERT(m_service, "the load must be of a service of the profile");

    m_vms.resize(m_settings.m_profile.m_entryVms);
    std::vector<std::size_t> buckets(m_vms.size(), 0);
    for (std::size_t bucket = 0; bucket < c_bucketCount; ++bucket)
        ++buckets[m_owners.owners(static_cast<Bucket>(bucket)).m_owner];
    for (VmIndex i = 0; i < m_vms.size(); ++i) {
        EntryVm& vm = m_vms[i];
        vm.m_ownerCount = (c_bucketCount + buckets[i] / 2) / std::max<std::size_t>(1, buckets[i]);
        vm.m_placement = makePolicies.m_placement();
        vm.m_admission = makePolicies.m_admission();
        vm.m_backendStatuses.setOwnerCount(vm.m_ownerCount);
    }
    for (const Endpoint tunnel : m_service->tunnels()) {
        const auto server
            = std::find_if(m_configuration.m_backendServers.begin(), m_configuration.m_backendServers.end(),
                [tunnel](const BackendServer& candidate) { return candidate.m_tunnel == tunnel; });
        m_backends.emplace_back(tunnel, server->m_slots, server->m_connectionLimit);
        for (EntryVm& vm : m_vms)
            vm.m_backendStatuses.declare(tunnel, server->m_slots, server->m_connectionLimit, false, c_declaredAt);
    }
}

LoadExperiment::~LoadExperiment() = default;

LoadResult LoadExperiment::run()
{
    m_work = makeWork(
        m_settings.m_load, m_settings.m_loadSpike, m_settings.m_hasStragglers, m_settings.m_end, m_settings.m_seed);
    m_placedWork.resize(m_work.size());
    for (BackendIndex backend = 0; backend < m_backends.size(); ++backend)
        schedule(Instant { c_probeInterval * backend / m_backends.size() }, EventKind::Probe, backend);
    schedule(m_settings.m_measureFrom, EventKind::Sample, 0);

    WorkIndex next = 0;
    while (next < m_work.size() || !m_events.empty()) {
        const bool isArrival
            = next < m_work.size() && (m_events.empty() || m_work[next].m_arrivesAt <= m_events.top().m_at);
        if (isArrival) {
            m_now = m_work[next].m_arrivesAt;
            handleArrival(next++);
            continue;
        }
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.m_at;
        handle(event);
    }
    summarize();
    return m_result;
}

void LoadExperiment::schedule(Instant at, EventKind kind, std::size_t subject)
{
    m_events.push({ at, m_nextEvent++, kind, subject });
}

void LoadExperiment::handle(const Event& event)
{
    switch (event.m_kind) {
    case EventKind::SlotDone:
        finishSlot(event.m_subject);
        break;
    case EventKind::FeedEnds:
        endConnection(event.m_subject);
        break;
    case EventKind::StragglerDetected: {
        PlacedWork& placed = m_placedWork[event.m_subject];
        if (placed.m_isFinished)
            break;
        placed.m_isDetectedStraggler = true;
        m_vms[placed.m_vm].m_backendStatuses.recordStraggler(m_service->tunnels()[placed.m_backend]);
        break;
    }
    case EventKind::Probe:
        probe(event.m_subject);
        break;
    case EventKind::ReportArrives:
        for (EntryVm& vm : m_vms)
            vm.m_backendStatuses.apply(m_reports[event.m_subject]);
        break;
    case EventKind::Sample:
        sample();
        break;
    }
}

void LoadExperiment::handleArrival(WorkIndex index)
{
    const Work& work = m_work[index];
    const FlowHash hash { work.m_flowHash };
    const Bucket bucket = bucketOf(hash);
    const VmIndex owner = m_owners.owners(bucket).m_owner;
    EntryVm& vm = m_vms[owner];
    const bool measured = isMeasured(work);
    m_result.m_offered += measured ? 1 : 0;
    vm.m_offered += measured ? 1 : 0;

    const std::span<const Endpoint> tunnels = m_service->tunnels();
    const Admission admission = vm.m_admission->admit(tunnels, vm.m_backendStatuses, vm.m_ownerCount, m_now);
    if (admission != Admission::Admitted) {
        m_result.m_refused[static_cast<std::size_t>(admission)] += measured ? 1 : 0;
        vm.m_refusals += measured ? 1 : 0;
        return;
    }
    const Endpoint preferred = m_service->defaultBackend(hash, m_tables->homeZone(bucket));
    const std::optional<Endpoint> chosen
        = vm.m_placement->choose({ tunnels, preferred, work.m_flowHash }, vm.m_backendStatuses, m_now);
    if (!chosen) {
        m_result.m_noBackendRefusals += measured ? 1 : 0;
        return;
    }
    const auto position = std::lower_bound(tunnels.begin(), tunnels.end(), *chosen);
    const BackendIndex backend = static_cast<BackendIndex>(position - tunnels.begin());
    if (!m_backends[backend].connect()) {
        m_result.m_refusedByBackend += measured ? 1 : 0;
        return;
    }
    m_result.m_admitted += measured ? 1 : 0;
    m_overrides += measured && *chosen != preferred ? 1 : 0;
    m_admittedWithDeadline += measured && work.m_kind != WorkKind::Straggler ? 1 : 0;
    place(index, owner, backend);
}

void LoadExperiment::place(WorkIndex index, VmIndex vm, BackendIndex backend)
{
    m_placedWork[index] = { vm, backend };
    const Endpoint tunnel = m_service->tunnels()[backend];
    m_vms[vm].m_backendStatuses.recordOpened(tunnel, m_now);
    m_vms[vm].m_backendStatuses.recordAnsweredOpening(tunnel);
    if (m_work[index].m_kind == WorkKind::Straggler)
        schedule(m_now + c_stragglerDetectionDelay, EventKind::StragglerDetected, index);
    m_backends[backend].enqueue(index);
    startQueuedWork(backend);
}

void LoadExperiment::startQueuedWork(BackendIndex backend)
{
    while (const std::optional<WorkIndex> index = m_backends[backend].startNext()) {
        const Work& work = m_work[*index];
        if (isMeasured(work) && work.m_kind != WorkKind::Straggler)
            m_waits.push_back(secondsOf(m_now - work.m_arrivesAt));
        schedule(m_now + secondsToDuration(work.m_slotSeconds), EventKind::SlotDone, *index);
    }
}

void LoadExperiment::finishSlot(WorkIndex index)
{
    const Work& work = m_work[index];
    const BackendIndex backend = m_placedWork[index].m_backend;
    m_backends[backend].freeSlot();
    const Duration elapsed = m_now - work.m_arrivesAt;
    if (isMeasured(work)) {
        if (work.m_kind == WorkKind::ShortWork)
            m_shortTimes.push_back(secondsOf(elapsed));
        if (work.m_kind != WorkKind::Straggler && elapsed <= m_settings.m_requestDeadline)
            ++m_doneInTime;
    }
    if (work.m_kind != WorkKind::Feed)
        endConnection(index);
    else if (m_now < m_settings.m_end)
        schedule(m_now + secondsToDuration(work.m_connectionSeconds), EventKind::FeedEnds, index);
    startQueuedWork(backend);
}

void LoadExperiment::endConnection(WorkIndex index)
{
    PlacedWork& placed = m_placedWork[index];
    placed.m_isFinished = true;
    m_backends[placed.m_backend].disconnect();
    m_vms[placed.m_vm].m_backendStatuses.recordClosed(
        m_service->tunnels()[placed.m_backend], placed.m_isDetectedStraggler, m_now);
}

void LoadExperiment::probe(BackendIndex backend)
{
    schedule(m_now + m_settings.m_reportDelay, EventKind::ReportArrives, m_reports.size());
    BackendReport& report = m_reports.emplace_back(m_backends[backend].report(m_now));
    if (m_settings.m_misreportingBackend == backend) {
        report.m_connections = 0;
        report.m_busySlots = 0;
        report.m_queued = 0;
    }
    if (m_now + c_probeInterval < std::min(m_settings.m_end, m_settings.m_probesEnd))
        schedule(m_now + c_probeInterval, EventKind::Probe, backend);
}

void LoadExperiment::sample()
{
    double sum = 0;
    double squares = 0;
    double most = 0;
    for (const BackendModel& backend : m_backends) {
        const double connections = backend.connections();
        sum += connections;
        squares += connections * connections;
        most = std::max(most, connections);
    }
    const double count = static_cast<double>(m_backends.size());
    const double mean = sum / count;
    if (mean >= c_minMeanConnections) {
        ++m_sampleCount;
        m_result.m_worstImbalance = std::max(m_result.m_worstImbalance, most / mean);
        m_result.m_meanImbalance += most / mean;
        m_result.m_connectionVariation += std::sqrt(std::max(0.0, squares / count - mean * mean)) / mean;
    }
    if (m_now + c_probeInterval < m_settings.m_end)
        schedule(m_now + c_probeInterval, EventKind::Sample, 0);
}

std::uint64_t LoadExperiment::countForcedRefusals() const
{
    std::priority_queue<Instant, std::vector<Instant>, std::greater<>> slots;
    for (std::size_t i = 0; i < m_backends.size(); ++i)
        for (std::uint16_t slot = 0; slot < m_configuration.m_backendServers.front().m_slots; ++slot)
            slots.push({});
    // The bound is the same for all work, because no front end can predict the slot time of one piece.
    const Duration longestWait
        = m_settings.m_requestDeadline - secondsToDuration(c_p99SlotTimes * m_settings.m_load.m_shortSlotSeconds);
    std::uint64_t refused = 0;
    for (const Work& work : m_work) {
        const Instant starts = std::max(work.m_arrivesAt, slots.top());
        if (work.m_kind != WorkKind::Straggler && starts > work.m_arrivesAt + longestWait) {
            refused += isMeasured(work) ? 1 : 0;
            continue;
        }
        slots.pop();
        slots.push(starts + secondsToDuration(work.m_slotSeconds));
    }
    return refused;
}

void LoadExperiment::summarize()
{
    m_result.m_forcedRefusals = countForcedRefusals();
    m_result.m_waitMedian = quantile(m_waits, 0.5);
    m_result.m_waitP99 = quantile(m_waits, 0.99);
    m_result.m_shortP99 = quantile(m_shortTimes, 0.99);
    if (m_sampleCount > 0) {
        m_result.m_meanImbalance /= static_cast<double>(m_sampleCount);
        m_result.m_connectionVariation /= static_cast<double>(m_sampleCount);
    }
    if (m_admittedWithDeadline > 0)
        m_result.m_inDeadlineShare = static_cast<double>(m_doneInTime) / static_cast<double>(m_admittedWithDeadline);
    if (m_result.m_admitted > 0)
        m_result.m_overrideShare = static_cast<double>(m_overrides) / static_cast<double>(m_result.m_admitted);
    std::uint64_t refusals = 0;
    double largestShare = 0;
    for (const EntryVm& vm : m_vms) {
        refusals += vm.m_refusals;
        if (vm.m_offered > 0)
            largestShare
                = std::max(largestShare, static_cast<double>(vm.m_refusals) / static_cast<double>(vm.m_offered));
    }
    if (refusals > 0)
        m_result.m_refusalSpread
            = largestShare * static_cast<double>(m_result.m_offered) / static_cast<double>(refusals);
}

} // namespace cuminrelay
