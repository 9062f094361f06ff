#pragma once

#include "members/Member.h"
#include "packets/Packet.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// Number of buckets. The top bits of the flow hash select the bucket of a flow. All entry VMs of a fleet must use the
/// same number to agree on owners.
inline constexpr std::size_t c_bucketCount = 16384;

using Bucket = std::uint16_t;

inline Bucket bucketOf(FlowHash hash)
{
    return static_cast<Bucket>(hash.m_value >> 50);
}

/// Index into OwnerMap::members().
using MemberIndex = std::uint16_t;

inline constexpr MemberIndex c_noMember = 0xffff;

/// The owner of a bucket and the member that owns it once the owner has failed or left.
struct BucketOwners {
    MemberIndex m_owner = c_noMember;
    MemberIndex m_successor = c_noMember;
};

/// The hash of a zone's name, for zoneRank.
std::uint64_t zoneRankKey(std::string_view zone);

/// The rank of a zone in a bucket; the zone with the highest rank is the bucket's home zone.
std::uint64_t zoneRank(std::uint64_t zoneRankKey, Bucket bucket);

/// Maps buckets to the entry VMs that own them, for one view of the members. Two-level rendezvous hashing: each bucket
/// ranks the zones, then the members of the first zone. A member that joins or leaves moves only its own buckets,
/// within its zone if that has other active members. The successor of a bucket is exactly its next owner.
///
/// Cost: building is O(buckets * (zones + members of a zone)); a lookup is one array access. Memory: 4 bytes a bucket.
class OwnerMap {
public:
    OwnerMap() = default;

    /// Only active members own buckets.
    explicit OwnerMap(std::span<const Member> members);

    const BucketOwners& owners(Bucket bucket) const { return m_buckets[bucket]; }
    Endpoint member(MemberIndex index) const { return m_members[index]; }
    std::span<const Endpoint> members() const { return m_members; }

    /// The index of a member; c_noMember when it is not an active member.
    MemberIndex indexOf(Endpoint peers) const;

    bool empty() const { return m_members.empty(); }

private:
    std::vector<Endpoint> m_members;
    std::vector<BucketOwners> m_buckets = std::vector<BucketOwners>(c_bucketCount);
};

} // namespace cuminrelay
