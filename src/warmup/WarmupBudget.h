#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cuminrelay {

/// What all entry VMs together may send to a cold backend server in any one second: its declared rate x m_overage
/// + m_slack new flows.
struct WarmupBounds {
    double m_overage = 1;
    double m_slack = 0; ///< in flows; below 1, the bound may be exceeded by up to one flow

    friend bool operator==(const WarmupBounds&, const WarmupBounds&) = default;
};

/// An entry VM of the local zone and when it was last heard of.
struct ZoneMember {
    Endpoint m_vm;
    Instant m_heardAt {};
};

/// A cold backend server, as far as its budget depends on it.
struct ColdBackend {
    std::uint64_t m_identity = 0;
    double m_rate = 0; ///< requests per second that it can handle while it is cold; 0: no budget
    bool m_isInLocalZone = false;
};

/// This VM's permits for one backend server.
struct WarmupPermits {
    Deadline m_nextAt {}; ///< the next flow may be opened from then on
    std::uint64_t m_membersGeneration = 0; ///< of the members for which the fields below were computed; 0: none
    double m_rate = 0; ///< for which the fields below were computed
    std::uint32_t m_openers = 0; ///< VMs that share the budget
    bool m_isOpener = false; ///< this VM is one of them
};

/// Decides whether this entry VM may open one more flow at a cold backend server, without coordination. A few VMs of
/// the server's zone open flows there: the first k by rendezvous hash, each at intervals of k / rate. In any second
/// these are at most rate + k flows. An overage below 1 lowers the rate. The rest of the bound, another k, covers VMs
/// whose views of the zone differ.
///
/// A VM that this one has not heard of recently may be cut off and go on to open flows. It keeps its share until it is
/// forgotten, and no other VM takes the share over before s_takeoverDelay has passed. A VM that hears of no other
/// forgets none: it is more likely to be cut off itself than to be the last one, and would otherwise use the whole
/// rate.
class WarmupBudget {
public:
    /// Time without any message after which a VM is no longer a member of the zone.
    static constexpr Duration s_memberTimeout = std::chrono::seconds { 60 };

    /// Time for a VM's start, and for its return after s_memberTimeout, to become known to all VMs of a large zone.
    static constexpr Duration s_takeoverDelay = std::chrono::seconds { 3 };

    WarmupBudget(Endpoint self, WarmupBounds bounds, Instant startedAt);

    /// Updates the VMs of the local zone; VMs that are not listed stay members until they are forgotten. Call whenever
    /// one was heard of, or several times per second.
    void updateMembers(std::span<const ZoneMember> heardOf, Instant now);

    /// Whether this VM may open one more flow at a backend server now. permits: those of the backend server. Cost:
    /// O(1), O(members) after the members or the rate changed.
    bool mayOpen(const ColdBackend& backend, WarmupPermits& permits, Instant now) const;

    /// Records that this VM opens a flow at a backend server, which mayOpen permitted.
    void recordOpening(const ColdBackend& backend, WarmupPermits& permits, Instant now) const;

    /// Members of the local zone, this VM included.
    std::size_t members() const { return m_members.size() + 1; }

private:
    void updateShare(const ColdBackend& backend, WarmupPermits& permits) const;

    /// The rate at which all VMs together open flows in the mean.
    double pacedRate(double rate) const;

    /// Number of VMs that may share a rate.
    std::uint32_t openersAt(double rate) const;

    Endpoint m_self;
    WarmupBounds m_bounds;
    Deadline m_opensFrom; ///< this VM and the others know of each other by then
    Deadline m_opensAloneFrom; ///< as long as no other member is known: this VM may be cut off since its start
    Instant m_lastHeardAt; ///< when any member was last heard of; the start of this VM if none was
    std::vector<ZoneMember> m_members; ///< others, sorted by endpoint
    std::uint64_t m_generation = 1; ///< increases when a VM is added to m_members or removed
};

} // namespace cuminrelay
