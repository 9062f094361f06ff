#include "control/ControlState.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };
    constexpr std::size_t c_fullMeshLimit = 16;

    Member memberOf(std::uint32_t number, std::string zone)
    {
        return Member { { number, 1 }, { number, 2 }, { number, 3 }, "entry-" + std::to_string(number), std::move(zone),
            1, MemberState::Active };
    }

    Heartbeat heartbeatOf(const Member& member, std::uint64_t sequence, std::uint64_t configVersion = 0)
    {
        return Heartbeat { MemberHeartbeat {
                               member, sequence, MemberStatistics { ConfigVersion { configVersion }, 0, 0 } },
            {}, {}, {}, 0, false };
    }

    Configuration configurationAt(std::uint64_t version)
    {
        Configuration configuration;
        configuration.m_version = ConfigVersion { version };
        return configuration;
    }

    EntryProcessStatus entryAt(std::uint64_t configVersion, bool leaving = false)
    {
        return EntryProcessStatus { 1, leaving, true, MemberStatistics { ConfigVersion { configVersion }, 3, 2 } };
    }

    ControlState startedState()
    {
        ControlState state { memberOf(1, "a"), c_fullMeshLimit, 100, c_start };
        state.applyEntryStatus(entryAt(0), c_start);
        (void)state.takeChanges();
        return state;
    }

    TEST(ControlState, anEntryProcessThatOwnsNothingIsReportedAsJoining)
    {
        ControlState state = startedState();
        state.applyEntryStatus(EntryProcessStatus { 1, false, false, {} }, c_start);
        EXPECT_EQ(state.membership().self().m_state, MemberState::Joining);
        state.applyEntryStatus(EntryProcessStatus { 1, false, true, {} }, c_start);
        EXPECT_EQ(state.membership().self().m_state, MemberState::Active);
        state.applyEntryStatus(EntryProcessStatus { 1, true, false, {} }, c_start);
        EXPECT_EQ(state.membership().self().m_state, MemberState::Leaving) << "a leaving VM owns nothing either";
    }

    TEST(ControlState, aMemberWithoutEntryStatusIsUnreachable)
    {
        ControlState state { memberOf(1, "a"), c_fullMeshLimit, 100, c_start };
        PeerCursor cursor;
        EXPECT_EQ(
            state.heartbeatFor("a", cursor, c_start).m_memberHeartbeat.m_sender.m_state, MemberState::Unreachable);
        state.applyEntryStatus(entryAt(4), c_start);
        const Heartbeat heartbeat = state.heartbeatFor("a", cursor, c_start);
        EXPECT_EQ(heartbeat.m_memberHeartbeat.m_sender.m_state, MemberState::Active);
        EXPECT_EQ(heartbeat.m_memberHeartbeat.m_statistics, entryAt(4).m_statistics);
        state.entryLost(c_start);
        EXPECT_TRUE(state.takeChanges().m_urgent);
        EXPECT_EQ(
            state.heartbeatFor("a", cursor, c_start).m_memberHeartbeat.m_sender.m_state, MemberState::Unreachable);
    }

    TEST(ControlState, onlyLeavingAndANewVersionInForceAreUrgent)
    {
        ControlState state = startedState();
        state.applyEntryStatus(entryAt(0), c_start);
        EXPECT_FALSE(state.takeChanges().m_urgent);
        state.applyEntryStatus(entryAt(1), c_start);
        EXPECT_TRUE(state.takeChanges().m_urgent);
        state.applyEntryStatus(entryAt(1, true), c_start);
        EXPECT_TRUE(state.takeChanges().m_urgent);
        PeerCursor cursor;
        EXPECT_EQ(state.heartbeatFor("a", cursor, c_start).m_memberHeartbeat.m_sender.m_state, MemberState::Leaving);
        state.applyHeartbeat(heartbeatOf(memberOf(2, "a"), 1), c_start);
        EXPECT_FALSE(state.takeChanges().m_urgent);
    }

    TEST(ControlState, heartbeatSequenceNumbersIncrease)
    {
        ControlState state = startedState();
        PeerCursor cursor;
        const std::uint64_t first = state.heartbeatFor("a", cursor, c_start).m_memberHeartbeat.m_sequence;
        EXPECT_GT(first, 100U);
        EXPECT_GT(state.heartbeatFor("a", cursor, c_start).m_memberHeartbeat.m_sequence, first);
    }

    TEST(ControlState, anOlderConfigurationIsRejected)
    {
        ControlState state = startedState();
        EXPECT_TRUE(state.offerConfiguration(configurationAt(5)).value());
        EXPECT_TRUE(state.takeChanges().m_entry);
        EXPECT_EQ(state.offerConfiguration(configurationAt(4)).error().m_kind, ErrorKind::Stale);
        EXPECT_FALSE(state.offerConfiguration(configurationAt(5)).value());
        EXPECT_FALSE(state.takeChanges().m_entry);
        EXPECT_EQ(state.configuration().version(), ConfigVersion { 5 });
    }

    TEST(ControlState, aHigherVersionIsFetchedFromOnePeerAtATime)
    {
        ControlState state = startedState();
        (void)state.offerConfiguration(configurationAt(5));
        EXPECT_FALSE(state.startFetch(ConfigVersion { 5 }, c_start));
        EXPECT_TRUE(state.startFetch(ConfigVersion { 6 }, c_start));
        EXPECT_FALSE(state.startFetch(ConfigVersion { 6 }, c_start));
        EXPECT_TRUE(state.startFetch(ConfigVersion { 7 }, c_start));
        EXPECT_TRUE(state.startFetch(ConfigVersion { 7 }, c_start + ControlState::s_fetchTimeout));
        state.fetchEnded();
        EXPECT_TRUE(state.startFetch(ConfigVersion { 7 }, c_start));
    }

    TEST(ControlState, reportsAreSentOnceToPeersAndToTheEntryProcess)
    {
        ControlState state = startedState();
        const std::vector<BackendReport> reports { BackendReport {
            { 9, 80 }, BackendHealth::Healthy, false, 1, 1, 0, c_start } };
        state.applyOwnReports(reports, c_start);
        EXPECT_TRUE(state.takeChanges().m_entry);
        PeerCursor cursor;
        EXPECT_EQ(state.heartbeatFor("a", cursor, c_start).m_reports.size(), 1U);
        EXPECT_TRUE(state.heartbeatFor("a", cursor, c_start).m_reports.empty());
        EXPECT_EQ(state.takeReportsForEntry(c_start).size(), 1U);
        Heartbeat heartbeat = heartbeatOf(memberOf(2, "a"), 1);
        heartbeat.m_reports = reports;
        heartbeat.m_reports[0].m_backend = { 8, 80 };
        state.applyHeartbeat(heartbeat, c_start);
        EXPECT_EQ(state.takeReportsForEntry(c_start).size(), 1U);
        EXPECT_TRUE(state.heartbeatFor("a", cursor, c_start).m_reports.empty());
        state.resendReportsToEntry();
        EXPECT_EQ(state.takeReportsForEntry(c_start).size(), 2U);
    }

    TEST(ControlState, aReportFromAnUnreachableProberCountsOnceTheProberIsReachable)
    {
        ControlState state = startedState();
        Member prober = memberOf(2, "a");
        prober.m_state = MemberState::Unreachable; // its control process has no entry status yet
        Heartbeat earlyHeartbeat = heartbeatOf(prober, 1);
        earlyHeartbeat.m_reports = { BackendReport { { 9, 80 }, BackendHealth::Unhealthy, false, 0, 0, 0, c_start } };
        state.applyHeartbeat(earlyHeartbeat, c_start);
        state.applyHeartbeat(heartbeatOf(memberOf(3, "a"), 1), c_start);
        state.resendReportsToEntry();
        EXPECT_TRUE(state.takeReportsForEntry(c_start).empty());
        prober.m_state = MemberState::Active;
        state.applyHeartbeat(heartbeatOf(prober, 2), c_start);
        EXPECT_EQ(state.takeReportsForEntry(c_start).size(), 1U);
    }

    TEST(ControlState, aReaderSendsChangedMembersToItsZone)
    {
        ControlState state = startedState();
        PeerCursor cursor;
        ASSERT_EQ(state.heartbeatFor("a", cursor, c_start).m_summaries.size(), 1U);
        EXPECT_TRUE(state.heartbeatFor("a", cursor, c_start).m_summaries.empty());
        EXPECT_TRUE(state.heartbeatFor("", cursor, c_start).m_summaries.empty());
        (void)state.heartbeatFor("a", cursor, c_start);
        state.applyHeartbeat(heartbeatOf(memberOf(2, "b"), 1), c_start);
        const Heartbeat heartbeat = state.heartbeatFor("a", cursor, c_start);
        ASSERT_EQ(heartbeat.m_summaries.size(), 1U);
        ASSERT_EQ(heartbeat.m_summaries[0].m_members.size(), 1U);
        EXPECT_EQ(heartbeat.m_summaries[0].m_members[0].m_sender, memberOf(2, "b"));
        PeerCursor other;
        EXPECT_TRUE(state.heartbeatFor("b", other, c_start).m_summaries.empty());
    }

    TEST(ControlState, aReaderOfALargeFleetSendsOnlyItsLocalZoneToOtherZones)
    {
        ControlState state { memberOf(1, "a"), 0, 100, c_start };
        state.applyEntryStatus(entryAt(0), c_start);
        state.applyHeartbeat(heartbeatOf(memberOf(2, "b"), 1), c_start);
        PeerCursor cursor;
        const Heartbeat heartbeat = state.heartbeatFor("b", cursor, c_start);
        ASSERT_EQ(heartbeat.m_summaries.size(), 1U);
        ASSERT_EQ(heartbeat.m_summaries[0].m_members.size(), 1U);
        EXPECT_EQ(heartbeat.m_summaries[0].m_members[0].m_sender.m_name, "entry-1");
    }

    TEST(ControlState, reportsOfAProberWithoutHeartbeatsAreIgnored)
    {
        ControlState state = startedState();
        Heartbeat heartbeat = heartbeatOf(memberOf(2, "a"), 1);
        heartbeat.m_reports = { BackendReport { { 8, 80 }, BackendHealth::Healthy, false, 1, 1, 0, c_start } };
        state.applyHeartbeat(heartbeat, c_start);
        EXPECT_EQ(state.reports(c_start).size(), 1U);
        state.tick(c_start + Membership::s_pauseThreshold);
        state.tick(c_start + Membership::s_heartbeatTimeout);
        EXPECT_TRUE(state.reports(c_start).empty());
    }

} // namespace
} // namespace cuminrelay
