#include "bench/ChangeExperiment.h"

#include "base/Backoff.h"
#include "configuration/Lookup.h"
#include "configuration/Selector.h"
#include "control/ControlState.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace cuminrelay {

namespace {

    constexpr std::array<std::string_view, 3> c_zones { "asahikawa-a", "furano-c", "nayoro-b" };
    constexpr std::size_t c_vmCount = 6;
    constexpr std::size_t c_fullMeshLimit = 16;
    constexpr VmIndex c_replacedVm = 2;
    constexpr std::uint32_t c_vmNetwork = 0x0a090000;
    constexpr std::uint32_t c_backendNetwork = 0x0a010000;
    constexpr std::size_t c_backendCount = 4;
    constexpr std::string_view c_editedBackend = "k-1";
    constexpr std::string_view c_drainedBackend = "k-3";

    constexpr Instant c_firstInjectionAt { std::chrono::seconds { 6 } };
    constexpr Instant c_firstEdit { std::chrono::seconds { 7 } };
    constexpr Instant c_replacedAt { std::chrono::milliseconds { 9'500 } };
    constexpr Instant c_drainAt { std::chrono::milliseconds { 10'100 } };
    constexpr Instant c_end { std::chrono::seconds { 32 } };
    constexpr unsigned c_editPairs = 6;
    constexpr Duration c_editPairInterval = std::chrono::seconds { 2 };

    constexpr Duration c_oneWayDelay = std::chrono::milliseconds { 1 };
    constexpr Duration c_platformDelay = std::chrono::milliseconds { 2 };
    constexpr Duration c_tickInterval = std::chrono::milliseconds { 100 };
    constexpr Duration c_heartbeatInterval = std::chrono::milliseconds { 500 };
    constexpr Duration c_watchInterval = std::chrono::milliseconds { 100 };
    constexpr Duration c_listInterval = std::chrono::seconds { 2 };
    constexpr Duration c_installTime = std::chrono::milliseconds { 5 };
    constexpr Duration c_sampleInterval = std::chrono::milliseconds { 50 };
    constexpr Duration c_workInterval = std::chrono::milliseconds { 40 };
    constexpr std::uint64_t c_maxWorkMicroseconds = 1'500'000;
    constexpr Duration c_decideTime = std::chrono::milliseconds { 5 };
    constexpr Backoff::Limits c_watchRetryLimits { std::chrono::milliseconds { 100 }, std::chrono::seconds { 3 } };

    constexpr unsigned c_maxWrites = 20;
    constexpr Duration c_retryDelayPerWrite = std::chrono::milliseconds { 20 };
    constexpr Duration c_editTimeout = std::chrono::seconds { 10 };

    /// Time after which a change must be in force on all reachable VMs.
    constexpr Duration c_inForceTimeLimit = std::chrono::seconds { 4 };

    /// Time after which a draining backend server must get no new work.
    constexpr Duration c_drainTimeLimit = std::chrono::seconds { 3 };

    constexpr Duration c_platformOutage = std::chrono::seconds { 3 };
    constexpr Duration c_platformSlowTime = std::chrono::seconds { 4 };
    constexpr Duration c_slowCallDelay = std::chrono::seconds { 1 };
    constexpr Duration c_answerLoss = std::chrono::milliseconds { 500 };
    constexpr Duration c_staleness = std::chrono::seconds { 2 };
    constexpr std::size_t c_restoredVersions = 2;
    constexpr Duration c_listLag = std::chrono::seconds { 8 };
    constexpr Duration c_controlRestart = std::chrono::milliseconds { 500 };
    constexpr Duration c_vmRestart = std::chrono::milliseconds { 300 };
    constexpr Duration c_pauseTime = std::chrono::seconds { 3 };
    constexpr Duration c_partitionTime = std::chrono::seconds { 6 };
    constexpr Duration c_slowInstallsTime = std::chrono::seconds { 4 };
    constexpr std::uint64_t c_maxInstallMicroseconds = 1'500'000;

    Member makeMember(VmIndex vm)
    {
        const std::uint32_t address = c_vmNetwork + static_cast<std::uint32_t>(vm) + 1;
        Member member;
        member.m_peers = { address, 7001 };
        member.m_replica = { address, 7002 };
        member.m_control = { address, 7003 };
        member.m_name = fmt::format("vm-{}", vm);
        member.m_zone = c_zones[vm % c_zones.size()];
        return member;
    }

    Configuration makeFirstConfiguration()
    {
        Configuration configuration;
        configuration.m_version = ConfigVersion { 1 };
        configuration.m_zones.assign(c_zones.begin(), c_zones.end());
        for (std::uint32_t i = 0; i < c_backendCount; ++i) {
            BackendServer backend;
            backend.m_name = fmt::format("k-{}", i);
            backend.m_zone = c_zones[i % c_zones.size()];
            backend.m_tunnel = { c_backendNetwork + i, 5555 };
            backend.m_report = { c_backendNetwork + i, 80 };
            backend.m_connectionLimit = 2000;
            backend.m_slots = 2;
            backend.m_labels = { { "app", "kanteisha" } };
            configuration.m_backendServers.push_back(std::move(backend));
        }
        Service service;
        service.m_name = "kanteisha";
        service.m_address = { c_backendNetwork + 1000, 80 };
        service.m_selector = parseSelector("app=kanteisha").value();
        configuration.m_services = { service };
        return configuration;
    }

    std::optional<std::string> labelOf(const Configuration& configuration, std::string_view key)
    {
        const BackendServer* const backend = findBackendServer(configuration.m_backendServers, c_editedBackend);
        const auto found = backend->m_labels.find(key);
        return found == backend->m_labels.end() ? std::nullopt : std::optional { found->second };
    }

    bool isDraining(const Configuration& configuration)
    {
        const BackendServer* const backend = findBackendServer(configuration.m_backendServers, c_drainedBackend);
        return backend && backend->m_draining;
    }

} // namespace

/// An entry VM with its control process and its entry process.
struct ChangeExperiment::Vm {
    Member m_self;
    std::unique_ptr<ControlState> m_control; ///< null while no control process runs
    std::uint64_t m_controlProcess = 0;
    Deadline m_pausedUntil {}; ///< of the control process
    std::unique_ptr<Backoff> m_watchRetry;
    Deadline m_watchAt {}; ///< next read; max() during a read
    std::vector<PeerCursor> m_cursors;

    bool m_isUp = true;
    std::uint64_t m_incarnation = 1;
    std::unique_ptr<ConfigurationHolder> m_held; ///< configurations held by the entry process
    SharedConfiguration m_inForce;
    bool m_isOwning = false;
    bool m_isInstalling = false;

    Instant m_blockedUntil {}; ///< a fault prevented changes from arriving until then
    ConfigVersion m_lastLateVersion; ///< newest version counted as late
    ChangeStep m_joinStep = ChangeStep::Count; ///< next step; Count after the join
};

struct ChangeExperiment::EditRun {
    Edit m_edit;
    std::string m_key; ///< label key; empty for a drain
    std::optional<std::string> m_readValue;
    VmIndex m_faultTarget = 0; ///< VM affected by a fault at one of its steps
    Deadline m_deadline {};
    unsigned m_writes = 0;
    bool m_isPrepared = false;
    bool m_hasUnknownWrite = false; ///< a write's answer was lost
    std::optional<ConfigVersion> m_accepted; ///< version that contains the edit
    std::optional<ErrorKind> m_failure;
    bool m_namesOtherAuthor = false; ///< the error names the author of another edit
};

std::string_view changeFaultName(ChangeFault fault)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(ChangeFault::Count)> names { "none",
        "platform-down", "platform-slow", "lose-write-answer", "stale-read", "restore-store", "lag-vm-list",
        "kill-control", "pause-control", "cut-zones", "cut-platform", "cut-both", "uneven-updates", "operator-race" };
    return names.at(static_cast<std::size_t>(fault));
}

std::string_view changeStepName(ChangeStep step)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(ChangeStep::Count)> names { "read", "decide",
        "write", "answer", "watched", "told", "installed", "everywhere", "starts", "hears-peers", "takes-kept",
        "settled", "owns", "declared", "in-force", "last-new", "last-ended" };
    return names.at(static_cast<std::size_t>(step));
}

bool isLaterStep(ChangeStep step, ChangeStep than)
{
    const bool sameChange = step < ChangeStep::JoinStarts;
    const bool sameDrain = than >= ChangeStep::DrainDeclared;
    const bool sameJoin = than >= ChangeStep::JoinStarts && step < ChangeStep::DrainDeclared;
    return step > than && (sameChange || sameDrain || sameJoin);
}

std::uint64_t ChangeExperimentResult::violations() const
{
    return m_versionDecreases + m_lostEdits + m_duplicateEdits + m_refusedButWritten + m_overwritten + m_disjointRefused
        + m_unnamedConflicts + m_late + m_workAfterDrain;
}

ChangeExperiment::ChangeExperiment(ChangeExperimentSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.m_seed)
    , m_vms(c_vmCount)
    , m_store(std::make_unique<ChangeStore>(makeFirstConfiguration()))
{
    for (VmIndex vm = 0; vm < c_vmCount; ++vm) {
        m_vms[vm].m_self = makeMember(vm);
        m_vms[vm].m_cursors.resize(c_vmCount);
        startVm(vm);
        m_vms[vm].m_joinStep = ChangeStep::Count;
        const Duration offset = Duration { static_cast<std::int64_t>(m_random.below(c_heartbeatInterval.count())) };
        m_timeline.after(offset, [this, vm] {
            tickRepeatedly(vm);
            heartbeatRepeatedly(vm);
            watchRepeatedly(vm);
            listRepeatedly(vm);
            workRepeatedly(vm);
        });
    }
    m_timeline.at(c_replacedAt, [this] { killVm(c_replacedVm); });
    scheduleEdits();
    sampleRepeatedly();
}

ChangeExperiment::~ChangeExperiment() = default;

ChangeExperimentResult ChangeExperiment::run()
{
    m_timeline.runUntil(c_end);
    summarize();
    return m_result;
}

void ChangeExperiment::startControl(VmIndex vm)
{
    Vm& started = m_vms[vm];
    const Instant now = m_timeline.now();
    m_firstSequence += 1'000'000;
    ++started.m_controlProcess;
    started.m_control = std::make_unique<ControlState>(started.m_self, c_fullMeshLimit, m_firstSequence, now);
    started.m_watchRetry = std::make_unique<Backoff>(c_watchRetryLimits, m_settings.m_seed + vm, now);
    started.m_watchAt = now;
    started.m_pausedUntil = {};
    std::ranges::fill(started.m_cursors, PeerCursor {});
    updateEntryStatus(vm);
}

void ChangeExperiment::killVm(VmIndex vm)
{
    m_vms[vm].m_isUp = false;
    m_vms[vm].m_control.reset();
    m_timeline.after(c_vmRestart, [this, vm] {
        startVm(vm);
        reachStep(ChangeStep::JoinStarts, vm);
    });
}

void ChangeExperiment::startVm(VmIndex vm)
{
    Vm& started = m_vms[vm];
    started.m_isUp = true;
    ++started.m_incarnation;
    started.m_held = std::make_unique<ConfigurationHolder>();
    started.m_inForce = started.m_held->current();
    started.m_isOwning = false;
    started.m_isInstalling = false;
    started.m_blockedUntil = m_timeline.now();
    started.m_joinStep = ChangeStep::JoinReceivesHeartbeats;
    startControl(vm);
}

bool ChangeExperiment::isControlRunning(VmIndex vm) const
{
    return m_vms[vm].m_control && m_timeline.now() >= m_vms[vm].m_pausedUntil;
}

bool ChangeExperiment::reaches(VmIndex from, VmIndex to) const
{
    const std::string& one = m_vms[from].m_self.m_zone;
    const std::string& other = m_vms[to].m_self.m_zone;
    const auto isPartitioned = [this](const std::string& zone) {
        const auto found = m_zonePartitionEnds.find(zone);
        return found != m_zonePartitionEnds.end() && m_timeline.now() < found->second;
    };
    return isControlRunning(from) && isControlRunning(to)
        && (one == other || (!isPartitioned(one) && !isPartitioned(other)));
}

bool ChangeExperiment::reachesPlatform(VmIndex vm) const
{
    const auto found = m_platformPartitionEnds.find(m_vms[vm].m_self.m_zone);
    return found == m_platformPartitionEnds.end() || m_timeline.now() >= found->second;
}

std::vector<Member> ChangeExperiment::listedMembers() const
{
    std::vector<Member> members;
    for (const Vm& vm : m_vms)
        members.push_back(vm.m_self);
    if (m_timeline.now() < m_listLagEnds)
        members[c_replacedVm] = makeMember(c_vmCount);
    return members;
}

void ChangeExperiment::tickRepeatedly(VmIndex vm)
{
    if (isControlRunning(vm)) {
        m_vms[vm].m_control->tick(m_timeline.now());
        updateEntryStatus(vm);
        checkJoin(vm);
    }
    m_timeline.after(c_tickInterval, [this, vm] { tickRepeatedly(vm); });
}

void ChangeExperiment::heartbeatRepeatedly(VmIndex vm)
{
    for (VmIndex peer = 0; isControlRunning(vm) && peer < m_vms.size(); ++peer) {
        const std::vector<Member> peers = m_vms[vm].m_control->membership().heartbeatTargets();
        if (std::ranges::find(peers, m_vms[peer].m_self.m_peers, &Member::m_peers) != peers.end())
            heartbeat(vm, peer);
    }
    m_timeline.after(c_heartbeatInterval, [this, vm] { heartbeatRepeatedly(vm); });
}

/// Exchanges heartbeats. The VM with the lower version then fetches newer configurations from the other.
void ChangeExperiment::heartbeat(VmIndex from, VmIndex to)
{
    if (!reaches(from, to))
        return;
    ControlState& sender = *m_vms[from].m_control;
    ControlState& receiver = *m_vms[to].m_control;
    const Instant now = m_timeline.now();
    const Heartbeat heartbeat = sender.heartbeatFor(m_vms[to].m_self.m_zone, m_vms[from].m_cursors[to], now);
    receiver.applyHeartbeat(heartbeat, now);
    const Heartbeat answer = receiver.heartbeatFor(m_vms[from].m_self.m_zone, m_vms[to].m_cursors[from], now);
    sender.applyHeartbeat(answer, now);
    processChanges(from);
    processChanges(to);
    fetch(to, from, heartbeat.m_memberHeartbeat.m_statistics.m_configVersion);
    fetch(from, to, answer.m_memberHeartbeat.m_statistics.m_configVersion);
}

void ChangeExperiment::fetch(VmIndex from, VmIndex to, ConfigVersion offered)
{
    if (!isControlRunning(from) || !m_vms[from].m_control->startFetch(offered, m_timeline.now()))
        return;
    const std::uint64_t process = m_vms[from].m_controlProcess;
    m_timeline.after(c_oneWayDelay * 2, [this, from, to, offered, process] {
        if (!reaches(from, to) || m_vms[from].m_controlProcess != process)
            return;
        const ConfigurationHolder& holder = m_vms[to].m_control->configuration();
        const ConfigVersion heldVersion = m_vms[from].m_control->configuration().version();
        const SharedConfiguration next = holder.next(heldVersion);
        applyFetched(from, next ? next : holder.current());
        if (m_vms[from].m_control->configuration().version() > heldVersion)
            fetch(from, to, offered);
    });
}

void ChangeExperiment::applyFetched(VmIndex from, const SharedConfiguration& configuration)
{
    ControlState& state = *m_vms[from].m_control;
    state.fetchEnded();
    const Outcome<bool> applied = state.offerConfiguration(*configuration);
    processChanges(from);
    if (applied && applied.value())
        reachStep(ChangeStep::Fetched, from);
}

/// The watch of a zone reader, simulated by frequent reads.
void ChangeExperiment::watchRepeatedly(VmIndex vm)
{
    m_timeline.after(c_watchInterval, [this, vm] { watchRepeatedly(vm); });
    if (!isControlRunning(vm) || m_timeline.now() < m_vms[vm].m_watchAt)
        return;
    Vm& reader = m_vms[vm];
    Membership& membership = reader.m_control->membership();
    const bool hasFetchedFromPeers = reader.m_control->configuration().version() > ConfigVersion {}
        || (membership.isConverged(m_timeline.now()) && membership.highestPeerConfigVersion() == ConfigVersion {});
    if (!membership.mustReadPlatform() || !hasFetchedFromPeers)
        return;
    const std::uint64_t process = reader.m_controlProcess;
    const bool isReached = reachesPlatform(vm);
    reader.m_watchAt = Deadline::max();
    read([this, vm, process, isReached](const Outcome<SharedConfiguration>& answer) {
        if (m_vms[vm].m_controlProcess != process || !m_vms[vm].m_control)
            return;
        m_vms[vm].m_watchAt = std::max(m_timeline.now(), m_vms[vm].m_pausedUntil);
        const Error partitionError { ErrorKind::Unavailable, "the zone is partitioned from the platform" };
        m_timeline.at(m_vms[vm].m_watchAt, [this, vm, process, answer = isReached ? answer : partitionError] {
            if (m_vms[vm].m_controlProcess == process && isControlRunning(vm))
                applyWatched(vm, answer);
        });
    });
}

void ChangeExperiment::applyWatched(VmIndex vm, const Outcome<SharedConfiguration>& answer)
{
    Vm& reader = m_vms[vm];
    if (!answer) {
        reader.m_watchAt = reader.m_watchRetry->failed(m_timeline.now());
        return;
    }
    reader.m_watchRetry->succeeded();
    if (m_settings.m_design->installsEachAnswer())
        install(vm, answer.value());
    const Outcome<bool> applied = reader.m_control->offerConfiguration(*answer.value());
    processChanges(vm);
    if (applied && applied.value())
        reachStep(ChangeStep::Watched, vm);
}

void ChangeExperiment::listRepeatedly(VmIndex vm)
{
    m_timeline.after(c_listInterval, [this, vm] { listRepeatedly(vm); });
    if (!isControlRunning(vm) || !m_vms[vm].m_control->membership().mustReadPlatform() || !reachesPlatform(vm))
        return;
    read([this, vm](const Outcome<SharedConfiguration>& answer) {
        if (!answer || !isControlRunning(vm))
            return;
        m_vms[vm].m_control->applyList(listedMembers(), m_timeline.now());
        processChanges(vm);
    });
}

void ChangeExperiment::processChanges(VmIndex vm)
{
    const ControlChanges changes = m_vms[vm].m_control->takeChanges();
    if (changes.m_entry)
        installNext(vm);
    if (!changes.m_urgent)
        return;
    const std::uint64_t process = m_vms[vm].m_controlProcess;
    m_timeline.after(c_oneWayDelay, [this, vm, process] {
        for (VmIndex peer = 0; peer < m_vms.size(); ++peer) {
            if (peer != vm && m_vms[vm].m_controlProcess == process)
                heartbeat(vm, peer);
        }
    });
}

/// Installs all newer versions of the control process, oldest first, in one call to the entry process.
void ChangeExperiment::installNext(VmIndex vm)
{
    Vm& entry = m_vms[vm];
    if (entry.m_isInstalling)
        return;
    const std::vector<SharedConfiguration> newer = entry.m_control->configuration().after(entry.m_inForce->m_version);
    if (newer.empty())
        return;
    entry.m_isInstalling = true;
    Duration delay = c_installTime;
    if (entry.m_isOwning && m_timeline.now() < m_slowInstallsUntil)
        delay = Duration { static_cast<std::int64_t>(m_random.below(c_maxInstallMicroseconds)) };
    m_timeline.after(delay, [this, vm, newer, incarnation = entry.m_incarnation] {
        Vm& installed = m_vms[vm];
        if (installed.m_incarnation != incarnation)
            return;
        installed.m_isInstalling = false;
        for (const SharedConfiguration& next : newer) {
            install(vm, next);
            if (!isControlRunning(vm))
                return;
        }
        updateEntryStatus(vm);
        installNext(vm);
    });
}

void ChangeExperiment::install(VmIndex vm, const SharedConfiguration& configuration)
{
    Vm& entry = m_vms[vm];
    const ConfigVersion before = entry.m_inForce->m_version;
    entry.m_inForce = m_settings.m_design->install(*entry.m_held, configuration);
    m_result.m_versionDecreases += entry.m_inForce->m_version < before ? 1 : 0;
    if (entry.m_inForce->m_version > before)
        reachStep(ChangeStep::Installed, vm);
}

void ChangeExperiment::updateEntryStatus(VmIndex vm)
{
    Vm& entry = m_vms[vm];
    const bool hasConverged = entry.m_control->membership().isConverged(m_timeline.now());
    entry.m_isOwning = entry.m_isOwning || (hasConverged && entry.m_inForce->m_version > ConfigVersion {});
    EntryProcessStatus status;
    status.m_incarnation = entry.m_incarnation;
    status.m_owning = entry.m_isOwning;
    status.m_statistics.m_configVersion = entry.m_inForce->m_version;
    entry.m_control->applyEntryStatus(status, m_timeline.now());
    processChanges(vm);
}

void ChangeExperiment::checkJoin(VmIndex vm)
{
    Vm& joining = m_vms[vm];
    const Membership& membership = joining.m_control->membership();
    bool isReached = false;
    switch (joining.m_joinStep) {
    case ChangeStep::JoinReceivesHeartbeats:
        isReached = membership.highestPeerConfigVersion() > ConfigVersion {};
        break;
    case ChangeStep::JoinFetchesVersions:
        isReached = joining.m_control->configuration().version() > ConfigVersion {};
        break;
    case ChangeStep::JoinConverged:
        isReached = joining.m_control->membership().isConverged(m_timeline.now());
        break;
    case ChangeStep::JoinOwns:
        isReached = membership.self().m_state == MemberState::Active;
        break;
    default:
        return;
    }
    if (!isReached)
        return;
    reachStep(joining.m_joinStep, vm);
    const bool isLast = joining.m_joinStep == ChangeStep::JoinOwns;
    joining.m_joinStep
        = isLast ? ChangeStep::Count : static_cast<ChangeStep>(static_cast<unsigned>(joining.m_joinStep) + 1);
}

void ChangeExperiment::read(ReadDone done)
{
    const Duration slowness = m_timeline.now() < m_platformSlowUntil ? c_slowCallDelay : Duration {};
    m_timeline.after(c_platformDelay + slowness, [this, done = std::move(done)] {
        const Outcome<SharedConfiguration> answer = m_store->read(m_timeline.now());
        m_timeline.after(c_platformDelay, [done, answer] { done(answer); });
    });
}

void ChangeExperiment::write(Configuration next, std::optional<ConfigVersion> expected, WriteDone done)
{
    const Duration slowness = m_timeline.now() < m_platformSlowUntil ? c_slowCallDelay : Duration {};
    m_timeline.after(
        c_platformDelay + slowness, [this, next = std::move(next), expected, done = std::move(done)]() mutable {
            const bool startsDrain = isDraining(next) && !isDraining(*m_store->current());
            Outcome<ConfigVersion> answer = m_store->write(std::move(next), expected, m_timeline.now());
            if (answer && startsDrain && m_drainStartedAt == Instant::max())
                m_drainStartedAt = m_timeline.now();
            if (answer && startsDrain)
                reachStep(ChangeStep::DrainDeclared, m_random.below(c_vmCount));
            if (answer)
                reachStep(ChangeStep::Answer, m_random.below(c_vmCount));
            const bool isLost = m_timeline.now() < m_answerLossEnds;
            m_timeline.after(c_platformDelay, [this, done, answer, isLost] {
                if (isLost || m_timeline.now() < m_answerLossEnds)
                    done(Error { ErrorKind::OutcomeUnknown, "no answer" });
                else
                    done(answer);
            });
        });
}

void ChangeExperiment::scheduleEdits()
{
    for (unsigned pair = 0; pair < c_editPairs; ++pair) {
        const bool isShared = pair % 2 == 1;
        const Duration lag = Duration { static_cast<std::int64_t>(m_random.below(10'000)) };
        const Instant at = c_firstEdit + c_editPairInterval * pair;
        const VmIndex faultTarget = m_random.below(c_vmCount);
        m_timeline.at(
            at, [this, isShared, faultTarget] { startEdit("aiko", isShared ? "tier" : "pond", faultTarget); });
        m_timeline.at(
            at + lag, [this, isShared, faultTarget] { startEdit("ben", isShared ? "tier" : "hall", faultTarget); });
    }
    m_timeline.at(c_drainAt, [this] { startDrain(m_random.below(c_vmCount)); });
}

void ChangeExperiment::startEdit(std::string_view author, std::string_view key, VmIndex faultTarget)
{
    const std::shared_ptr<EditRun> edit = std::make_shared<EditRun>();
    edit->m_key = key;
    edit->m_edit.m_author = author;
    edit->m_faultTarget = faultTarget;
    m_latestKey = key;
    beginEdit(edit);
}

void ChangeExperiment::startDrain(VmIndex faultTarget)
{
    const std::shared_ptr<EditRun> edit = std::make_shared<EditRun>();
    edit->m_edit.m_author = "aiko";
    edit->m_edit.m_changes = { std::make_shared<DrainingChange>(std::string { c_drainedBackend }, false, true) };
    edit->m_faultTarget = faultTarget;
    beginEdit(edit);
}

void ChangeExperiment::beginEdit(const std::shared_ptr<EditRun>& edit)
{
    edit->m_edit.m_id = fmt::format("edit-{}", m_edits.size());
    edit->m_edit.m_summary = fmt::format("label {} of {}", edit->m_key, c_editedBackend);
    edit->m_deadline = m_timeline.now() + c_editTimeout;
    m_edits.push_back(edit);
    readForEdit(edit);
    reachStep(ChangeStep::Read, edit->m_faultTarget);
}

void ChangeExperiment::readForEdit(const std::shared_ptr<EditRun>& edit)
{
    read([this, edit](const Outcome<SharedConfiguration>& answer) {
        if (!answer) {
            fail(*edit, answer.error());
            return;
        }
        m_timeline.after(c_decideTime, [this, edit, read = answer.value()] { decide(edit, *read); });
        reachStep(ChangeStep::Decide, edit->m_faultTarget);
    });
}

void ChangeExperiment::decide(const std::shared_ptr<EditRun>& edit, const Configuration& read)
{
    if (!edit->m_isPrepared) {
        edit->m_isPrepared = true;
        edit->m_edit.m_base = read.m_version;
        edit->m_readValue = labelOf(read, edit->m_key);
        if (!edit->m_key.empty())
            edit->m_edit.m_changes = { std::make_shared<LabelChange>(LabelTarget::Host, std::string { c_editedBackend },
                edit->m_key, edit->m_readValue, edit->m_edit.m_id) };
    }
    const Outcome<EditResult> result = m_settings.m_design->edit(read, edit->m_edit);
    if (!result) {
        fail(*edit, result.error());
        return;
    }
    if (result.value().m_kind != EditResult::Kind::Changed) {
        edit->m_accepted = result.value().m_version;
        return;
    }
    ++edit->m_writes;
    write(result.value().m_configuration, m_settings.m_design->expectedVersion(result.value()),
        [this, edit](const Outcome<ConfigVersion>& written) { finishWrite(edit, written); });
    reachStep(ChangeStep::Write, edit->m_faultTarget);
}

void ChangeExperiment::finishWrite(const std::shared_ptr<EditRun>& edit, const Outcome<ConfigVersion>& written)
{
    if (written) {
        edit->m_accepted = written.value();
        return;
    }
    const ErrorKind kind = written.error().m_kind;
    edit->m_hasUnknownWrite = edit->m_hasUnknownWrite || kind == ErrorKind::OutcomeUnknown;
    const bool mayRetry = kind == ErrorKind::OutcomeUnknown || kind == ErrorKind::Conflict;
    if (!mayRetry) {
        fail(*edit, written.error());
        return;
    }
    if (edit->m_writes >= c_maxWrites || m_timeline.now() >= edit->m_deadline) {
        fail(*edit, { ErrorKind::Unavailable, "no write succeeded within the limits of writes and time" });
        return;
    }
    m_timeline.after(c_retryDelayPerWrite * edit->m_writes, [this, edit] { readForEdit(edit); });
}

void ChangeExperiment::fail(EditRun& edit, const Error& error)
{
    // The outcome of an earlier write stays unknown if the store cannot be reached later.
    const bool isUnreachable = error.m_kind == ErrorKind::Unavailable || error.m_kind == ErrorKind::OutcomeUnknown;
    edit.m_failure = edit.m_hasUnknownWrite && isUnreachable ? ErrorKind::OutcomeUnknown : error.m_kind;
    edit.m_namesOtherAuthor = std::ranges::any_of(m_edits, [&](const std::shared_ptr<EditRun>& other) {
        return error.m_message.find(fmt::format("changed by {}", other->m_edit.m_author)) != std::string::npos;
    });
}

void ChangeExperiment::workRepeatedly(VmIndex vm)
{
    if (m_vms[vm].m_isUp && m_vms[vm].m_isOwning)
        placeWork(vm);
    m_timeline.after(c_workInterval, [this, vm] { workRepeatedly(vm); });
}

void ChangeExperiment::placeWork(VmIndex vm)
{
    const Configuration& inForce = *m_vms[vm].m_inForce;
    const std::size_t index = m_random.below(inForce.m_backendServers.size());
    const BackendServer& backend = inForce.m_backendServers[index];
    if (backend.m_name != c_drainedBackend || backend.m_draining)
        return;
    ++m_openWork;
    m_timeline.after(
        Duration { static_cast<std::int64_t>(m_random.below(c_maxWorkMicroseconds)) }, [this] { --m_openWork; });
    if (m_drainStartedAt == Instant::max())
        return;
    // A drain that is missing from a restored store does not count.
    const bool isLost = m_store->wasRestored() && !isDraining(*m_store->current());
    const Instant now = m_timeline.now();
    const bool isDue = now >= std::max(m_drainStartedAt, m_vms[vm].m_blockedUntil) + c_drainTimeLimit;
    if (isDue && !isLost && !isBlocked(vm))
        ++m_result.m_workAfterDrain;
}

void ChangeExperiment::sampleRepeatedly()
{
    for (VmIndex vm = 0; vm < m_vms.size(); ++vm)
        checkLateness(vm);
    checkProgress();
    m_timeline.after(c_sampleInterval, [this] { sampleRepeatedly(); });
}

void ChangeExperiment::checkLateness(VmIndex vm)
{
    Vm& sampled = m_vms[vm];
    const Instant now = m_timeline.now();
    if (isBlocked(vm)) {
        sampled.m_blockedUntil = now;
        return;
    }
    if (now < sampled.m_blockedUntil + c_inForceTimeLimit)
        return;
    const ConfigVersion due = m_store->highestWrittenBy(now - c_inForceTimeLimit);
    if (sampled.m_inForce->m_version >= due || sampled.m_lastLateVersion >= due)
        return;
    sampled.m_lastLateVersion = due;
    ++m_result.m_late;
}

/// True while a fault prevents a VM from receiving changes.
bool ChangeExperiment::isBlocked(VmIndex vm) const
{
    if (!isControlRunning(vm) || m_store->isFaulty(m_timeline.now()) || m_store->isBelowHighestVersion())
        return true;
    if (reachesPlatform(vm))
        return false;
    for (VmIndex peer = 0; peer < m_vms.size(); ++peer) {
        if (reachesPlatform(peer) && reaches(vm, peer))
            return false;
    }
    return true;
}

void ChangeExperiment::checkProgress()
{
    ConfigVersion lowest = m_store->current()->m_version;
    for (const Vm& vm : m_vms)
        lowest = std::min(lowest, vm.m_inForce->m_version);
    if (lowest <= m_inForceOnAll && m_isDrainFinished)
        return;
    const bool isNew = lowest > m_inForceOnAll;
    m_inForceOnAll = std::max(m_inForceOnAll, lowest);
    if (isNew)
        reachStep(ChangeStep::Everywhere, m_random.below(c_vmCount));
    checkDrainProgress(std::ranges::all_of(m_vms, [](const Vm& vm) { return isDraining(*vm.m_inForce); }));
}

void ChangeExperiment::checkDrainProgress(bool inForceEverywhere)
{
    if (!inForceEverywhere || m_isDrainFinished)
        return;
    reachStep(ChangeStep::DrainInForce, m_random.below(c_vmCount));
    m_timeline.after(c_sampleInterval, [this] { reachStep(ChangeStep::DrainLastNewWork, m_random.below(c_vmCount)); });
    if (m_openWork > 0)
        return;
    m_isDrainFinished = true;
    reachStep(ChangeStep::DrainLastFlowEnded, m_random.below(c_vmCount));
}

void ChangeExperiment::reachStep(ChangeStep step, VmIndex vm)
{
    if (m_result.m_injected >= m_settings.m_injections.size() || m_timeline.now() < c_firstInjectionAt)
        return;
    const ChangeFaultInjection next = m_settings.m_injections[m_result.m_injected];
    if (step != next.m_step)
        return;
    ++m_result.m_injected;
    // Deferred until the current call has returned: the fault may destroy objects that the call uses.
    m_timeline.after({}, [this, next, vm] { injectFault(next.m_fault, vm); });
}

void ChangeExperiment::injectFault(ChangeFault fault, VmIndex vm)
{
    if (fault >= ChangeFault::KillControl && fault <= ChangeFault::PartitionBoth)
        injectVmFault(fault, vm);
    else
        injectPlatformFault(fault);
}

void ChangeExperiment::injectPlatformFault(ChangeFault fault)
{
    const Instant now = m_timeline.now();
    switch (fault) {
    case ChangeFault::PlatformDown:
        m_store->downUntil(now + c_platformOutage);
        return;
    case ChangeFault::PlatformSlow:
        m_platformSlowUntil = now + c_platformSlowTime;
        return;
    case ChangeFault::LoseWriteAnswer:
        m_answerLossEnds = now + c_answerLoss;
        return;
    case ChangeFault::StaleRead:
        m_store->staleUntil(now + c_staleness);
        return;
    case ChangeFault::RestoreStore:
        m_store->restoreOlder(c_restoredVersions);
        return;
    case ChangeFault::LagVmList:
        m_listLagEnds = now + c_listLag;
        return;
    case ChangeFault::UnevenUpdates:
        m_slowInstallsUntil = now + c_slowInstallsTime;
        return;
    case ChangeFault::OperatorRace:
        startEdit("chiyo", m_latestKey.empty() ? "tier" : m_latestKey, m_random.below(c_vmCount));
        return;
    default:
        return;
    }
}

void ChangeExperiment::injectVmFault(ChangeFault fault, VmIndex vm)
{
    const Instant now = m_timeline.now();
    const std::string& zone = m_vms[vm].m_self.m_zone;
    if (fault == ChangeFault::PartitionZones || fault == ChangeFault::PartitionBoth)
        m_zonePartitionEnds[zone] = now + c_partitionTime;
    if (fault == ChangeFault::PartitionPlatform || fault == ChangeFault::PartitionBoth)
        m_platformPartitionEnds[zone] = now + c_partitionTime;
    if (fault == ChangeFault::PauseControl)
        m_vms[vm].m_pausedUntil = now + c_pauseTime;
    if (fault != ChangeFault::KillControl)
        return;
    m_vms[vm].m_control.reset();
    m_timeline.after(c_controlRestart, [this, vm] {
        if (m_vms[vm].m_isUp && !m_vms[vm].m_control)
            startControl(vm);
    });
}

void ChangeExperiment::summarize()
{
    for (const std::shared_ptr<EditRun>& edit : m_edits)
        summarize(*edit);
}

void ChangeExperiment::summarize(const EditRun& edit)
{
    const std::vector<EditRecord>& history = m_store->current()->m_history;
    const std::ptrdiff_t records = std::ranges::count(history, edit.m_edit.m_id, &EditRecord::m_id);
    ++m_result.m_edits;
    m_result.m_duplicateEdits += records > 1 ? 1 : 0;
    if (edit.m_accepted) {
        ++m_result.m_accepted;
        std::uint64_t& lost = m_store->wasRestored() ? m_result.m_lostByStore : m_result.m_lostEdits;
        lost += records == 0 ? 1 : 0;
        const SharedConfiguration before = m_store->find(ConfigVersion { edit.m_accepted->m_number - 1 });
        const bool hasReadValue = edit.m_key.empty() || !before || labelOf(*before, edit.m_key) == edit.m_readValue;
        m_result.m_overwritten += !hasReadValue && !m_store->wasRestored() ? 1 : 0;
        return;
    }
    const ErrorKind failure = edit.m_failure.value_or(ErrorKind::OutcomeUnknown);
    m_result.m_unknown += failure == ErrorKind::OutcomeUnknown ? 1 : 0;
    m_result.m_unavailable += failure == ErrorKind::Unavailable ? 1 : 0;
    m_result.m_refusedButWritten += failure != ErrorKind::OutcomeUnknown && records > 0 ? 1 : 0;
    if (failure != ErrorKind::Conflict)
        return;
    ++m_result.m_conflicts;
    // A restored store may lack the record of the other edit.
    m_result.m_unnamedConflicts += edit.m_namesOtherAuthor || m_store->wasRestored() ? 0 : 1;
    const bool wasChangedByOther = std::ranges::any_of(m_edits, [&edit](const std::shared_ptr<EditRun>& other) {
        const bool mayBeLater = !other->m_accepted || *other->m_accepted > edit.m_edit.m_base;
        return other->m_edit.m_id != edit.m_edit.m_id && other->m_key == edit.m_key && mayBeLater;
    });
    m_result.m_disjointRefused += wasChangedByOther || m_store->wasRestored() ? 0 : 1;
}

} // namespace cuminrelay
