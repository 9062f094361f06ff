#include "exchange/ExchangePeers.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_localZoneFanout = 3;
    constexpr std::size_t c_otherZoneFanout = 1;
    constexpr Duration c_seedInterval = std::chrono::seconds { 1 };
    constexpr Duration c_gossipInterval = std::chrono::seconds { 1 };

    /// Spans several messages, so that all VMs of the local zone receive the entry of a new peer.
    constexpr Duration c_gossipSpan = std::chrono::milliseconds { 250 };

    /// A peer is removed when it sends no message for this long. A VM of another zone sends to 60 VMs in turn.
    constexpr Duration c_peerExpiry = std::chrono::seconds { 15 };

    /// A leaving peer is removed when it sends no message for this long: its process has ended.
    constexpr Duration c_leavingPeerExpiry = std::chrono::seconds { 3 };

    /// Without a message of any other VM for this long, this VM has no contact. Each VM sends at least every 200 ms.
    constexpr Duration c_contactTimeout = std::chrono::seconds { 1 };

    /// Former peers are contacted once a second: those of the local zone that were peers within the first time, as
    /// processes start again within seconds, and one of the others, within a time that partitions may last.
    constexpr Duration c_restartTime = std::chrono::seconds { 10 };
    constexpr Duration c_formerPeerRetention = std::chrono::minutes { 10 };
    constexpr std::size_t c_maxFormerPeers = 64;

    /// A VM that knows contested flows of a time that is shorter by more than this than it said before has started
    /// again, or stood still.
    constexpr std::chrono::milliseconds c_restartMargin { 500 };

    /// Minimum interval between introductions of one VM.
    constexpr Duration c_introductionInterval = std::chrono::milliseconds { 500 };

    /// Minimum time-out of a local zone's peer, for zones where each VM gets at least two messages within it.
    constexpr Duration c_minPeerTimeout = std::chrono::milliseconds { 600 };

    /// Maximum interval between messages of an unchanged load; shorter in a large zone. Receivers expire it at three
    /// times this interval.
    constexpr Duration c_maxRepeatInterval = std::chrono::milliseconds { 200 };

    /// Interval between messages of a busy VM within its byte budget.
    constexpr Duration c_busySendInterval = std::chrono::milliseconds { 90 };

    /// Time that a started VM waits for a message from a reader of its zone.
    constexpr Duration c_startupListenTime = std::chrono::milliseconds { 600 };

    /// Delay per rank before a further VM tries to read while no VM of the zone is in contact with the store.
    constexpr Duration c_readerTakeoverStep = std::chrono::milliseconds { 700 };

    /// Time for the store's answer and for its confirmation to reach all VMs of a large zone, from one to the next,
    /// with some messages lost.
    constexpr Duration c_confirmationSpread = std::chrono::milliseconds { 800 };

    /// A VM whose state is confirmed only as of an earlier time reads the store itself. Together with the delays below,
    /// the call and the fetch of the others, this is less than the 3 s in which a change has to be in force.
    constexpr Duration c_staleStateAge = WatchSchedule::s_maxWait + c_confirmationSpread;

    /// Delay per rank before a further VM reads because of its stale state: short for the first ones, which bounds the
    /// time until a change is in force; long for the others, which all have a stale state while the store is down.
    constexpr Duration c_staleReadStep = std::chrono::milliseconds { 100 };
    constexpr unsigned c_quickReaders = 8;

    /// Minimum time of reading because of a stale state. A reader that lost contact has noticed it by then.
    constexpr Duration c_minReadTime = std::chrono::seconds { 3 };

    /// A VM that cannot get an update from the VM that announced it reads the store after this time.
    constexpr Duration c_missingUpdateDelay = std::chrono::milliseconds { 1'000 };

    /// Time for the local zone's reader to receive a revision that a VM of another zone already has.
    constexpr Duration c_otherZoneDelay = std::chrono::milliseconds { 700 };

    /// Allowance for a message's time on the way, which its receiver cannot measure.
    constexpr Duration c_transitTime = std::chrono::milliseconds { 10 };

    /// Differences of the times since when two VMs know contested flows that only result from a message's way and
    /// rounding.
    constexpr Duration c_contestedMargin = std::chrono::milliseconds { 50 };

    constexpr std::uint64_t c_rankSalt = 0x72616e6b; // "rank"

    Duration staleReadDelay(unsigned higherRanked)
    {
        const unsigned quick = std::min(higherRanked, c_quickReaders);
        return quick * c_staleReadStep + (higherRanked - quick) * c_readerTakeoverStep;
    }

    std::uint64_t rankOf(Endpoint peer)
    {
        return hashPair(peer.packed(), c_rankSalt);
    }

    /// Whether left includes a change that a store update would bring to right. Evacuations come with load messages.
    bool isNewer(const StoreVersions& left, const StoreVersions& right)
    {
        return left.m_backends > right.m_backends || left.m_declarations > right.m_declarations;
    }

    /// The first entry after a key, or the first of all if there is none.
    template <typename Map> typename Map::const_iterator nextInRing(const Map& map, Endpoint key)
    {
        const typename Map::const_iterator found = map.upper_bound(key);
        return found != map.end() ? found : map.begin();
    }

} // namespace

