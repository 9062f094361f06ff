#include "members/PeerSampler.h"

#include "base/Hash.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    bool isReachable(const Member& member)
    {
        return member.m_state != MemberState::Unreachable;
    }

} // namespace

PeerSampler::PeerSampler(std::uint64_t seed)
    : m_seed(seed)
{
}

std::vector<Endpoint> PeerSampler::refresh(std::span<const Member> others, Instant now)
{
    dropOld(others, now);
    std::vector<Endpoint> added;
    for (const bool reachable : { true, false }) {
        const std::size_t wanted = reachable ? s_fanOut : 1 + s_fanOut - countDrawn(true);
        while (countDrawn(reachable) < wanted) {
            const Member* const member = next(others, reachable);
            if (!member)
                break;
            // Spreads the expiry of members selected at the same time.
            const std::int64_t turn = static_cast<std::int64_t>(countDrawn(reachable)) + 1;
            m_drawn.push_back({ member->m_peers, now + s_drawnFor * turn / s_fanOut, reachable });
            added.push_back(member->m_peers);
            ++m_revision;
        }
    }
    return added;
}

void PeerSampler::clear()
{
    m_revision += m_drawn.empty() ? 0 : 1;
    m_drawn.clear();
}

void PeerSampler::dropOld(std::span<const Member> others, Instant now)
{
    const std::size_t dropped = std::erase_if(m_drawn, [&](const Drawn& drawn) {
        const auto found = std::ranges::find(others, drawn.m_peers, &Member::m_peers);
        return now >= drawn.m_until || found == others.end() || isReachable(*found) != drawn.m_reachable;
    });
    m_revision += dropped > 0 ? 1 : 0;
}

std::size_t PeerSampler::countDrawn(bool reachable) const
{
    return static_cast<std::size_t>(std::ranges::count(m_drawn, reachable, &Drawn::m_reachable));
}

bool PeerSampler::isDrawn(Endpoint peers) const
{
    return std::ranges::find(m_drawn, peers, &Drawn::m_peers) != m_drawn.end();
}

const Member* PeerSampler::next(std::span<const Member> others, bool reachable)
{
    for (unsigned attempt = 0; attempt < 2; ++attempt) {
        const Member* best = nullptr;
        std::uint64_t bestRank = 0;
        for (const Member& member : others) {
            const std::uint64_t rank = hashPair(hashPair(m_seed, m_round), member.m_peers.packed());
            const bool visited = std::ranges::find(m_visited, member.m_peers) != m_visited.end();
            if (isReachable(member) != reachable || visited || isDrawn(member.m_peers) || (best && rank <= bestRank))
                continue;
            best = &member;
            bestRank = rank;
        }
        if (best) {
            m_visited.push_back(best->m_peers);
            return best;
        }
        // A round ends only after all reachable members were selected.
        if (!reachable) {
            std::erase_if(m_visited, [&](Endpoint peers) {
                const auto found = std::ranges::find(others, peers, &Member::m_peers);
                return found == others.end() || !isReachable(*found);
            });
            continue;
        }
        ++m_round;
        m_visited.clear();
    }
    return nullptr;
}

} // namespace cuminrelay
