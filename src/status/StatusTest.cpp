#include "observe/MetricsServer.h"
#include "status/StatusClient.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <thread>

namespace cuminrelay {
namespace {

    constexpr Endpoint c_vm { 0x0a010001, 9464 };

    VmStatus statusAt(std::uint64_t version, bool ready = true)
    {
        VmStatus status;
        status.m_metrics = c_vm;
        status.m_configVersion = { version };
        status.m_isReady = ready;
        return status;
    }

    TEST(MetricsPageTest, samplesAreFoundByNameAndLabel)
    {
        const MetricsPage page { "# TYPE a gauge\na 3\nb{state=\"ready\"} 2.5\nb{state=\"dead\"} nonsense\n\nlast 1" };
        EXPECT_EQ(page.find("a"), 3);
        EXPECT_EQ(page.find("b", "ready"), 2.5);
        EXPECT_EQ(page.find("b", "dead"), std::nullopt);
        EXPECT_EQ(page.find("b"), std::nullopt);
        EXPECT_EQ(page.find("last"), 1);
    }

    RC_GTEST_PROP(MetricsPageTest, anyTextIsAccepted, (const std::string& text))
    {
        const MetricsPage page { text };
        RC_ASSERT(page.find("not there") == std::nullopt);
    }

    TEST(VmStatusTest, aPageWithoutRelayMetricsIsReportedAsAProblem)
    {
        const VmStatus status = statusFrom(c_vm, MetricsPage { "up 1\n" });
        EXPECT_FALSE(status.m_problem.empty());
        EXPECT_FALSE(isInForce(std::array { status }, { 0 }));
    }

    TEST(VmStatusTest, aVersionIsInForceWhenEveryVmHasItAndIsReady)
    {
        EXPECT_TRUE(isInForce(std::array { statusAt(7), statusAt(8) }, { 7 }));
        EXPECT_FALSE(isInForce(std::array { statusAt(7), statusAt(6) }, { 7 }));
        EXPECT_FALSE(isInForce(std::array { statusAt(7), statusAt(7, false) }, { 7 }));
    }

    TEST(VmStatusTest, theTableListsVmsWithoutTheHighestVersion)
    {
        const std::string text = statusTable(std::array { statusAt(7), statusAt(6) });
        EXPECT_NE(text.find("without version 7: 10.1.0.1:9464"), std::string::npos) << text;
        EXPECT_EQ(statusTable(std::array { statusAt(7) }).find("without"), std::string::npos);
    }

    TEST(VmStatusTest, theTableListsVmsThatCannotReadTheStoredConfiguration)
    {
        const MetricsPage page { "cuminrelay_config_version 7\ncuminrelay_ready 1\ncuminrelay_config_unreadable 1\n" };
        const std::array vms { statusFrom(c_vm, page) };
        const std::string text = statusTable(vms);
        EXPECT_NE(text.find("cannot be read by: 10.1.0.1:9464"), std::string::npos) << text;
        EXPECT_NE(statusJson(vms).find("\"stored_config_unreadable\":true"), std::string::npos);
        EXPECT_EQ(statusTable(std::array { statusAt(7) }).find("cannot be read"), std::string::npos);
    }

    // Such a VM serves until it is restarted, and then not again.
    TEST(VmStatusTest, theTableListsVmsThatWouldNotStartAgain)
    {
        const MetricsPage page { "cuminrelay_config_version 7\ncuminrelay_ready 1\ncuminrelay_settings_unusable 1\n" };
        const std::array vms { statusFrom(c_vm, page) };
        EXPECT_NE(
            statusTable(vms).find("would not start again with their settings file: 10.1.0.1:9464"), std::string::npos);
        EXPECT_NE(statusJson(vms).find("\"settings_file_unusable\":true"), std::string::npos);
        EXPECT_EQ(statusTable(std::array { statusAt(7) }).find("would not start"), std::string::npos);
    }

    // An evacuation that some VMs do not know yet has to be seen.
    TEST(VmStatusTest, theTableShowsEvacuatedZonesAndSinceWhen)
    {
        const MetricsPage page { "cuminrelay_config_version 7\ncuminrelay_ready 1\n"
                                 "cuminrelay_evacuation_age_seconds{state=\"b\"} 12.5\n"
                                 "cuminrelay_evacuation_age_seconds{state=\"c\"} -1\n" };
        const std::array vms { statusFrom(c_vm, page), statusAt(7) };
        const std::string text = statusTable(vms);
        EXPECT_NE(text.find("zone b is evacuated on 1 of 2 VMs, for 12.5 s"), std::string::npos) << text;
        EXPECT_EQ(text.find("zone c"), std::string::npos);
        EXPECT_NE(statusJson(vms).find("\"evacuation_age_s\":{\"b\":1.25E1}"), std::string::npos) << statusJson(vms);
    }

    TEST(VmStatusTest, theTableListsVmsWithTheStateOfAnEarlierEra)
    {
        VmStatus restored = statusAt(7);
        restored.m_storeEra = 2;
        const std::string text = statusTable(std::array { restored, statusAt(7) });
        EXPECT_NE(text.find("before the store was restored: 10.1.0.1:9464"), std::string::npos) << text;
        EXPECT_EQ(statusTable(std::array { restored, restored }).find("restored"), std::string::npos);
    }

    /// Serves the metrics page of an entry VM on loopback.
    class StatusClientTest : public testing::Test {
    protected:
        void SetUp() override
        {
            ASSERT_TRUE(m_server.start({ 0x7f000001, 0 }).has_value());
            m_metrics.gauge("cuminrelay_config_version").set(5);
            m_metrics.gauge("cuminrelay_ready").set(1);
            m_metrics.gauge("cuminrelay_backends", "ready").set(14);
            m_metrics.gauge("cuminrelay_backends", "lapsed").set(1);
            m_thread = std::thread { [this] { m_context.run(); } };
        }

        void TearDown() override
        {
            m_context.stop();
            m_thread.join();
        }

        boost::asio::io_context m_context;
        Metrics m_metrics;
        Log m_log { LogLevel::Error };
        MetricsServer m_server { m_context.get_executor(), m_metrics, m_log };
        std::thread m_thread;
    };

    TEST_F(StatusClientTest, aVmThatDoesNotAnswerHasAProblem)
    {
        const std::array vms { m_server.localEndpoint(), Endpoint { 0x7f000001, 1 } };
        const std::vector<VmStatus> statuses
            = fetchStatuses(vms, std::chrono::steady_clock::now() + std::chrono::seconds { 20 });
        ASSERT_EQ(statuses.size(), 2u);
        EXPECT_EQ(statuses[0].m_problem, "");
        EXPECT_EQ(statuses[0].m_configVersion.m_number, 5u);
        EXPECT_EQ(statuses[0].m_backendsReady, 14u);
        EXPECT_EQ(statuses[0].m_backendsOther, 1u);
        EXPECT_NE(statuses[1].m_problem, "");
    }

    TEST_F(StatusClientTest, awaitVersionReturnsOnceTheVersionIsInForce)
    {
        std::thread later { [this] {
            std::this_thread::sleep_for(std::chrono::milliseconds { 300 });
            m_metrics.gauge("cuminrelay_config_version").set(6);
        } };
        const std::array vms { m_server.localEndpoint() };
        const std::vector<VmStatus> statuses
            = awaitVersion(vms, { 6 }, std::chrono::steady_clock::now() + std::chrono::seconds { 30 });
        later.join();
        EXPECT_TRUE(isInForce(statuses, { 6 }));
    }

} // namespace
} // namespace cuminrelay