ExchangePeers::ExchangePeers(Endpoint self, ZoneHash zone, std::span<const Endpoint> seeds)
    : m_self(self)
    , m_zone(zone)
    , m_seeds(seeds.begin(), seeds.end())
{
}

void ExchangePeers::recordMessage(Endpoint peer, const LoadMessage& message, Instant now)
{
    if (isNewer(message.m_storeVersions, m_newestVersions)) {
        m_newestVersions.m_backends = std::max(m_newestVersions.m_backends, message.m_storeVersions.m_backends);
        m_newestVersions.m_declarations
            = std::max(m_newestVersions.m_declarations, message.m_storeVersions.m_declarations);
        m_newestVersionsAt = now;
    }
    m_formerPeers.erase(peer);
    const auto [found, isNewPeer] = m_peers.try_emplace(peer);
    PeerState& state = found->second;
    const bool hasStarted
        = isNewPeer || state.m_isLeaving || message.m_contestedKnownFor + c_restartMargin < state.m_contestedKnownFor;
    if (hasStarted && !message.m_leaving && now - state.m_introducedAt >= c_introductionInterval) {
        state.m_introducedAt = now;
        // The sender of a notice was introduced by the VM that listed this one to it.
        if (!message.m_isNotice)
            m_newPeers.push_back({ peer, message.m_zone });
        if (message.m_zone == m_zone)
            m_ungreeted.push_back(peer);
    }
    if (state.m_lastSeenAt == Instant {})
        m_nextGossipAt = now;
    state.m_zone = message.m_zone;
    state.m_lastSeenAt = state.m_heardOfAt = now;
    state.m_isLeaving = message.m_leaving;
    state.m_expiresAt = now + (message.m_leaving ? c_leavingPeerExpiry : c_peerExpiry);
    state.m_isReading = message.m_isReading && !message.m_leaving;
    state.m_versions = message.m_storeVersions;
    state.m_confirmedAt = message.m_stateAge ? now - *message.m_stateAge - c_transitTime : Instant {};
    state.m_contestedKnownSince = now - message.m_contestedKnownFor;
    state.m_contestedKnownFor = message.m_contestedKnownFor;
    for (const ExchangePeer& gossiped : message.m_peers)
        addGossiped(gossiped, now);
}

void ExchangePeers::addGossiped(const ExchangePeer& peer, Instant now)
{
    if (peer.m_exchange == m_self || peer.m_exchange.m_port != m_self.m_port)
        return;
    // Only a VM's own messages extend its expiry: being listed by peers does not.
    const auto [found, isNewPeer] = m_peers.try_emplace(peer.m_exchange);
    if (!isNewPeer)
        return;
    found->second.m_zone = peer.m_zone;
    found->second.m_heardOfAt = now;
    found->second.m_expiresAt = now + c_peerExpiry;
    if (peer.m_zone == m_zone)
        m_ungreeted.push_back(peer.m_exchange);
}

