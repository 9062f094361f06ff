#include "admission/ShareAdmission.h"
#include "admission/UnlimitedAdmission.h"

#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };
    constexpr std::size_t c_ownerCount = 8;
    constexpr int c_flowsPerSecond = 40; // completed by one backend server with both slots busy

    Instant after(int milliseconds)
    {
        return c_start + std::chrono::milliseconds { milliseconds };
    }

    /// Four backend servers with an estimated rate of 40 flows per second each. Ten seconds after the start, the policy
    /// has admitted all flows of that rate and the backlog is empty.
    class Service {
    public:
        explicit Service(AdmissionPolicy& policy, std::uint32_t connectionLimit = 2000)
            : m_policy(policy)
        {
            m_backendStatuses.setOwnerCount(c_ownerCount);
            for (std::uint32_t i = 0; i < 4; ++i) {
                m_backends.push_back({ 0x0a000001 + i, 4000 });
                m_backendStatuses.declare(m_backends.back(), 2, connectionLimit, false, c_start);
            }
            for (int half = 0; half < 20; ++half)
                simulateHalfASecond(half);
        }

        void reportAll(int milliseconds, BackendReport report)
        {
            report.m_measuredAt = after(milliseconds);
            for (const Endpoint backend : m_backends) {
                report.m_backend = backend;
                m_backendStatuses.apply(report);
            }
        }

        Admission admit(int milliseconds)
        {
            return m_policy.admit(m_backends, m_backendStatuses, c_ownerCount, after(milliseconds));
        }

        /// Offers flows at one instant, places the admitted ones evenly and returns their number.
        int offer(int count, int milliseconds)
        {
            int admitted = 0;
            for (int i = 0; i < count; ++i) {
                if (admit(milliseconds) != Admission::Admitted)
                    continue;
                m_backendStatuses.recordOpened(m_backends[m_placed++ % m_backends.size()], after(milliseconds));
                ++admitted;
            }
            return admitted;
        }

    private:
        /// Simulates half a second of work. The report of each second arrives half a second late.
        void simulateHalfASecond(int half)
        {
            constexpr int own = 4 * c_flowsPerSecond / static_cast<int>(c_ownerCount);
            for (int i = half % 2; i < own; i += 2) {
                const int milliseconds = 500 * half + 500 * i / own + 5;
                ASSERT_EQ(offer(1, milliseconds), 1);
                m_backendStatuses.recordClosed(
                    m_backends[(m_placed - 1) % m_backends.size()], false, after(milliseconds));
            }
            if (half % 2 == 1)
                reportAll(500 * (half - 1), { .m_busySlots = 2 });
        }

        AdmissionPolicy& m_policy;
        std::vector<Endpoint> m_backends;
        BackendStatusTable m_backendStatuses;
        std::size_t m_placed = 0;
    };

    TEST(UnlimitedAdmission, admitsEverything)
    {
        UnlimitedAdmission policy;
        Service service(policy);
        EXPECT_EQ(service.offer(10'000, 11'000), 10'000);
    }

    TEST(ShareAdmission, aBurstIsAdmittedUpToTheEvenShareAndTheRestIsRefused)
    {
        ShareAdmission policy(
            { .m_maximumWait = std::chrono::milliseconds { 400 }, .m_spreadFactor = 0, .m_minimumShare = 1 });
        Service service(policy);
        constexpr int room = 4 * c_flowsPerSecond * 400 / 1000;
        constexpr int share = room / static_cast<int>(c_ownerCount);
        EXPECT_NEAR(service.offer(1000, 12'000), share, 2);
        EXPECT_EQ(service.admit(12'000), Admission::ShareUsed);
    }

    TEST(ShareAdmission, deviationBetweenBackendServersShortensTheQueue)
    {
        ShareAdmission withoutSpread(
            { .m_maximumWait = std::chrono::seconds { 1 }, .m_spreadFactor = 0, .m_minimumShare = 1 });
        ShareAdmission withSpread(
            { .m_maximumWait = std::chrono::seconds { 1 }, .m_spreadFactor = 3, .m_minimumShare = 1 });
        Service first(withoutSpread);
        Service second(withSpread);
        const int fullQueue = first.offer(1000, 12'000);
        const int shortened = second.offer(1000, 12'000);
        // A busy backend server completes a flow in 25 ms, so the deviation of a 1 s queue is sqrt(1 s * 25 ms).
        EXPECT_NEAR(shortened, fullQueue * (1 - 3 * std::sqrt(0.025)), 2);
    }

    TEST(ShareAdmission, aFewOwnFlowsInQuickSuccessionAreAdmitted)
    {
        ShareAdmission policy({ .m_maximumWait = std::chrono::milliseconds { 100 }, .m_minimumShare = 6 });
        Service service(policy);
        EXPECT_NEAR(service.offer(1000, 12'000), 7, 1);
    }

    TEST(ShareAdmission, betweenReportsEachVmAdmitsItsShareOfTheServiceRate)
    {
        ShareAdmission policy;
        Service service(policy);
        service.offer(1000, 12'000);
        int admitted = 0;
        for (int milliseconds = 12'010; milliseconds <= 13'000; milliseconds += 10)
            admitted += service.offer(100, milliseconds);
        constexpr int share = 4 * c_flowsPerSecond / static_cast<int>(c_ownerCount);
        EXPECT_NEAR(admitted, share, 3);
    }

    TEST(ShareAdmission, anUnusedShareExpires)
    {
        ShareAdmission policy;
        Service service(policy);
        const int early = service.offer(1000, 12'000);
        ShareAdmission idlePolicy;
        Service idle(idlePolicy);
        EXPECT_EQ(idle.offer(1000, 60'000), early);
    }

    TEST(ShareAdmission, aReportedBacklogBeyondTheMaximumWaitIsQueueFull)
    {
        ShareAdmission policy(
            { .m_maximumWait = std::chrono::milliseconds { 600 }, .m_spreadFactor = 0, .m_minimumShare = 1 });
        Service service(policy);
        service.reportAll(11'000, { .m_busySlots = 2, .m_queued = 100 });
        EXPECT_EQ(service.admit(11'100), Admission::QueueFull);
        EXPECT_EQ(service.admit(15'000), Admission::Admitted);
    }

    TEST(ShareAdmission, aLateReportKeepsFlowsAdmittedAfterIt)
    {
        ShareAdmission policy(
            { .m_maximumWait = std::chrono::seconds { 2 }, .m_spreadFactor = 0, .m_minimumShare = 1 });
        Service service(policy);
        const int admitted = service.offer(1000, 12'000);
        constexpr int share = 2 * 4 * c_flowsPerSecond / static_cast<int>(c_ownerCount);
        EXPECT_NEAR(admitted, share, 3);
        service.reportAll(11'500, { .m_busySlots = 2 });
        EXPECT_LE(service.offer(1000, 12'000), 2);
    }

    TEST(ShareAdmission, connectionsAreBoundedByTheEvenShare)
    {
        ShareAdmission policy({ .m_maximumWait = std::chrono::hours { 1 } });
        Service service(policy, 30);
        service.reportAll(11'000, { .m_connections = 10 });
        constexpr int share = 4 * 20 / static_cast<int>(c_ownerCount);
        EXPECT_EQ(service.offer(1000, 11'100), share);
        EXPECT_EQ(service.admit(11'100), Admission::ShareUsed);
        service.reportAll(11'200, { .m_connections = 30 });
        EXPECT_EQ(service.admit(11'300), Admission::QueueFull);
    }

    TEST(ShareAdmission, noEligibleBackendServerIsQueueFull)
    {
        ShareAdmission policy;
        Service service(policy);
        service.reportAll(11'000, { .m_health = BackendHealth::Unhealthy });
        EXPECT_EQ(service.admit(11'100), Admission::QueueFull);
    }

    TEST(ShareAdmission, unknownSlotTimesRefuseNothing)
    {
        const std::vector<Endpoint> backends { { 1, 1 }, { 2, 1 } };
        BackendStatusTable backendStatuses;
        for (const Endpoint backend : backends)
            backendStatuses.declare(backend, 2, 2000, false, c_start);
        ShareAdmission policy;
        EXPECT_EQ(policy.admit(backends, backendStatuses, c_ownerCount, after(0)), Admission::Admitted);
    }

    RC_GTEST_PROP(ShareAdmission, neverAdmitsBeyondTheConnectionLimit, (std::uint8_t connections))
    {
        constexpr std::uint32_t limit = 100;
        ShareAdmission policy({ .m_maximumWait = std::chrono::hours { 1 } });
        Service service(policy, limit);
        service.reportAll(11'000, { .m_connections = connections });
        const int admitted = service.offer(1000, 11'100);
        const int room = 4 * (static_cast<int>(limit) - connections);
        RC_ASSERT(admitted * static_cast<int>(c_ownerCount) <= std::max(0, room));
    }

} // namespace
} // namespace cuminrelay
