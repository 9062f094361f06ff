#include "evacuation/Evacuations.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

namespace cuminrelay {
namespace {

    using std::chrono::seconds;

    constexpr Instant c_now { seconds { 100 } };

    const std::vector<std::string> c_zones { "a", "b", "c" };

    EvacuationList listOf(std::vector<std::string> zones, StoreRevision revision)
    {
        return { std::move(zones), {}, revision };
    }

    EvacuationChanges changeOf(std::string zone, bool isEvacuated, StoreRevision revision)
    {
        return { { { std::move(zone), isEvacuated } }, {}, revision };
    }

    std::vector<ZoneHash> hashesOf(const std::vector<std::string>& zones)
    {
        std::set<ZoneHash> hashes;
        for (const std::string& zone : zones)
            hashes.insert(hashZone(zone));
        return { hashes.begin(), hashes.end() };
    }

    class EvacuationsTest : public testing::Test {
    protected:
        Evacuations m_evacuations { c_zones };
    };

    TEST_F(EvacuationsTest, requestsAreUnknownBeforeTheFirstRead)
    {
        EXPECT_FALSE(m_evacuations.isKnown());
        EXPECT_TRUE(m_evacuations.apply(listOf({}, { 5 }), c_now));
        EXPECT_TRUE(m_evacuations.isKnown());
        EXPECT_TRUE(m_evacuations.inForce().empty());
    }

    TEST_F(EvacuationsTest, changesAreInForceAtOnceAndOlderDataIsRejected)
    {
        m_evacuations.apply(listOf({ "a" }, { 5 }), c_now);
        EXPECT_TRUE(m_evacuations.apply(changeOf("b", true, { 6 }), c_now));
        EXPECT_TRUE(m_evacuations.apply(changeOf("a", false, { 7 }), c_now));
        EXPECT_FALSE(m_evacuations.apply(changeOf("b", false, { 7 }), c_now));
        EXPECT_FALSE(m_evacuations.apply(listOf({}, { 6 }), c_now));
        EXPECT_EQ(m_evacuations.inForce(), hashesOf({ "b" }));
    }

    // A removal within a gap of the watch's history shows only in the next list.
    TEST_F(EvacuationsTest, aListEndsWhatItLacks)
    {
        m_evacuations.apply(listOf({ "a", "b" }, { 5 }), c_now);
        m_evacuations.apply(listOf({ "b" }, { 9 }), c_now);
        EXPECT_EQ(m_evacuations.inForce(), hashesOf({ "b" }));
    }

    TEST_F(EvacuationsTest, objectsThatNameNoZoneAreIgnoredAndReportedOnce)
    {
        m_evacuations.apply(listOf({ "a", "nowhere" }, { 5 }), c_now);
        m_evacuations.apply(listOf({ "a", "nowhere" }, { 6 }), c_now);
        EXPECT_EQ(m_evacuations.inForce(), hashesOf({ "a" }));
        EXPECT_EQ(m_evacuations.takeIgnored(), (std::vector<std::string> { "nowhere" }));
        EXPECT_TRUE(m_evacuations.takeIgnored().empty());
    }

    // Without the names of the zones, another writer's objects must not make a message longer than a datagram.
    TEST_F(EvacuationsTest, theNumberOfZonesIsLimited)
    {
        Evacuations evacuations { {} };
        std::vector<std::string> zones;
        for (std::size_t i = 0; i < 3 * EvacuatedZones::s_maxZones; ++i)
            zones.push_back("zone-" + std::to_string(i));
        evacuations.apply(listOf(zones, { 5 }), c_now);
        EXPECT_EQ(evacuations.report(c_now).size(), EvacuatedZones::s_maxZones);
        evacuations.apply(listOf({}, { 1, 1 }), c_now);
        evacuations.apply(listOf(zones, { 2, 1 }), c_now);
        EXPECT_LE(evacuations.report(c_now).size(), EvacuatedZones::s_maxZones);
    }

    TEST_F(EvacuationsTest, anotherVmsReportCountsByItsRevision)
    {
        Evacuations other { c_zones };
        other.apply(listOf({ "c" }, { 8 }), c_now);
        EXPECT_TRUE(m_evacuations.apply(other.report(c_now), other.revision(), c_now));
        EXPECT_EQ(m_evacuations.inForce(), hashesOf({ "c" }));
        EXPECT_FALSE(m_evacuations.apply(EvacuatedZones {}, { 7 }, c_now));
        // A VM of an older program reports no revision.
        EXPECT_FALSE(m_evacuations.apply(EvacuatedZones {}, {}, c_now));
        EXPECT_EQ(m_evacuations.inForce(), hashesOf({ "c" }));
    }

    TEST_F(EvacuationsTest, eventsTellTheZonesThatBeganAndEnded)
    {
        m_evacuations.apply(listOf({ "a" }, { 5 }), c_now);
        m_evacuations.apply(listOf({ "b" }, { 6 }), c_now + seconds { 1 });
        const std::vector<EvacuationEvent> events = m_evacuations.takeEvents();
        ASSERT_EQ(events.size(), 3u);
        EXPECT_EQ(events[0].m_zone, "a");
        EXPECT_TRUE(events[0].m_isEvacuated);
        EXPECT_EQ(events[1].m_zone, "a");
        EXPECT_FALSE(events[1].m_isEvacuated);
        EXPECT_EQ(events[2].m_zone, "b");
        EXPECT_EQ(m_evacuations.sinceByName().at("b"), c_now + seconds { 1 });
    }

