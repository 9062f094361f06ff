#include "exchange/StoreFollowersTest.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cuminrelay {

namespace {

    using std::chrono::milliseconds;

    constexpr std::uint16_t c_port = 7720;
    constexpr std::size_t c_seeds = 3;
    constexpr Duration c_tickInterval = milliseconds { 25 };

    /// One way between a VM and the store, which answers a call that does not wait after another of these.
    constexpr Duration c_storeDelay = milliseconds { 5 };

    constexpr Duration c_fetchTime = milliseconds { 10 };

    /// Of a fetch on a new connection from a VM that runs, but stopped after its answer began.
    constexpr Duration c_unansweredFetchTime = milliseconds { 2'300 };

} // namespace

StoreFollowers::StoreFollowers(const std::vector<std::size_t>& zones, std::uint32_t seed, double messageLoss)
    : m_random(seed)
    , m_messageLoss(messageLoss)
{
    for (std::size_t zone = 0; zone < zones.size(); ++zone) {
        for (std::size_t i = 0; i < zones[zone]; ++i) {
            Vm& vm = *m_vms.emplace_back(std::make_unique<Vm>());
            vm.m_zone = { static_cast<std::uint32_t>(zone) };
        }
    }
    // The order of the addresses decides the ranks and the rounds of messages.
    std::vector<std::uint32_t> addresses;
    for (std::uint32_t i = 1; i <= m_vms.size(); ++i)
        addresses.push_back(i);
    std::shuffle(addresses.begin(), addresses.end(), m_random);
    for (std::size_t i = 0; i < m_vms.size(); ++i)
        m_vms[i]->m_self = { addresses[i], c_port };
    for (const std::unique_ptr<Vm>& vm : m_vms)
        start(*vm);
    change(0);
    change(1);
}

void StoreFollowers::start(Vm& vm)
{
    std::vector<Endpoint> seeds;
    for (std::uint32_t i = 1; i <= std::min(c_seeds, m_vms.size()); ++i)
        seeds.push_back({ i, c_port });
    vm.m_peers = std::make_unique<ExchangePeers>(vm.m_self, vm.m_zone, seeds);
    vm.m_watches.clear();
    for (std::size_t kind = 0; kind < s_kinds; ++kind)
        vm.m_watches.emplace_back(m_random(), m_now);
    vm.m_fetch.reset();
    vm.m_fetchSchedule = {};
    vm.m_hasKeptConnection = false;
    vm.m_isKeptConnectionSilent = false;
    vm.m_versions = {};
    vm.m_declarationsRevision = {};
    vm.m_confirmedAt = {};
    vm.m_hasUpdate = false;
    vm.m_isRunning = true;
    vm.m_nextTickAt = m_now + Duration { m_random() % c_tickInterval.count() };
}

void StoreFollowers::run(Duration duration)
{
    for (const Instant end = m_now + duration; m_now < end; m_now += s_step) {
        deliverMessages();
        for (const std::unique_ptr<Vm>& vm : m_vms) {
            if (vm->m_isRunning && !vm->m_isFrozen)
                step(*vm);
        }
    }
}

void StoreFollowers::change(std::size_t kind)
{
    ++m_revision;
    ++m_declarationsVersion;
    Content& content = m_contents.back();
    content.m_changes[kind].push_back({ { m_revision, content.m_era }, { m_declarationsVersion }, m_now });
}

void StoreFollowers::restoreStore(Duration copyAge, bool endsWaits)
{
    Content content = m_contents.back();
    ++content.m_era;
    content.m_beganAt = m_now;
    content.m_endsWaits = endsWaits;
    m_revision = 0;
    for (std::vector<Change>& changes : content.m_changes) {
        std::erase_if(changes, [&](const Change& change) { return change.m_acceptedAt > m_now - copyAge; });
        for (Change& change : changes) {
            change.m_revision.m_era = content.m_era;
            m_revision = std::max(m_revision, change.m_revision.m_number);
        }
    }
    m_contents.push_back(std::move(content));
}

void StoreFollowers::kill(std::size_t vm)
{
    m_vms[vm]->m_isRunning = false;
    disturb(vm);
}

void StoreFollowers::restart(std::size_t vm)
{
    start(*m_vms[vm]);
    disturb(vm);
}

void StoreFollowers::leave(std::size_t vm)
{
    std::vector<Endpoint> targets;
    for (const std::unique_ptr<Vm>& other : m_vms)
        targets.push_back(other->m_self);
    send(*m_vms[vm], targets, true);
    kill(vm);
}

void StoreFollowers::silenceConnections(std::span<const Connection> kinds, double probability)
{
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        Vm& vm = *m_vms[index];
        disturb(index);
        for (const Connection kind : kinds) {
            if (!happens(probability))
                continue;
            if (kind != Connection::StoreUpdates) {
                vm.m_watches[kind == Connection::BackendsWatch ? 0 : 1].m_isConnectionSilent = true;
                continue;
            }
            vm.m_isKeptConnectionSilent = true;
            if (vm.m_fetch && vm.m_fetch->m_isAnswered) {
                // The answer may have begun.
                vm.m_fetch->m_isAnswered = false;
                vm.m_fetch->m_endsAt
                    = happens(0.5) ? vm.m_fetch->m_attempt.m_answerBy : FetchSchedule::completeBy(m_now);
            }
        }
    }
}

