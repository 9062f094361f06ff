#include "standins/FakeCallers.h"
#include "standins/FakeFabric.h"
#include "standins/FakeHost.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cuminrelay::standins {
namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    namespace json = boost::json;

    constexpr Endpoint c_anyPort { 0x7f000001, 0 };
    constexpr Endpoint c_service { 0x0a000001, 443 };

    /// Runs a host, a fabric and callers on one thread. The fabric sends the packets directly to the host, which is
    /// registered as the only entry VM.
    class StandinsTest : public testing::Test {
    protected:
        void startHostAndFabric(HostOptions options)
        {
            FabricOptions fabric;
            fabric.m_callers = c_anyPort;
            fabric.m_answers = c_anyPort;
            fabric.m_admin = c_anyPort;
            fabric.m_seed = 5;
            m_fabric = FakeFabric::start(m_context, fabric).value();
            options.m_name = "host-1";
            options.m_service = "kanteisha";
            options.m_tunnel = c_anyPort;
            options.m_report = c_anyPort;
            options.m_answers = m_fabric->answers();
            m_host = FakeHost::start(m_context, options).value();
            EXPECT_EQ(
                post(*m_fabric, http::verb::put, "/standin/entries/" + formatEndpoint(m_host->tunnel())).result_int(),
                200U);
        }

        void startCallers(const ServiceLoad& load)
        {
            CallersOptions options;
            options.m_tunnel = c_anyPort;
            options.m_admin = c_anyPort;
            options.m_fabric = m_fabric->callers();
            options.m_seed = 9;
            options.m_hostReports = { m_host->report() };
            options.m_services = { load };
            m_callers = FakeCallers::start(m_context, options).value();
            m_fabric->setCallersTunnel(m_callers->tunnel());
        }

        /// Passes a request to a test double's handler and runs the context until the response.
        HttpResponse post(HttpHandler& handler, http::verb method, std::string_view target, std::string_view body = {})
        {
            HttpRequest request { method, { target.data(), target.size() }, 11 };
            request.body() = body;
            std::optional<HttpResponse> response;
            bool answered = false;
            asio::co_spawn(
                m_context, handler.handle(request), [&](const std::exception_ptr&, std::optional<HttpResponse> result) {
                    response = std::move(result);
                    answered = true;
                });
            while (!answered)
                m_context.run_one();
            return response.value_or(HttpResponse {});
        }

        std::int64_t reported(std::string_view key)
        {
            const std::string text = post(*m_callers, http::verb::get, "/standin/report").body();
            return json::parse(text).as_object().at({ key.data(), key.size() }).to_number<std::int64_t>();
        }

        void runUntil(std::string_view key, std::int64_t count)
        {
            while (reported(key) < count)
                m_context.run_one();
        }

        void finish() { EXPECT_EQ(post(*m_callers, http::verb::post, "/standin/finish").result_int(), 200U); }

        void expectNoViolations()
        {
            for (const std::string_view key :
                { "broken", "misrouted", "run_twice", "refused_but_run", "incomplete_answers" })
                EXPECT_EQ(reported(key), 0) << key;
        }

        asio::io_context m_context;
        std::shared_ptr<FakeFabric> m_fabric;
        std::shared_ptr<FakeHost> m_host;
        std::shared_ptr<FakeCallers> m_callers;
    };

    ServiceLoad mixedLoad()
    {
        ServiceLoad load;
        load.m_name = "kanteisha";
        load.m_address = c_service;
        load.m_feeds = 3;
        load.m_formsPerSecond = 100;
        load.m_bookingsPerSecond = 50;
        load.m_uploadsPerSecond = 5;
        load.m_surveysPerSecond = 50;
        load.m_uploadBytes = 100'000;
        load.m_uploadWorkMs = 20;
        load.m_shortWorkMs = 1;
        return load;
    }

    TEST_F(StandinsTest, everyAnswerIsCompleteOverALossyDuplicatingReorderingFabric)
    {
        startHostAndFabric({});
        post(*m_fabric, http::verb::post, "/standin/switches",
            "{\"lose_percent\":2,\"double_percent\":5,\"reorder_percent\":10}");
        startCallers(mixedLoad());
        runUntil("answers", 200);
        runUntil("pushes", 10);
        finish();
        expectNoViolations();
        EXPECT_EQ(reported("refused"), 0);
        EXPECT_GE(m_host->work().records().size(), 200U);
    }

    TEST_F(StandinsTest, drainingHostShedsWorkWithoutRunningIt)
    {
        startHostAndFabric({});
        post(*m_host, http::verb::post, "/standin/switches", "{\"drain\":true}");
        startCallers(mixedLoad());
        runUntil("shed", 20);
        finish();
        expectNoViolations();
        EXPECT_TRUE(m_host->work().records().empty());
    }

    TEST_F(StandinsTest, hostAtItsConnectionLimitRefusesFlows)
    {
        HostOptions options;
        options.m_connectionLimit = 0;
        startHostAndFabric(options);
        ServiceLoad load = mixedLoad();
        load.m_surveysPerSecond = 0;
        startCallers(load);
        runUntil("refused", 20);
        finish();
        expectNoViolations();
        EXPECT_TRUE(m_host->work().records().empty());
    }

    TEST_F(StandinsTest, loadReportFollowsTheReportSwitch)
    {
        startHostAndFabric({});
        EXPECT_EQ(post(*m_host, http::verb::get, "/load").body(),
            "{\"connections\":0,\"busy_slots\":0,\"queued\":0,\"shedding\":false}");
        ServiceLoad load = mixedLoad();
        startCallers(load);
        runUntil("pushes", 3);
        EXPECT_NE(post(*m_host, http::verb::get, "/load").body().find("\"shedding\":false"), std::string::npos);
        EXPECT_EQ(post(*m_host, http::verb::get, "/load").body().find("\"connections\":0"), std::string::npos);
        post(*m_host, http::verb::post, "/standin/switches", "{\"report\":\"idle\"}");
        EXPECT_NE(post(*m_host, http::verb::get, "/load").body().find("\"connections\":0"), std::string::npos);
        post(*m_host, http::verb::post, "/standin/switches", "{\"report\":\"unhealthy\"}");
        EXPECT_EQ(post(*m_host, http::verb::get, "/load").result_int(), 503U);
        post(*m_host, http::verb::post, "/standin/switches", "{\"report\":\"true\",\"report_lag_ms\":3600000}");
        EXPECT_NE(post(*m_host, http::verb::get, "/load").body().find("\"connections\":0"), std::string::npos);
        EXPECT_EQ(post(*m_host, http::verb::post, "/standin/switches", "{\"storm\":true}").result_int(), 400U);
    }

    TEST_F(StandinsTest, feedsResetByAnotherHostAreCountedAsBroken)
    {
        startHostAndFabric({});
        ServiceLoad load;
        load.m_name = "kanteisha";
        load.m_address = c_service;
        load.m_feeds = 2;
        startCallers(load);
        runUntil("pushes", 4);
        // Another host receives the packets and resets the connections that it has not opened.
        HostOptions options;
        options.m_name = "host-2";
        options.m_service = "kanteisha";
        options.m_tunnel = c_anyPort;
        options.m_report = c_anyPort;
        options.m_answers = m_fabric->answers();
        const std::shared_ptr<FakeHost> other = FakeHost::start(m_context, options).value();
        post(*m_fabric, http::verb::delete_, "/standin/entries/" + formatEndpoint(m_host->tunnel()));
        post(*m_fabric, http::verb::put, "/standin/entries/" + formatEndpoint(other->tunnel()));
        runUntil("broken_by_reset", 2);
        EXPECT_EQ(reported("broken"), 2);
    }

    TEST_F(StandinsTest, hostDropsItsConnectionsWithoutAReset)
    {
        startHostAndFabric({});
        ServiceLoad load;
        load.m_name = "kanteisha";
        load.m_address = c_service;
        load.m_feeds = 2;
        startCallers(load);
        runUntil("pushes", 4);
        EXPECT_EQ(post(*m_callers, http::verb::post, "/standin/mark/restart-host").result_int(), 200U);
        EXPECT_EQ(post(*m_host, http::verb::post, "/standin/switches", "{\"forget\":true}").result_int(), 200U);
        const std::string work = post(*m_host, http::verb::get, "/standin/work").body();
        EXPECT_NE(work.find("\"opened_connections\":2,\"open_connections\":0"), std::string::npos) << work;
        EXPECT_EQ(reported("broken"), 0);
    }

    TEST_F(StandinsTest, answersOfAnotherServiceAreCountedAsMisrouted)
    {
        startHostAndFabric({});
        ServiceLoad load = mixedLoad();
        load.m_name = "chosa-bako";
        startCallers(load);
        runUntil("misrouted", 3);
    }

    TEST(CallersReport, comparesRunWorkWithTheResultsSeenByCallers)
    {
        CallersReport report;
        report.m_notRun = { "refused", "refused-and-run" };
        const std::array<RunRecord, 6> records { {
            { "booking", false },
            { "booking", false },
            { "survey", true },
            { "survey", true },
            { "refused-and-run", true },
            { "refused-and-run", true },
        } };
        report.compareWith(records);
        EXPECT_EQ(report.m_runTwice, 1U);
        EXPECT_EQ(report.m_refusedButRun, 1U);
    }

} // namespace
} // namespace cuminrelay::standins
