#pragma once

#include "base/Time.h"
#include "members/Member.h"

#include <cstdint>
#include <span>
#include <vector>

namespace cuminrelay {

/// Selects the members of a zone to send heartbeats to, in a shuffled round-robin: each reachable member is selected
/// once before any is selected again. Members stay selected for a while, so that connections are reused. Unreachable
/// ones fill up to s_fanOut + 1, so that a recovered one is found. Independent of sockets, encoding and clocks.
class PeerSampler {
public:
    /// Number of reachable members selected at a time.
    static constexpr std::size_t s_fanOut = 3;

    /// Time for which a member stays selected; shorter for some of those selected together, to spread the expiry.
    static constexpr Duration s_selectionTime = std::chrono::seconds { 15 };

    /// seed: must differ between VMs, so that they select different members.
    explicit PeerSampler(std::uint64_t seed);

    /// Replaces selected members that expired, left, or changed in reachability. others: the members of the zone
    /// without this VM. Returns the newly selected members.
    std::vector<Endpoint> refresh(std::span<const Member> others, Instant now);

    void clear();

    bool isSelected(Endpoint peers) const;

    /// Increases with each change of the selection.
    std::uint64_t revision() const { return m_revision; }

private:
    struct Selection {
        Endpoint m_peers;
        Deadline m_expiresAt {};
        bool m_reachable = true;
    };

    void removeExpired(std::span<const Member> others, Instant now);
    std::size_t countSelected(bool reachable) const;

    /// The next member of the round that is not selected, or nullptr.
    const Member* next(std::span<const Member> others, bool reachable);

    std::uint64_t m_seed;
    std::uint64_t m_round = 0;
    std::uint64_t m_revision = 0;
    std::vector<Endpoint> m_selectedInRound;
    std::vector<Selection> m_selected;
};

} // namespace cuminrelay