bool ExchangePeers::hasContact(Instant now) const
{
    return std::ranges::any_of(
        m_peers, [now](const auto& entry) { return now - entry.second.m_lastSeenAt < c_contactTimeout; });
}

/// Removes the peers that are silent. Those that ever sent a message become former peers.
void ExchangePeers::removeExpired(Instant now)
{
    std::erase_if(m_peers, [&](const auto& entry) {
        const auto& [peer, state] = entry;
        if (now < state.m_expiresAt)
            return false;
        if (state.m_lastSeenAt != Instant {} && m_formerPeers.size() < c_maxFormerPeers)
            m_formerPeers.insert_or_assign(peer, FormerPeer { state.m_zone, state.m_lastSeenAt });
        return true;
    });
    std::erase_if(
        m_formerPeers, [now](const auto& entry) { return now - entry.second.m_lastSeenAt >= c_formerPeerRetention; });
}

std::vector<ExchangePeer> ExchangePeers::takeNewPeers()
{
    return std::exchange(m_newPeers, {});
}

std::vector<ExchangePeer> ExchangePeers::peersOf(ZoneHash zone) const
{
    std::vector<ExchangePeer> peers;
    for (const auto& [peer, state] : m_peers) {
        if (state.m_zone == zone && state.m_lastSeenAt != Instant {})
            peers.push_back({ peer, state.m_zone });
    }
    return peers;
}

std::vector<Endpoint> ExchangePeers::nextTargets(Instant now)
{
    removeExpired(now);
    std::vector<Endpoint> targets;
    appendRoundRobin(targets, true, c_localZoneFanout);
    appendRoundRobin(targets, false, c_otherZoneFanout);
    if (now >= m_nextSeedsAt) {
        m_nextSeedsAt = now + c_seedInterval;
        for (const Endpoint seed : m_seeds) {
            if (!m_peers.contains(seed))
                targets.push_back(seed);
        }
        appendFormer(targets, now);
    }
    return targets;
}

/// Appends the former peers of the local zone that may just start again, and the next one of a zone without any peer:
/// the peers of the other zones list those that are back.
void ExchangePeers::appendFormer(std::vector<Endpoint>& targets, Instant now)
{
    std::map<Endpoint, FormerPeer>::const_iterator position = nextInRing(m_formerPeers, m_lastFormer);
    bool hasNext = false;
    for (std::size_t i = 0; i < m_formerPeers.size(); ++i) {
        const auto& [peer, former] = *position;
        const bool mayRestart = former.m_zone == m_zone && now - former.m_lastSeenAt < c_restartTime;
        const bool isNext = !mayRestart && !hasNext
            && std::ranges::none_of(
                m_peers, [zone = former.m_zone](const auto& entry) { return entry.second.m_zone == zone; });
        if (mayRestart || isNext)
            targets.push_back(peer);
        if (isNext) {
            m_lastFormer = peer;
            hasNext = true;
        }
        ++position;
        if (position == m_formerPeers.end())
            position = m_formerPeers.begin();
    }
}

void ExchangePeers::appendRoundRobin(std::vector<Endpoint>& targets, bool inLocalZone, std::size_t count)
{
    Endpoint& last = inLocalZone ? m_lastInLocalZone : m_lastInOtherZone;
    std::map<Endpoint, PeerState>::const_iterator position = nextInRing(m_peers, last);
    std::size_t appended = 0;
    for (std::size_t i = 0; i < m_peers.size() && appended < count; ++i) {
        if ((position->second.m_zone == m_zone) == inLocalZone) {
            targets.push_back(position->first);
            last = position->first;
            ++appended;
        }
        ++position;
        if (position == m_peers.end())
            position = m_peers.begin();
    }
}

std::vector<Endpoint> ExchangePeers::localZonePeers() const
{
    std::vector<Endpoint> inLocalZone;
    for (const auto& [peer, state] : m_peers) {
        if (state.m_zone == m_zone)
            inLocalZone.push_back(peer);
    }
    return inLocalZone;
}