    class RestoredEvacuationsTest : public EvacuationsTest {
    protected:
        RestoredEvacuationsTest() { m_evacuations.apply(listOf({ "a" }, { 500, 1 }), c_now); }

        /// The store came back from a copy of before the request.
        void restore(Instant now) { m_evacuations.apply(listOf({}, { 480, 2 }), now); }
    };

    TEST_F(RestoredEvacuationsTest, aMissingRequestStaysInForceUntilItIsWrittenAgain)
    {
        restore(c_now);
        EXPECT_EQ(m_evacuations.inForce(), hashesOf({ "a" }));
        m_evacuations.apply(changeOf("a", true, { 483, 2 }), c_now + seconds { 1 });
        EXPECT_FALSE(m_evacuations.tick(c_now + Evacuations::s_retention));
        EXPECT_EQ(m_evacuations.inForce(), hashesOf({ "a" }));
    }

    TEST_F(RestoredEvacuationsTest, aMissingRequestEndsAfterTheRetention)
    {
        restore(c_now);
        EXPECT_FALSE(m_evacuations.tick(c_now + Evacuations::s_retention - seconds { 1 }));
        EXPECT_TRUE(m_evacuations.tick(c_now + Evacuations::s_retention));
        EXPECT_TRUE(m_evacuations.inForce().empty());
    }

    TEST_F(RestoredEvacuationsTest, aRequestThatIsRemovedInTheNewEraEndsAtOnce)
    {
        restore(c_now);
        m_evacuations.apply(changeOf("a", false, { 484, 2 }), c_now + seconds { 1 });
        EXPECT_TRUE(m_evacuations.inForce().empty());
    }

    TEST_F(RestoredEvacuationsTest, aSecondRestoreProlongsTheRetention)
    {
        restore(c_now);
        m_evacuations.apply(listOf({}, { 470, 3 }), c_now + seconds { 8 });
        EXPECT_FALSE(m_evacuations.tick(c_now + Evacuations::s_retention));
        EXPECT_EQ(m_evacuations.inForce(), hashesOf({ "a" }));
        EXPECT_TRUE(m_evacuations.tick(c_now + seconds { 8 } + Evacuations::s_retention));
    }

    // Changes of a history that this VM has not listed say nothing about the zones that it knows.
    TEST_F(RestoredEvacuationsTest, changesOfANewEraWaitForItsList)
    {
        EXPECT_FALSE(m_evacuations.apply(changeOf("b", true, { 485, 2 }), c_now));
        EXPECT_EQ(m_evacuations.inForce(), hashesOf({ "a" }));
    }

    TEST_F(RestoredEvacuationsTest, aVmThatStartsAfterTheRestoreLearnsTheRetainedZonesOnce)
    {
        restore(c_now);
        Evacuations started { c_zones };
        started.apply(listOf({}, { 480, 2 }), c_now + seconds { 4 });
        EXPECT_TRUE(started.inForce().empty());
        const EvacuatedZones reported = m_evacuations.report(c_now + seconds { 4 });
        EXPECT_TRUE(started.apply(reported, m_evacuations.revision(), c_now + seconds { 4 }));
        EXPECT_EQ(started.inForce(), hashesOf({ "a" }));
        EXPECT_TRUE(started.tick(c_now + Evacuations::s_retention));
        // A report that was under way must not begin the retention again.
        EXPECT_FALSE(started.apply(reported, m_evacuations.revision(), c_now + Evacuations::s_retention));
        EXPECT_TRUE(started.inForce().empty());
    }

    // VMs that hear of the same changes in any order, some by reports, have the same zones in force in the end.
    RC_GTEST_PROP(EvacuationsPropertyTest, vmsConvergeOnTheNewestState, ())
    {
        std::vector<EvacuationList> lists;
        StoreRevision revision { 100, 1 };
        for (int i = *rc::gen::inRange(1, 8); i > 0; --i) {
            const bool isRestored = *rc::gen::inRange(0, 4) == 0;
            revision = isRestored ? StoreRevision { revision.m_number - 2, revision.m_era + 1 }
                                  : StoreRevision { revision.m_number + 1, revision.m_era };
            std::vector<std::string> zones;
            for (const std::string& zone : c_zones) {
                if (*rc::gen::arbitrary<bool>())
                    zones.push_back(zone);
            }
            lists.push_back(listOf(zones, revision));
        }
        Evacuations first { c_zones };
        Evacuations second { c_zones };
        for (int i = *rc::gen::inRange(0, 20); i > 0; --i) {
            const EvacuationList& list = lists[*rc::gen::inRange<std::size_t>(0, lists.size())];
            Evacuations& reader = *rc::gen::arbitrary<bool>() ? first : second;
            reader.apply(list, c_now);
            if (*rc::gen::arbitrary<bool>())
                first.apply(second.report(c_now), second.revision(), c_now);
        }
        first.apply(lists.back(), c_now);
        second.apply(first.report(c_now), first.revision(), c_now);
        const Instant end = c_now + Evacuations::s_retention;
        first.tick(end);
        second.tick(end);
        RC_ASSERT(first.inForce() == hashesOf(lists.back().m_zones));
        RC_ASSERT(second.inForce() == first.inForce());
    }

} // namespace
} // namespace cuminrelay
