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
    removeExpired(others, now);
    std::vector<Endpoint> added;
    for (const bool reachable : { true, false }) {
        const std::size_t wanted = reachable ? s_fanOut : 1 + s_fanOut - countSelected(true);
        while (countSelected(reachable) < wanted) {
            const Member* const member = next(others, reachable);
            if (!member)
                break;
            const std::int64_t position = static_cast<std::int64_t>(countSelected(reachable)) + 1;
            m_selected.push_back({ member->m_peers, now + s_selectionTime * position / s_fanOut, reachable });
            added.push_back(member->m_peers);
            ++m_revision;
        }
    }
    return added;
}

void PeerSampler::clear()
{
    m_revision += m_selected.empty() ? 0 : 1;
    m_selected.clear();
}

void PeerSampler::removeExpired(std::span<const Member> others, Instant now)
{
    const std::size_t dropped = std::erase_if(m_selected, [&](const Selection& selection) {
        const auto found = std::ranges::find(others, selection.m_peers, &Member::m_peers);
        return now >= selection.m_expiresAt || found == others.end() || isReachable(*found) != selection.m_reachable;
    });
    m_revision += dropped > 0 ? 1 : 0;
}

std::size_t PeerSampler::countSelected(bool reachable) const
{
    return static_cast<std::size_t>(std::ranges::count(m_selected, reachable, &Selection::m_reachable));
}

bool PeerSampler::isSelected(Endpoint peers) const
{
    return std::ranges::find(m_selected, peers, &Selection::m_peers) != m_selected.end();
}

const Member* PeerSampler::next(std::span<const Member> others, bool reachable)
{
    for (unsigned attempt = 0; attempt < 2; ++attempt) {
        const Member* best = nullptr;
        std::uint64_t bestRank = 0;
        for (const Member& member : others) {
            const std::uint64_t rank = hashPair(hashPair(m_seed, m_round), member.m_peers.packed());
            const bool selectedInRound
                = std::ranges::find(m_selectedInRound, member.m_peers) != m_selectedInRound.end();
            if (isReachable(member) != reachable || selectedInRound || isSelected(member.m_peers)
                || (best && rank <= bestRank))
                continue;
            best = &member;
            bestRank = rank;
        }
        if (best) {
            m_selectedInRound.push_back(best->m_peers);
            return best;
        }
        // Unreachable members may repeat in a round, which ends after the last reachable one.
        if (!reachable) {
            std::erase_if(m_selectedInRound, [&](Endpoint peers) {
                const auto found = std::ranges::find(others, peers, &Member::m_peers);
                return found == others.end() || !isReachable(*found);
            });
            continue;
        }
        ++m_round;
        m_selectedInRound.clear();
    }
    return nullptr;
}

} // namespace cuminrelay