std::size_t ExchangePeers::localZonePeerCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_peers, [this](const auto& entry) { return entry.second.m_zone == m_zone && !entry.second.m_isLeaving; }));
}

std::size_t ExchangePeers::size() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_peers, [](const auto& entry) { return !entry.second.m_isLeaving; }));
}

void ExchangePeers::collectLocalZoneMembers(std::vector<ZoneMember>& members) const
{
    members.clear();
    for (const auto& [peer, state] : m_peers) {
        if (state.m_zone == m_zone)
            members.push_back({ peer, state.m_heardOfAt });
    }
}

std::int64_t ExchangePeers::messagesPerRound() const
{
    const std::int64_t receivers
        = std::ranges::count(m_peers, m_zone, [](const auto& entry) { return entry.second.m_zone; });
    return (receivers + static_cast<std::int64_t>(c_localZoneFanout) - 1)
        / static_cast<std::int64_t>(c_localZoneFanout);
}

Duration ExchangePeers::peerTimeout() const
{
    return std::max(c_minPeerTimeout, 2 * messagesPerRound() * c_busySendInterval);
}

Deadline ExchangePeers::repeatAt(Instant now) const
{
    return now + std::min(c_maxRepeatInterval, peerTimeout() / std::max<std::int64_t>(1, 2 * messagesPerRound()));
}

bool ExchangePeers::shouldRead(const StoreVersions& own, Instant confirmedAt, Instant now)
{
    updateBehindSince(own, now);
    if (m_startupListenUntil == Deadline {})
        m_startupListenUntil = now + c_startupListenTime;
    const std::uint64_t ownRank = rankOf(m_self);
    const Duration timeout = peerTimeout();
    unsigned higherRanked = 0;
    bool hasHigherRankedReader = false;
    for (const auto& [peer, state] : m_peers) {
        if (state.m_zone != m_zone || state.m_isLeaving || now - state.m_lastSeenAt >= timeout
            || rankOf(peer) < ownRank)
            continue;
        ++higherRanked;
        hasHigherRankedReader = hasHigherRankedReader || state.m_isReading;
    }
    if (hasHigherRankedReader || hasLiveReader(now))
        m_lastReaderAt = now;
    if (now < m_startupListenUntil)
        return false;
    const bool isStale
        = confirmedAt != Instant {} && now - confirmedAt >= c_staleStateAge + staleReadDelay(higherRanked);
    // A state that is confirmed as of a later time includes the announced one, even if its versions are lower.
    const bool isMissingUpdate = m_behindSince != Instant {} && confirmedAt <= m_newestVersionsAt
        && now - m_behindSince >= c_missingUpdateDelay;
    if (isStale || isMissingUpdate)
        m_readUntil = now + c_minReadTime;
    if (now < m_readUntil)
        return true;
    if (hasHigherRankedReader)
        return false;
    if (m_lastReaderAt == Instant {})
        m_lastReaderAt = now;
    return higherRanked <= (now - m_lastReaderAt) / c_readerTakeoverStep;
}

void ExchangePeers::updateBehindSince(const StoreVersions& own, Instant now)
{
    if (!isNewer(m_newestVersions, own))
        m_behindSince = Instant {};
    else if (m_behindSince == Instant {})
        m_behindSince = now;
}

bool ExchangePeers::hasLiveReader(Instant now) const
{
    const Duration timeout = peerTimeout();
    return std::ranges::any_of(m_peers, [&](const auto& entry) {
        const PeerState& state = entry.second;
        return state.m_zone == m_zone && state.m_isReading && now - state.m_lastSeenAt < timeout;
    });
}

Instant ExchangePeers::stateConfirmedAt(const StoreVersions& own)
{
    const std::uint32_t era = own.m_backends.m_era;
    if (era != m_confirmedEra) {
        m_confirmedEra = era;
        m_stateConfirmedAt = Instant {};
    }
    for (const auto& [peer, state] : m_peers) {
        const bool isOfEra = state.m_versions.m_backends.m_era == era;
        if (isOfEra && !isNewer(state.m_versions, own))
            m_stateConfirmedAt = std::max(m_stateConfirmedAt, state.m_confirmedAt);
    }
    return m_stateConfirmedAt;
}

