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

    /// Several messages go out within this, so that all of the own zone hear of a newcomer.
    constexpr Duration c_passOnSpan = std::chrono::milliseconds { 250 };

    /// A VM that was not heard from for this long is no longer told anything. One of another zone tells each of 60 VMs
    /// in turn.
    constexpr Duration c_peerMemory = std::chrono::seconds { 15 };

    /// A VM of the zone that was not heard from for this long is taken for silent, in zones where everybody is told at
    /// least twice within it.
    constexpr Duration c_leastSilence = std::chrono::milliseconds { 600 };

    /// An unchanged load is told again after this, or earlier in a large zone; others forget it after three times as
    /// long.
    constexpr Duration c_longestRepeat = std::chrono::milliseconds { 200 };

    /// How often a busy VM tells others within its budget of bytes.
    constexpr Duration c_tellingInterval = std::chrono::milliseconds { 90 };

    /// How long a VM that has started listens for somebody of its zone who follows the store.
    constexpr Duration c_firstListening = std::chrono::milliseconds { 600 };

    /// How much later each further VM tries while nobody of the zone is in contact with the store.
    constexpr Duration c_nextReader = std::chrono::milliseconds { 700 };

    /// How long the own zone's reader gets to hear of what another zone knows.
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

    /// The element after a key in a ring, or the first.
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
    // Hearsay alone keeps nobody known: each VM has to answer for itself.
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
        // Different VMs ask different ones, so that nobody's link has to carry all answers.
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