std::optional<std::size_t> StoreFollowers::readerOf(ZoneHash zone) const
{
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        const Vm& vm = *m_vms[i];
        if (vm.m_zone == zone && vm.m_isRunning
            && std::ranges::all_of(vm.m_watches, [](const auto& watch) { return watch.m_schedule.isFollowing(); }))
            return i;
    }
    return std::nullopt;
}

std::optional<Instant> StoreFollowers::waitingSince(std::size_t vm, std::size_t kind) const
{
    const Vm::Watch& watch = m_vms[vm]->m_watches[kind];
    const bool isWaiting = watch.m_call && watch.m_call->m_waitUntil > watch.m_calledAt;
    return isWaiting ? std::optional { watch.m_calledAt } : std::nullopt;
}

StoreVersions StoreFollowers::versionsAt(Instant time) const
{
    StoreVersions versions { lastChangeAt(0, time).m_revision, {} };
    for (const Change& change : m_contents.back().m_changes[1]) {
        if (change.m_acceptedAt <= time)
            versions.m_declarations = change.m_version;
    }
    return versions;
}

const StoreFollowers::Content& StoreFollowers::contentAt(Instant time) const
{
    const auto later = std::ranges::upper_bound(m_contents, time, {}, &Content::m_beganAt);
    return later == m_contents.begin() ? *later : *std::prev(later);
}

StoreFollowers::Change StoreFollowers::lastChangeAt(std::size_t kind, Instant time) const
{
    const Content& content = contentAt(time);
    Change last;
    last.m_revision.m_era = content.m_era;
    for (const Change& change : content.m_changes[kind]) {
        if (change.m_acceptedAt <= time)
            last = change;
    }
    return last;
}

Instant StoreFollowers::confirmedAt(Vm& vm) const
{
    Instant readAt = Instant::max();
    for (const Vm::Watch& watch : vm.m_watches)
        readAt = std::min(readAt, watch.m_schedule.confirmedAt());
    return std::max(readAt, vm.m_peers->stateConfirmedAt(vm.m_versions));
}

bool StoreFollowers::happens(double probability)
{
    return std::uniform_real_distribution<double> { 0, 1 }(m_random) < probability;
}

StoreFollowers::Vm& StoreFollowers::find(Endpoint vm)
{
    return **std::ranges::find_if(m_vms, [&](const auto& other) { return other->m_self == vm; });
}

void StoreFollowers::step(Vm& vm)
{
    for (std::size_t kind = 0; kind < s_kinds; ++kind)
        stepWatch(vm, kind);
    stepFetch(vm);
    if (m_now >= vm.m_nextTickAt) {
        vm.m_nextTickAt = m_now + c_tickInterval;
        tick(vm);
    }
    vm.m_confirmedAt = confirmedAt(vm);
}