std::optional<Endpoint> ExchangePeers::peerWithNewerState(const StoreVersions& own, Instant now)
{
    updateBehindSince(own, now);
    const Duration timeout = peerTimeout();
    std::vector<Endpoint> inLocalZone;
    std::optional<Endpoint> inOtherZone;
    Instant inOtherZoneSeenAt {};
    for (const auto& [peer, state] : m_peers) {
        if (state.m_isLeaving || !isNewer(state.m_versions, own))
            continue;
        // Messages of a VM of another zone come rarely, as it sends to the VMs of all other zones in turn.
        if (state.m_zone == m_zone && now - state.m_lastSeenAt < timeout)
            inLocalZone.push_back(peer);
        if (state.m_zone != m_zone && state.m_lastSeenAt > inOtherZoneSeenAt) {
            inOtherZone = peer;
            inOtherZoneSeenAt = state.m_lastSeenAt;
        }
    }
    if (!inLocalZone.empty()) {
        // Spreads the requests over the peers, so that no single link carries all answers.
        return inLocalZone[hashPair(m_self.packed(), m_requestCount++) % inLocalZone.size()];
    }
    const bool isFirst = own == StoreVersions {};
    return isFirst || now - m_behindSince >= c_otherZoneDelay ? inOtherZone : std::nullopt;
}

std::optional<Endpoint> ExchangePeers::peerWithState(const StoreVersions& own, Instant now)
{
    return nextLivePeer(now, [&own](const PeerState& state) { return !isNewer(own, state.m_versions); });
}

std::optional<Endpoint> ExchangePeers::peerWithEarlierContestedFlows(Instant knownSince, Instant now)
{
    // Flows that were opened earlier have ended.
    const Instant oldest = now - c_departedRetention;
    return nextLivePeer(now, [&](const PeerState& state) {
        return std::max(state.m_contestedKnownSince, oldest) + c_contestedMargin < knownSince;
    });
}

template <typename Condition>
std::optional<Endpoint> ExchangePeers::nextLivePeer(Instant now, const Condition& condition)
{
    std::vector<Endpoint> inLocalZone;
    std::vector<Endpoint> inOtherZones;
    std::vector<Endpoint> leaving;
    for (const auto& [peer, state] : m_peers) {
        // Messages of a VM of another zone come rarely, as it sends to the VMs of all other zones in turn.
        const bool isLocal = state.m_zone == m_zone;
        const Duration age = now - state.m_lastSeenAt;
        if (state.m_lastSeenAt != Instant {} && age < (isLocal ? peerTimeout() : c_peerExpiry) && condition(state))
            (state.m_isLeaving ? leaving : isLocal ? inLocalZone : inOtherZones).push_back(peer);
    }
    const std::vector<Endpoint>& candidates = !inLocalZone.empty() ? inLocalZone
        : !inOtherZones.empty()                                    ? inOtherZones
                                                                   : leaving;
    if (candidates.empty())
        return std::nullopt;
    return candidates[hashPair(m_self.packed(), m_requestCount++) % candidates.size()];
}

std::vector<ExchangePeer> ExchangePeers::peersToGossip(Instant now)
{
    std::vector<ExchangePeer> selected;
    if (now >= m_nextGossipAt) {
        m_nextGossipAt = now + c_gossipInterval;
        m_gossipUntil = now + c_gossipSpan;
    }
    if (now >= m_gossipUntil)
        return selected;
    std::map<Endpoint, PeerState>::const_iterator position = nextInRing(m_peers, m_lastGossiped);
    for (std::size_t i = 0; i < m_peers.size() && selected.size() < c_maxPeers; ++i) {
        if (position->second.m_lastSeenAt != Instant {} && !position->second.m_isLeaving
            && now - position->second.m_lastSeenAt < c_peerExpiry) {
            selected.push_back({ position->first, position->second.m_zone });
            m_lastGossiped = position->first;
        }
        ++position;
        if (position == m_peers.end())
            position = m_peers.begin();
    }
    return selected;
}

} // namespace cuminrelay
