#pragma once

#include "base/Time.h"
#include "members/Member.h"

#include <cstdint>
#include <span>
#include <vector>

namespace cuminrelay {

/// Draws the members of a zone that a VM beats to, in a shuffled round-robin: each member is drawn once before any is
/// drawn again. A few are drawn at a time and each stays drawn for a while, so that connections are reused. One more is
/// drawn from the unreachable ones, so that a member that comes back is found. Knows no socket, codec or clock.
class PeerSampler {
public:
    /// How many reachable members are drawn at a time.
    static constexpr std::size_t s_fanOut = 3;

    /// How long a member stays drawn.
    static constexpr Duration s_drawnFor = std::chrono::seconds { 15 };

    /// seed: another one for each VM, so that VMs draw differently.
    explicit PeerSampler(std::uint64_t seed);

    /// Drops who was drawn long ago, has left or became unreachable, and draws others for them. others: the members of
    /// the zone without this VM. Returns the members that were drawn in this call.
    std::vector<Endpoint> refresh(std::span<const Member> others, Instant now);

    /// Draws nobody any more.
    void clear();

    bool isDrawn(Endpoint peers) const;

    /// Grows with each change of who is drawn.
    std::uint64_t revision() const { return m_revision; }

private:
    struct Drawn {
        Endpoint m_peers;
        Deadline m_until {};
        bool m_reachable = true;
    };

    void dropOld(std::span<const Member> others, Instant now);
    std::size_t countDrawn(bool reachable) const;

    /// The next member in the round that is not drawn; null when there is none.
    const Member* next(std::span<const Member> others, bool reachable);

    std::uint64_t m_seed;
    std::uint64_t m_round = 0;
    std::uint64_t m_revision = 0;
    std::vector<Endpoint> m_visited; ///< drawn in this round
    std::vector<Drawn> m_drawn;
};

} // namespace cuminrelay
