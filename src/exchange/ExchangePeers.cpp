#include "exchange/ExchangePeers.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_nearFanout = 3;
    constexpr std::size_t c_farFanout = 1;
    constexpr Duration c_seedInterval = std::chrono::seconds { 1 };
    constexpr Duration c_passOnInterval = std::chrono::seconds { 1 };

    /// Spans several messages, so that all VMs of the local zone receive a new peer.
    constexpr Duration c_passOnSpan = std::chrono::milliseconds { 250 };

    /// A peer is removed when it sends no message for this long. A VM of another zone sends to 60 VMs in turn.
    constexpr Duration c_peerMemory = std::chrono::seconds { 15 };

    /// Minimum time-out of a local zone's peer, for zones where each VM gets at least two messages within it.
    constexpr Duration c_leastSilence = std::chrono::milliseconds { 600 };

    /// Maximum interval between messages of an unchanged load; shorter in a large zone. Receivers expire it at three
    /// times this interval.
    constexpr Duration c_longestRepeat = std::chrono::milliseconds { 200 };

    /// Interval between messages of a busy VM within its byte budget.
    constexpr Duration c_tellingInterval = std::chrono::milliseconds { 90 };

    /// Time that a started VM waits for a message from a reader of its zone.
    constexpr Duration c_firstListening = std::chrono::milliseconds { 600 };

    /// Delay per rank before a further VM tries to read while no VM of the zone is in contact with the store.
    constexpr Duration c_nextReader = std::chrono::milliseconds { 700 };

    /// Time for the local zone's reader to receive a revision that a VM of another zone already has.
    constexpr Duration c_farPatience = std::chrono::milliseconds { 700 };

    constexpr std::uint64_t c_rankSalt = 0x72616e6b; // "rank"

    std::uint64_t rankOf(Endpoint peer)
    {
        return hashPair(peer.packed(), c_rankSalt);
    }

    bool isNewer(const KnownState& left, const KnownState& right)
    {
        return left.m_backends > right.m_backends || left.m_declarations > right.m_declarations;
    }

    /// The entry that follows a key in the ring.
    template <typename Map> typename Map::const_iterator after(const Map& map, Endpoint key)
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

void ExchangePeers::noteMessage(Endpoint peer, const LoadMessage& message, Instant now)
{
    if (message.m_leaving) {
        m_peers.erase(peer);
        return;
    }
    const auto [found, isNewcomer] = m_peers.try_emplace(peer);
    if (isNewcomer)
        m_newcomers.push_back({ peer, message.m_zone });
    Known& known = found->second;
    if (known.m_heardAt == Instant {})
        m_passOnAt = now;
    known.m_zone = message.m_zone;
    known.m_heardAt = now;
    known.m_forgetAt = now + c_peerMemory;
    known.m_isReading = message.m_isReading;
    known.m_state = message.m_known;
    for (const ExchangePeer& passedOn : message.m_peers)
        learn(passedOn, now);
}

void ExchangePeers::learn(const ExchangePeer& peer, Instant now)
{
    if (peer.m_exchange == m_self || peer.m_exchange.m_port != m_self.m_port)
        return;
    // Only a VM's own messages extend its expiry: being listed by peers does not.
    m_peers.try_emplace(peer.m_exchange, Known { peer.m_zone, Instant {}, now + c_peerMemory });
}

std::vector<ExchangePeer> ExchangePeers::takeNewcomers()
{
    return std::exchange(m_newcomers, {});
}

std::vector<ExchangePeer> ExchangePeers::peersOf(ZoneHash zone) const
{
    std::vector<ExchangePeer> peers;
    for (const auto& [peer, known] : m_peers) {
        if (known.m_zone == zone && known.m_heardAt != Instant {})
            peers.push_back({ peer, known.m_zone });
    }
    return peers;
}

std::vector<Endpoint> ExchangePeers::nextTargets(Instant now)
{
    std::erase_if(m_peers, [now](const auto& entry) { return now >= entry.second.m_forgetAt; });
    std::vector<Endpoint> targets;
    appendInTurn(targets, true, c_nearFanout);
    appendInTurn(targets, false, c_farFanout);
    if (now >= m_seedsAt) {
        m_seedsAt = now + c_seedInterval;
        for (const Endpoint seed : m_seeds) {
            if (!m_peers.contains(seed))
                targets.push_back(seed);
        }
    }
    return targets;
}

