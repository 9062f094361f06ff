#include "control/ReportDissemination.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };
    constexpr Endpoint c_self { 1, 1 };
    constexpr Endpoint c_prober { 2, 1 };
    constexpr Endpoint c_peer { 3, 1 };
    constexpr Endpoint c_backend { 9, 80 };
    constexpr std::size_t c_limit = 8;

    BackendReport reportOf(BackendHealth health, std::uint16_t busySlots, Endpoint backend = c_backend)
    {
        return BackendReport { backend, health, false, 100, busySlots, 0, c_start };
    }

    TEST(ReportDissemination, reportsAreForwardedExceptToTheirSenderAndTheirProber)
    {
        ReportDissemination dissemination { c_self };
        dissemination.recordForwarded({ c_prober, reportOf(BackendHealth::Healthy, 1) }, c_peer, c_start);
        constexpr Endpoint otherPeer { 4, 1 };
        for (const Endpoint peer : { c_peer, c_prober, otherPeer }) {
            std::uint64_t revision = 0;
            const std::size_t expected = peer == otherPeer ? 1 : 0;
            EXPECT_EQ(dissemination.since(revision, peer, ReportDissemination::Extent::All, c_limit).size(), expected);
            EXPECT_TRUE(dissemination.since(revision, peer, ReportDissemination::Extent::All, c_limit).empty());
        }
    }

    TEST(ReportDissemination, loadIsSentByOneProberAtATimeAndHealthByEachAtOnce)
    {
        ReportDissemination dissemination { c_self };
        std::uint64_t revision = 0;
        dissemination.recordOwn(reportOf(BackendHealth::Healthy, 0), c_start);
        dissemination.recordForwarded({ c_prober, reportOf(BackendHealth::Healthy, 1) }, c_peer, c_start);
        (void)dissemination.since(revision, c_peer, ReportDissemination::Extent::All, c_limit);
        Instant now = c_start + ReportDissemination::s_loadIntervalPerBackend;
        dissemination.recordOwn(reportOf(BackendHealth::Healthy, 2), now);
        EXPECT_TRUE(dissemination.since(revision, c_peer, ReportDissemination::Extent::All, c_limit).empty());
        dissemination.recordOwn(reportOf(BackendHealth::Unhealthy, 2), now);
        EXPECT_EQ(dissemination.since(revision, c_peer, ReportDissemination::Extent::All, c_limit).size(), 1U);
    }

    TEST(ReportDissemination, anotherProberTakesOverWhenTheLastOneStopsSending)
    {
        ReportDissemination dissemination { c_self };
        std::uint64_t revision = 0;
        dissemination.recordOwn(reportOf(BackendHealth::Healthy, 0), c_start);
        dissemination.recordForwarded({ c_prober, reportOf(BackendHealth::Healthy, 1) }, c_peer, c_start);
        (void)dissemination.since(revision, c_peer, ReportDissemination::Extent::All, c_limit);
        const Instant takeoverAt
            = c_start + 2 * ReportDissemination::s_loadIntervalPerBackend + ReportDissemination::s_propagationTime;
        dissemination.recordOwn(reportOf(BackendHealth::Healthy, 2), takeoverAt);
        EXPECT_EQ(dissemination.since(revision, c_peer, ReportDissemination::Extent::All, c_limit).size(), 1U);
    }

    TEST(ReportDissemination, loadReportsPerHeartbeatAreLimitedButHealthChangesAreNot)
    {
        ReportDissemination dissemination { c_self };
        for (std::uint32_t backend = 1; backend <= 20; ++backend) {
            dissemination.recordForwarded(
                { c_prober, reportOf(BackendHealth::Healthy, 0, { backend, 80 }) }, c_peer, c_start);
            dissemination.recordForwarded(
                { c_prober, reportOf(BackendHealth::Healthy, 1, { backend, 80 }) }, c_peer, c_start);
        }
        dissemination.recordForwarded({ c_prober, reportOf(BackendHealth::Unhealthy, 0, { 1, 80 }) }, c_peer, c_start);
        std::uint64_t revision = 0;
        EXPECT_EQ(
            dissemination.since(revision, { 4, 1 }, ReportDissemination::Extent::All, c_limit).size(), c_limit + 1);
        revision = 0;
        EXPECT_EQ(
            dissemination.since(revision, { 4, 1 }, ReportDissemination::Extent::OwnAndHealth, c_limit).size(), 1U);
    }

    TEST(ReportDissemination, removedBackendServersAreDiscarded)
    {
        ReportDissemination dissemination { c_self };
        dissemination.recordOwn(reportOf(BackendHealth::Healthy, 0), c_start);
        dissemination.retainBackends({});
        std::uint64_t revision = 0;
        EXPECT_TRUE(dissemination.since(revision, c_peer, ReportDissemination::Extent::All, c_limit).empty());
    }

} // namespace
} // namespace cuminrelay
