#include "objectapi/HttpPlatformClient.h"

#include "objectapi/RetryingPlatformClient.h"
#include "standins/FakePlatform.h"
#include "standins/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fstream>
#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    namespace asio = boost::asio;

    constexpr std::uint32_t c_loopback = 0x7f000001;
    constexpr Duration c_callTimeout = std::chrono::seconds { 30 };

    /// Returns a response set by the test; for responses that FakePlatform never sends.
    class ScriptedServer final : public standins::HttpHandler {
    public:
        asio::awaitable<std::optional<standins::HttpResponse>> handle(const standins::HttpRequest&) override
        {
            ++m_calls;
            co_return m_response;
        }

        std::optional<standins::HttpResponse> m_response;
        int m_calls = 0;
    };

    class HttpPlatformClientTest : public testing::Test {
    protected:
        void SetUp() override
        {
            m_platform = std::make_shared<standins::FakePlatform>(standins::PlatformOptions { .m_token = "secret" });
            m_settings.m_endpoint = standins::serveHttp(m_context, { c_loopback, 0 }, m_platform).value();
            m_settings.m_tokenFile = testing::TempDir() + "cuminrelay-platform-token";
            writeToken("secret\n");
            m_client = std::make_unique<HttpPlatformClient>(m_context.get_executor(), m_settings, m_clock, m_metrics);
        }

        void writeToken(std::string_view token) { std::ofstream { m_settings.m_tokenFile } << token; }

        template <typename T>
        static asio::awaitable<void> storeResult(asio::awaitable<T> call, std::optional<T>& result)
        {
            result.emplace(co_await std::move(call));
        }

        /// Runs one call to completion on the test's thread.
        template <typename T> T run(asio::awaitable<T> call)
        {
            std::optional<T> result;
            asio::co_spawn(m_context, storeResult(std::move(call), result), asio::detached);
            m_context.restart();
            while (!result && m_context.run_one() > 0) { }
            return std::move(*result);
        }

        Outcome<StoredObject> read(std::string name = "current")
        {
            return run(m_client->read("config", std::move(name), deadline()));
        }

        Outcome<std::uint64_t> write(std::uint64_t expectedVersion, std::string body)
        {
            return run(m_client->write("config", "current", expectedVersion, std::move(body), deadline()));
        }

        Deadline deadline() const { return m_clock.now() + c_callTimeout; }

        void setSwitches(std::string_view switches)
        {
            standins::HttpRequest request { boost::beast::http::verb::post, "/standin/switches", 11 };
            request.body() = switches;
            run(m_platform->handle(request));
        }

        std::shared_ptr<ScriptedServer> useScriptedServer()
        {
            std::shared_ptr<ScriptedServer> server = std::make_shared<ScriptedServer>();
            m_settings.m_endpoint = standins::serveHttp(m_context, { c_loopback, 0 }, server).value();
            m_client = std::make_unique<HttpPlatformClient>(m_context.get_executor(), m_settings, m_clock, m_metrics);
            return server;
        }

        asio::io_context m_context;
        SystemClock m_clock;
        Metrics m_metrics;
        PlatformSettings m_settings;
        std::shared_ptr<standins::FakePlatform> m_platform;
        std::unique_ptr<HttpPlatformClient> m_client;
    };

    TEST_F(HttpPlatformClientTest, aReadReturnsTheWrittenObject)
    {
        EXPECT_EQ(read().error().m_kind, ErrorKind::NotFound);
        EXPECT_EQ(write(0, "{\"a\":1}").value(), 1U);
        EXPECT_EQ(write(1, "{\"a\":2}").value(), 2U);
        const Outcome<StoredObject> object = read();
        ASSERT_TRUE(object.has_value()) << object.error().m_message;
        EXPECT_EQ(object.value().m_version, 2U);
        EXPECT_EQ(object.value().m_body, "{\"a\":2}");
    }

    TEST_F(HttpPlatformClientTest, writeAtAnotherVersionIsAConflict)
    {
        ASSERT_TRUE(write(0, "{}").has_value());
        EXPECT_EQ(write(0, "{}").error().m_kind, ErrorKind::Conflict);
        EXPECT_EQ(write(7, "{}").error().m_kind, ErrorKind::Conflict);
    }

    TEST_F(HttpPlatformClientTest, badInputIsRefusedAndChangesNothing)
    {
        EXPECT_EQ(write(0, "no json").error().m_kind, ErrorKind::InvalidInput);
        EXPECT_EQ(
            write(0, "\"" + std::string(c_maximumObjectBytes, 'x') + "\"").error().m_kind, ErrorKind::InvalidInput);
        EXPECT_EQ(read("../x").error().m_kind, ErrorKind::InvalidInput);
        EXPECT_EQ(read("a b").error().m_kind, ErrorKind::InvalidInput);
        EXPECT_EQ(read().error().m_kind, ErrorKind::NotFound);
    }

    TEST_F(HttpPlatformClientTest, largestObjectPasses)
    {
        const std::string body = "\"" + std::string(c_maximumObjectBytes - 2, 'x') + "\"";
        ASSERT_TRUE(write(0, body).has_value());
        EXPECT_EQ(read().value().m_body, body);
    }

    TEST_F(HttpPlatformClientTest, theTokenFileIsReadForEachCall)
    {
        writeToken("wrong\n");
        EXPECT_EQ(write(0, "{}").error().m_kind, ErrorKind::Unauthorized);
        EXPECT_EQ(read().error().m_kind, ErrorKind::Unauthorized);
        writeToken("");
        const Outcome<StoredObject> withoutToken = read();
        EXPECT_EQ(withoutToken.error().m_kind, ErrorKind::Unauthorized);
        EXPECT_NE(withoutToken.error().m_message.find(m_settings.m_tokenFile), std::string::npos);
        writeToken("secret");
        EXPECT_TRUE(write(0, "{}").has_value());
    }

    TEST_F(HttpPlatformClientTest, outageIsUnavailableForReadsAndWrites)
    {
        setSwitches("{\"outage\":true}");
        EXPECT_EQ(read().error().m_kind, ErrorKind::Unavailable);
        EXPECT_EQ(write(0, "{}").error().m_kind, ErrorKind::Unavailable);
        EXPECT_EQ(run(m_client->listMembers(deadline())).error().m_kind, ErrorKind::Unavailable);
        EXPECT_EQ(m_metrics.total("cuminrelay_platform_failures_total"), 3U);
        setSwitches("{\"outage\":false}");
        EXPECT_TRUE(write(0, "{}").has_value());
    }

    TEST_F(HttpPlatformClientTest, aRefusedConnectionIsUnavailable)
    {
        asio::ip::tcp::acceptor unused { m_context, { asio::ip::address_v4 { c_loopback }, 0 } };
        m_settings.m_endpoint = { c_loopback, unused.local_endpoint().port() };
        unused.close();
        HttpPlatformClient client { m_context.get_executor(), m_settings, m_clock, m_metrics };
        EXPECT_EQ(run(client.write("config", "current", 0, "{}", deadline())).error().m_kind, ErrorKind::Unavailable);
        EXPECT_EQ(run(client.read("config", "current", deadline())).error().m_kind, ErrorKind::Unavailable);
    }

    TEST_F(HttpPlatformClientTest, aWriteWithoutAnAnswerHasAnUnknownOutcome)
    {
        setSwitches("{\"lose_answers\":1}");
        EXPECT_EQ(write(0, "{\"a\":1}").error().m_kind, ErrorKind::OutcomeUnknown);
        EXPECT_EQ(read().value().m_body, "{\"a\":1}") << "the write took effect";
    }

    TEST_F(HttpPlatformClientTest, timedOutWriteIsOutcomeUnknownAndTimedOutReadIsUnavailable)
    {
        ASSERT_TRUE(write(0, "{\"a\":1}").has_value());
        setSwitches("{\"slow_ms\":60000}");
        const Duration shortTimeout = std::chrono::milliseconds { 300 };
        EXPECT_EQ(run(m_client->write("config", "current", 1, "{}", m_clock.now() + shortTimeout)).error().m_kind,
            ErrorKind::OutcomeUnknown);
        EXPECT_EQ(run(m_client->read("config", "current", m_clock.now() + shortTimeout)).error().m_kind,
            ErrorKind::Unavailable);
        setSwitches("{\"slow_ms\":1}");
        EXPECT_TRUE(read().has_value());
    }

    TEST_F(HttpPlatformClientTest, aStaleReadReturnsTheOlderVersion)
    {
        ASSERT_TRUE(write(0, "{\"a\":1}").has_value());
        ASSERT_TRUE(write(1, "{\"a\":2}").has_value());
        setSwitches("{\"stale_reads\":true}");
        const StoredObject object = read().value();
        EXPECT_EQ(object.m_version, 1U);
        EXPECT_EQ(object.m_body, "{\"a\":1}");
        EXPECT_EQ(write(1, "{}").error().m_kind, ErrorKind::Conflict);
    }

    TEST_F(HttpPlatformClientTest, watchReturnsOnAChangeOrAtItsDeadline)
    {
        ASSERT_TRUE(write(0, "{\"a\":1}").has_value());
        const Deadline soon = m_clock.now() + std::chrono::milliseconds { 20 };
        EXPECT_EQ(run(m_client->watch("config", "current", 1, soon)).value().m_version, 1U);

        asio::co_spawn(
            m_context,
            [this]() -> asio::awaitable<void> {
                const Outcome<std::uint64_t> written
                    = co_await m_client->write("config", "current", 1, "{\"a\":2}", deadline());
                EXPECT_TRUE(written.has_value());
            },
            asio::detached);
        EXPECT_EQ(run(m_client->watch("config", "current", 1, deadline())).value().m_version, 2U);
        EXPECT_EQ(m_platform->calls().m_watches, 2U);
    }

    TEST_F(HttpPlatformClientTest, callsAreTimedAndWatchesAreNot)
    {
        ASSERT_TRUE(write(0, "{\"a\":1}").has_value());
        ASSERT_TRUE(read().has_value());
        ASSERT_TRUE(run(m_client->listMembers(deadline())).has_value());
        ASSERT_TRUE(run(m_client->watch("config", "current", 0, deadline())).has_value());
        EXPECT_NE(m_metrics.prometheusText().find("cuminrelay_platform_call_seconds_count 3\n"), std::string::npos);
    }

    TEST_F(HttpPlatformClientTest, readsReuseAConnectionAndReplaceAClosedOne)
    {
        std::shared_ptr<ScriptedServer> server = useScriptedServer();
        server->m_response = standins::jsonResponse(boost::beast::http::status::ok, "{}");
        server->m_response->set("Object-Version", "3");
        EXPECT_TRUE(read().has_value());
        server->m_response.reset(); // the kept-alive connection and its replacement close without an answer
        EXPECT_EQ(read().error().m_kind, ErrorKind::Unavailable);
        EXPECT_EQ(server->m_calls, 3);
    }

    TEST_F(HttpPlatformClientTest, answersWithoutAValidVersionAreErrors)
    {
        std::shared_ptr<ScriptedServer> server = useScriptedServer();
        for (const char* const version : { "", "x", "-1", "1x", "18446744073709551616" }) {
            server->m_response = standins::jsonResponse(boost::beast::http::status::ok, "{}");
            server->m_response->set("Object-Version", version);
            EXPECT_EQ(read().error().m_kind, ErrorKind::Unavailable) << version;
            EXPECT_EQ(write(0, "{}").error().m_kind, ErrorKind::OutcomeUnknown) << version;
        }
    }

    TEST_F(HttpPlatformClientTest, ambiguousStatusesLeaveTheOutcomeOfAWriteUnknown)
    {
        std::shared_ptr<ScriptedServer> server = useScriptedServer();
        server->m_response = standins::errorResponse(boost::beast::http::status::bad_gateway, "proxy");
        EXPECT_EQ(write(0, "{}").error().m_kind, ErrorKind::OutcomeUnknown);
        server->m_response = standins::errorResponse(boost::beast::http::status::too_many_requests, "rate");
        const Outcome<std::uint64_t> rateLimited = write(0, "{}");
        EXPECT_EQ(rateLimited.error().m_kind, ErrorKind::Unavailable);
        EXPECT_NE(rateLimited.error().m_message.find("429: rate"), std::string::npos) << rateLimited.error().m_message;
    }

    TEST_F(HttpPlatformClientTest, malformedVmListEntriesAreSkipped)
    {
        std::shared_ptr<ScriptedServer> server = useScriptedServer();
        server->m_response = standins::jsonResponse(boost::beast::http::status::ok,
            R"([{"name":"e2","zone":"b","state":"leaving","peers":"10.0.0.2:1","replica":"10.0.0.2:2",
                 "control":"10.0.0.2:3","packets":"10.0.0.2:4"},
                {"name":"e1","zone":"a","state":"active","peers":"10.0.0.1:1","replica":"10.0.0.1:2",
                 "control":"10.0.0.1:3","packets":"10.0.0.1:4"},
                {"name":"e3"}, 7])");
        const Outcome<std::vector<Member>> members = run(m_client->listMembers(deadline()));
        ASSERT_TRUE(members.has_value()) << members.error().m_message;
        ASSERT_EQ(members.value().size(), 2U);
        EXPECT_EQ(members.value()[0].m_name, "e1");
        EXPECT_EQ(members.value()[1].m_state, MemberState::Leaving);
        EXPECT_EQ(m_metrics.counter("cuminrelay_platform_failures_total", "malformed_vm").value(), 2U);
        server->m_response = standins::jsonResponse(boost::beast::http::status::ok, "{}");
        EXPECT_EQ(run(m_client->listMembers(deadline())).error().m_kind, ErrorKind::Unavailable);
    }

    TEST_F(HttpPlatformClientTest, aShortOutageIsRetriedAndAWriteOfUnknownOutcomeIsNot)
    {
        BudgetedRetryPolicy policy { {}, 1 };
        RetryingPlatformClient retrying { *m_client, policy, m_clock, m_metrics };
        setSwitches("{\"outage\":true}");
        asio::co_spawn(
            m_context,
            [this]() -> asio::awaitable<void> {
                while (m_platform->calls().m_refusedByOutage < 2) {
                    asio::steady_timer timer { m_context, std::chrono::milliseconds { 5 } };
                    co_await timer.async_wait(asio::use_awaitable);
                }
                standins::HttpRequest request { boost::beast::http::verb::post, "/standin/switches", 11 };
                request.body() = "{\"outage\":false}";
                co_await m_platform->handle(request);
            },
            asio::detached);
        EXPECT_EQ(run(retrying.write("config", "current", 0, "{}", deadline())).value(), 1U);
        EXPECT_EQ(m_metrics.counter("cuminrelay_platform_retries_total", "unavailable").value(), 2U);

        setSwitches("{\"lose_answers\":1}");
        EXPECT_EQ(
            run(retrying.write("config", "current", 1, "{}", deadline())).error().m_kind, ErrorKind::OutcomeUnknown);
        EXPECT_EQ(m_platform->calls().m_writes, 2U) << "the write was not repeated";
        EXPECT_EQ(m_metrics.counter("cuminrelay_platform_gave_up_total", "outcome_unknown").value(), 1U);
    }

} // namespace
} // namespace cuminrelay