void ExchangePeers::appendInTurn(std::vector<Endpoint>& targets, bool near, std::size_t count)
{
    Endpoint& last = near ? m_lastNear : m_lastFar;
    std::map<Endpoint, Known>::const_iterator position = after(m_peers, last);
    std::size_t appended = 0;
    for (std::size_t i = 0; i < m_peers.size() && appended < count; ++i) {
        if ((position->second.m_zone == m_zone) == near) {
            targets.push_back(position->first);
            last = position->first;
            ++appended;
        }
        ++position;
        if (position == m_peers.end())
            position = m_peers.begin();
    }
}

std::vector<Endpoint> ExchangePeers::nearPeers() const
{
    std::vector<Endpoint> near;
    for (const auto& [peer, known] : m_peers) {
        if (known.m_zone == m_zone)
            near.push_back(peer);
    }
    return near;
}

std::size_t ExchangePeers::nearCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_peers.begin(), m_peers.end(), [this](const auto& entry) { return entry.second.m_zone == m_zone; }));
}

std::int64_t ExchangePeers::tellingsOfARound() const
{
    return static_cast<std::int64_t>((nearCount() + c_nearFanout - 1) / c_nearFanout);
}

Duration ExchangePeers::silence() const
{
    return std::max(c_leastSilence, 2 * tellingsOfARound() * c_tellingInterval);
}

Deadline ExchangePeers::repeatAt(Instant now) const
{
    return now + std::min(c_longestRepeat, silence() / std::max<std::int64_t>(1, 2 * tellingsOfARound()));
}

bool ExchangePeers::shouldRead(Instant now)
{
    if (m_listensUntil == Deadline {})
        m_listensUntil = now + c_firstListening;
    const std::uint64_t own = rankOf(m_self);
    const Duration longestSilence = silence();
    unsigned higherRanked = 0;
    bool isReadByHigher = false;
    for (const auto& [peer, known] : m_peers) {
        if (known.m_zone != m_zone || now - known.m_heardAt >= longestSilence || rankOf(peer) < own)
            continue;
        ++higherRanked;
        isReadByHigher = isReadByHigher || known.m_isReading;
    }
    if (isReadByHigher || hearsReader(now))
        m_readerlessSince = now;
    if (isReadByHigher || now < m_listensUntil)
        return false;
    if (m_readerlessSince == Instant {})
        m_readerlessSince = now;
    return higherRanked <= (now - m_readerlessSince) / c_nextReader;
}

bool ExchangePeers::hearsReader(Instant now) const
{
    return now - readerHeardAt() < silence();
}

Instant ExchangePeers::readerHeardAt() const
{
    Instant heardAt {};
    for (const auto& [peer, known] : m_peers) {
        if (known.m_zone == m_zone && known.m_isReading)
            heardAt = std::max(heardAt, known.m_heardAt);
    }
    return heardAt;
}

std::optional<Endpoint> ExchangePeers::newerPeer(const KnownState& own, Instant now)
{
    const Duration longestSilence = silence();
    std::optional<Endpoint> far;
    std::vector<Endpoint> near;
    for (const auto& [peer, known] : m_peers) {
        if (now - known.m_heardAt >= longestSilence || !isNewer(known.m_state, own))
            continue;
        if (known.m_zone == m_zone)
            near.push_back(peer);
        else
            far = peer;
    }
    if (!near.empty()) {
        m_behindSince = Instant {};
        // Spreads the requests over the peers, so that no single link carries all answers.
        return near[hashPair(m_self.packed(), m_asked++) % near.size()];
    }
    if (!far) {
        m_behindSince = Instant {};
        return std::nullopt;
    }
    if (m_behindSince == Instant {})
        m_behindSince = now;
    const bool isFirst = own == KnownState {};
    return isFirst || now - m_behindSince >= c_farPatience ? far : std::nullopt;
}

std::vector<ExchangePeer> ExchangePeers::somePeers(Instant now)
{
    std::vector<ExchangePeer> some;
    if (now >= m_passOnAt) {
        m_passOnAt = now + c_passOnInterval;
        m_passOnUntil = now + c_passOnSpan;
    }
    if (now >= m_passOnUntil)
        return some;
    std::map<Endpoint, Known>::const_iterator position = after(m_peers, m_lastPassedOn);
    for (std::size_t i = 0; i < m_peers.size() && some.size() < c_mostPeers; ++i) {
        if (position->second.m_heardAt != Instant {} && now - position->second.m_heardAt < c_peerMemory) {
            some.push_back({ position->first, position->second.m_zone });
            m_lastPassedOn = position->first;
        }
        ++position;
        if (position == m_peers.end())
            position = m_peers.begin();
    }
    return some;
}

} // namespace cuminrelay