void StoreFollowers::stepWatch(Vm& vm, std::size_t kind)
{
    Vm::Watch& watch = vm.m_watches[kind];
    if (!watch.m_call) {
        if (m_now < watch.m_nextCallAt || !watch.m_schedule.needsCall())
            return;
        watch.m_call = watch.m_schedule.begin(m_now);
        watch.m_calledAt = m_now;
        watch.m_callRevision = watch.m_schedule.revision();
        ++vm.m_calls;
        return;
    }
    const bool fails = m_now >= watch.m_call->m_deadline
        || (vm.m_storePath == StorePath::Refused && m_now >= watch.m_calledAt + c_storeDelay);
    if (fails) {
        watch.m_call.reset();
        watch.m_isConnectionSilent = false;
        watch.m_nextCallAt = watch.m_schedule.recordFailure(ErrorKind::Unavailable, m_now);
        return;
    }
    // The answer that arrives now was composed one delay ago.
    const Instant composedAt = m_now - c_storeDelay;
    const Change newest = lastChangeAt(kind, composedAt);
    const bool readsAll = watch.m_call->m_readsAll;
    // The revision that the call named: others may have sent a newer one since.
    const StoreRevision held = watch.m_callRevision;
    const bool isOtherEra = !readsAll && newest.m_revision.m_era != held.m_era;
    const bool hasChanges = readsAll ? newest.m_revision.m_number > 0 : newest.m_revision.m_number > held.m_number;
    const bool endsWait = isOtherEra
        && (contentAt(composedAt).m_endsWaits || contentAt(watch.m_calledAt + c_storeDelay).m_era != held.m_era);
    const bool isDue = composedAt >= watch.m_calledAt + c_storeDelay
        && (endsWait || hasChanges || composedAt >= watch.m_call->m_waitUntil + c_storeDelay);
    if (!isDue || vm.m_storePath != StorePath::Works || watch.m_isConnectionSilent)
        return;
    watch.m_call.reset();
    if (isOtherEra) {
        const bool isNewer = newest.m_revision.m_era > held.m_era;
        watch.m_nextCallAt = watch.m_schedule.recordFailure(isNewer ? ErrorKind::Stale : ErrorKind::Unavailable, m_now);
        return;
    }
    const StoreRevision asOf = std::max(lastChangeAt(0, composedAt).m_revision, lastChangeAt(1, composedAt).m_revision);
    watch.m_nextCallAt = watch.m_schedule.recordAnswer({ asOf, hasChanges }, m_now);
    // After recordAnswer, which pauses the watch if the answer is newer than what it had.
    if (hasChanges || readsAll)
        advance(vm, kind == 0 ? StoreVersions { asOf, {} } : StoreVersions { {}, newest.m_version }, newest.m_revision);
}

void StoreFollowers::stepFetch(Vm& vm)
{
    if (!vm.m_fetch || m_now < vm.m_fetch->m_endsAt)
        return;
    const Vm::Fetch fetch = *vm.m_fetch;
    vm.m_fetch.reset();
    if (fetch.m_isAnswered) {
        vm.m_hasKeptConnection = true;
        vm.m_isKeptConnectionSilent = false;
        vm.m_fetchSchedule.keepConnection(fetch.m_peer, m_now);
        const Vm& peer = find(fetch.m_peer);
        advance(vm, peer.m_versions, peer.m_declarationsRevision);
        return;
    }
    const std::optional<FetchSchedule::Attempt> next = FetchSchedule::next(fetch.m_attempt, m_now);
    if (next)
        startAttempt(vm, fetch.m_peer, *next);
}

