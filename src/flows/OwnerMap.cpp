#include "flows/OwnerMap.h"

#include "base/Assert.h"
#include "base/Hash.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    constexpr std::uint64_t c_zoneSeed = 0x7a6f6e65;
    constexpr std::uint64_t c_memberSeed = 0x6d656d62;

    struct ZoneMembers {
        std::uint64_t m_rankKey = 0;
        std::vector<MemberIndex> m_members;
    };

    std::vector<ZoneMembers> groupByZone(std::span<const Member> members, std::span<const Endpoint> owners)
    {
        std::vector<std::string> names;
        std::vector<ZoneMembers> zones;
        for (const Member& member : members) {
            const auto owner = std::lower_bound(owners.begin(), owners.end(), member.m_peers);
            if (owner == owners.end() || *owner != member.m_peers)
                continue;
            const auto zoneName = std::find(names.begin(), names.end(), member.m_zone);
            const std::size_t zone = static_cast<std::size_t>(zoneName - names.begin());
            if (zoneName == names.end()) {
                names.push_back(member.m_zone);
                zones.push_back(ZoneMembers { zoneRankKey(member.m_zone), {} });
            }
            zones[zone].m_members.push_back(static_cast<MemberIndex>(owner - owners.begin()));
        }
        return zones;
    }

    void rankMembers(Bucket bucket, std::span<const MemberIndex> candidates, std::span<const std::uint64_t> memberKeys,
        BucketOwners& owners)
    {
        std::uint64_t ownerRank = 0;
        std::uint64_t successorRank = 0;
        for (const MemberIndex index : candidates) {
            const std::uint64_t rank = hashPair(memberKeys[index], bucket);
            if (owners.m_owner == c_noMember || rank > ownerRank) {
                owners.m_successor = owners.m_owner;
                successorRank = ownerRank;
                owners.m_owner = index;
                ownerRank = rank;
            } else if (owners.m_successor == c_noMember || rank > successorRank) {
                owners.m_successor = index;
                successorRank = rank;
            }
        }
    }

    BucketOwners rankBucket(
        Bucket bucket, std::span<const ZoneMembers> zones, std::span<const std::uint64_t> memberKeys)
    {
        // Owner and successor: the first two members of the first zone, or its only member and the first of the second.
        const ZoneMembers* first = nullptr;
        const ZoneMembers* second = nullptr;
        std::uint64_t firstRank = 0;
        std::uint64_t secondRank = 0;
        for (const ZoneMembers& zone : zones) {
            const std::uint64_t rank = zoneRank(zone.m_rankKey, bucket);
            if (!first || rank > firstRank) {
                second = first;
                secondRank = firstRank;
                first = &zone;
                firstRank = rank;
            } else if (!second || rank > secondRank) {
                second = &zone;
                secondRank = rank;
            }
        }
        BucketOwners owners;
        if (!first)
            return owners;
        rankMembers(bucket, first->m_members, memberKeys, owners);
        if (owners.m_successor == c_noMember && second) {
            BucketOwners fallback;
            rankMembers(bucket, second->m_members, memberKeys, fallback);
            owners.m_successor = fallback.m_owner;
        }
        return owners;
    }

} // namespace

std::uint64_t zoneRankKey(std::string_view zone)
{
    return hashText(zone, c_zoneSeed);
}

std::uint64_t zoneRank(std::uint64_t zoneRankKey, Bucket bucket)
{
    return hashPair(zoneRankKey, bucket);
}

OwnerMap::OwnerMap(std::span<const Member> members)
{
    for (const Member& member : members) {
        if (member.m_state == MemberState::Active)
            m_members.push_back(member.m_peers);
    }
    std::sort(m_members.begin(), m_members.end());
    m_members.erase(std::unique(m_members.begin(), m_members.end()), m_members.end());
    CR_ASSERT(m_members.size() < c_noMember, "the number of members must be less than c_noMember");

    const std::vector<ZoneMembers> zones = groupByZone(members, m_members);
    std::vector<std::uint64_t> memberKeys;
    memberKeys.reserve(m_members.size());
    for (const Endpoint member : m_members)
        memberKeys.push_back(hashPair(member.packed(), c_memberSeed));

    for (std::size_t bucket = 0; bucket < c_bucketCount; ++bucket)
        m_buckets[bucket] = rankBucket(static_cast<Bucket>(bucket), zones, memberKeys);
}

MemberIndex OwnerMap::indexOf(Endpoint peers) const
{
    const auto found = std::lower_bound(m_members.begin(), m_members.end(), peers);
    if (found == m_members.end() || *found != peers)
        return c_noMember;
    return static_cast<MemberIndex>(found - m_members.begin());
}

} // namespace cuminrelay
