#pragma once

#include "members/Member.h"
#include "packets/Packet.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// Flows are owned in buckets: the top bits of their hash. Fixed for a fleet, because it is part of how owners agree.
inline constexpr std::size_t c_bucketCount = 16384;

using Bucket = std::uint16_t;

inline Bucket bucketOf(FlowHash hash)
{
    return static_cast<Bucket>(hash.m_value >> 50);
}

/// Position of a member in the map's own list.
using MemberIndex = std::uint16_t;

inline constexpr MemberIndex c_noMember = 0xffff;

/// The owner of one bucket and the member that takes over when the owner is gone.
struct BucketOwners {
    MemberIndex m_owner = c_noMember;
    MemberIndex m_successor = c_noMember;
};

/// The hash of a zone's name that its rank in each bucket is made of.
std::uint64_t zoneRankKey(std::string_view zone);

/// The rank of a zone in a bucket; the zone with the highest rank is the bucket's home.
std::uint64_t zoneRank(std::uint64_t zoneRankKey, Bucket bucket);

/// Which entry VM owns which flows, for one view of the members. Two-level rendezvous hash: a bucket first ranks the
/// zones, then the members of the zone. A member that comes or goes therefore moves only its own buckets, inside its
/// zone, and the successor of a bucket is exactly the member that owns it once the owner is gone.
///
/// Cost: building is O(buckets * (zones + members of a zone)); a lookup is one array access. Memory: 4 bytes a bucket.
class OwnerMap {
public:
    OwnerMap() = default;

    /// Builds the map over the members that can own flows: the active ones.
    explicit OwnerMap(std::span<const Member> members);

    const BucketOwners& owners(Bucket bucket) const { return m_buckets[bucket]; }
    Endpoint member(MemberIndex index) const { return m_members[index]; }
    std::span<const Endpoint> members() const { return m_members; }

    /// The index of a member, or c_noMember.
    MemberIndex indexOf(Endpoint peers) const;

    bool empty() const { return m_members.empty(); }

private:
    std::vector<Endpoint> m_members;
    std::vector<BucketOwners> m_buckets = std::vector<BucketOwners>(c_bucketCount);
};

} // namespace cuminrelay