void StoreFollowers::startAttempt(Vm& vm, Endpoint peer, FetchSchedule::Attempt attempt)
{
    const Vm& other = find(peer);
    const bool isSilent = attempt.m_isOnKeptConnection && vm.m_isKeptConnectionSilent;
    const bool isAnswered = other.m_isRunning && !other.m_isFrozen && vm.m_canFetch && !isSilent;
    Deadline endsAt = attempt.m_answerBy;
    if (isAnswered)
        endsAt = m_now + c_fetchTime;
    else if (!attempt.m_isOnKeptConnection)
        endsAt = other.m_isRunning ? m_now + c_unansweredFetchTime : attempt.m_connectBy;
    vm.m_hasKeptConnection = false;
    vm.m_fetch = Vm::Fetch { peer, attempt, endsAt, isAnswered };
}

void StoreFollowers::advance(Vm& vm, const StoreVersions& versions, StoreRevision declarationsRevision)
{
    const StoreVersions held = vm.m_versions;
    vm.m_versions.m_backends = std::max(held.m_backends, versions.m_backends);
    vm.m_versions.m_declarations = std::max(held.m_declarations, versions.m_declarations);
    vm.m_hasUpdate = vm.m_hasUpdate || vm.m_versions != held;
    if (vm.m_versions.m_declarations > held.m_declarations)
        vm.m_declarationsRevision = declarationsRevision;
    vm.m_watches[0].m_schedule.advanceTo(vm.m_versions.m_backends);
    vm.m_watches[1].m_schedule.advanceTo(vm.m_declarationsRevision);
}

void StoreFollowers::tick(Vm& vm)
{
    const bool isReading = vm.m_peers->shouldRead(vm.m_versions, confirmedAt(vm), m_now);
    for (Vm::Watch& watch : vm.m_watches)
        watch.m_schedule.setReading(isReading);
    const std::optional<Endpoint> peer
        = vm.m_fetch ? std::nullopt : vm.m_peers->peerWithNewerState(vm.m_versions, m_now);
    if (peer)
        startAttempt(vm, *peer, vm.m_fetchSchedule.begin(*peer, vm.m_hasKeptConnection, m_now));
    const bool isFollowing
        = std::ranges::all_of(vm.m_watches, [](const auto& watch) { return watch.m_schedule.isFollowing(); });
    if (std::exchange(vm.m_hasUpdate, false) && isFollowing)
        send(vm, vm.m_peers->localZonePeers());
    if (m_now >= vm.m_nextSendAt) {
        vm.m_nextSendAt = vm.m_peers->repeatAt(m_now);
        send(vm, vm.m_peers->nextTargets(m_now));
    }
}

void StoreFollowers::send(Vm& vm, const std::vector<Endpoint>& targets, bool isLeaving)
{
    LoadMessage message;
    message.m_zone = vm.m_zone;
    message.m_leaving = isLeaving;
    message.m_isReading = !isLeaving
        && std::ranges::all_of(vm.m_watches, [](const auto& watch) { return watch.m_schedule.isFollowing(); });
    message.m_storeVersions = vm.m_versions;
    const Instant confirmed = confirmedAt(vm);
    if (confirmed != Instant {})
        message.m_stateAge = m_now - confirmed;
    message.m_peers = vm.m_peers->peersToGossip(m_now);
    for (const Endpoint target : targets) {
        const auto found = std::ranges::find_if(m_vms, [&](const auto& other) { return other->m_self == target; });
        if (target != vm.m_self && !happens(m_messageLoss))
            m_messages.push_back({ static_cast<std::size_t>(found - m_vms.begin()), vm.m_self, message,
                m_now + (1 + m_random() % 2) * s_step });
    }
}

void StoreFollowers::deliverMessages()
{
    std::deque<Message> due;
    for (Message& message : m_messages) {
        if (m_now >= message.m_arrivesAt)
            due.push_back(std::move(message));
    }
    std::erase_if(m_messages, [this](const Message& message) { return m_now >= message.m_arrivesAt; });
    for (const Message& message : due) {
        Vm& receiver = *m_vms[message.m_receiver];
        if (!receiver.m_isRunning || receiver.m_isFrozen)
            continue;
        receiver.m_peers->recordMessage(message.m_sender, message.m_content, m_now);
        for (const ExchangePeer& newPeer : receiver.m_peers->takeNewPeers())
            send(receiver, { newPeer.m_exchange });
    }
}

} // namespace cuminrelay
