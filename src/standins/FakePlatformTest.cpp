#include "standins/FakePlatform.h"

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <thread>

namespace cuminrelay::standins {
namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    namespace json = boost::json;

    constexpr std::uint32_t c_loopback = 0x7f000001;

    /// Runs a FakePlatform on its own thread and sends blocking calls.
    class FakePlatformTest : public testing::Test {
    protected:
        void SetUp() override { serve({ .m_token = "token" }); }

        void TearDown() override
        {
            m_context.stop();
            m_thread.join();
        }

        void serve(PlatformOptions options)
        {
            m_platform = std::make_shared<FakePlatform>(std::move(options));
            m_listen = serveHttp(m_context, { c_loopback, 0 }, m_platform).value();
            m_thread = std::thread { [this] { m_context.run(); } };
        }

        void restartWith(PlatformOptions options)
        {
            TearDown();
            m_context.restart();
            serve(std::move(options));
        }

        /// Sends one call on a new connection; nullopt when it closes without an answer.
        std::optional<HttpResponse> call(http::verb method, std::string_view target, std::string_view body = {},
            std::optional<std::uint64_t> ifVersion = {}, std::string_view token = "token")
        {
            asio::io_context context;
            asio::ip::tcp::socket socket { context };
            socket.connect({ asio::ip::address_v4 { m_listen.m_address }, m_listen.m_port });
            HttpRequest request { method, { target.data(), target.size() }, 11 };
            request.set(http::field::host, "platform");
            request.set(http::field::authorization, fmt::format("Bearer {}", token));
            if (ifVersion)
                request.set("If-Version", fmt::format("{}", *ifVersion));
            request.body() = body;
            request.prepare_payload();
            http::write(socket, request);
            boost::beast::flat_buffer buffer;
            HttpResponse response;
            boost::system::error_code error;
            http::read(socket, buffer, response, error);
            if (error)
                return std::nullopt;
            return response;
        }

        unsigned status(http::verb method, std::string_view target, std::string_view body = {},
            std::optional<std::uint64_t> ifVersion = {}, std::string_view token = "token")
        {
            const std::optional<HttpResponse> response = call(method, target, body, ifVersion, token);
            return response ? response->result_int() : 0;
        }

        void set(std::string_view switches)
        {
            ASSERT_EQ(status(http::verb::post, "/standin/switches", switches, {}, "none"), 200U);
        }

        std::int64_t callCount(std::string_view key)
        {
            const std::string text = call(http::verb::get, "/standin/calls").value().body();
            return json::parse(text).as_object().at({ key.data(), key.size() }).to_number<std::int64_t>();
        }

        asio::io_context m_context;
        std::shared_ptr<FakePlatform> m_platform;
        Endpoint m_listen;
        std::thread m_thread;
    };

    constexpr std::string_view c_object = "/v1/objects/config/current";

    TEST_F(FakePlatformTest, writesAreConditionalOnTheVersion)
    {
        EXPECT_EQ(status(http::verb::get, c_object), 404U);
        const HttpResponse created = call(http::verb::put, c_object, "{\"a\":1}", 0).value();
        EXPECT_EQ(created.result_int(), 200U);
        EXPECT_EQ(created["Object-Version"], "1");
        const HttpResponse conflict = call(http::verb::put, c_object, "{\"a\":2}", 0).value();
        EXPECT_EQ(conflict.result_int(), 409U);
        EXPECT_EQ(conflict["Object-Version"], "1");
        EXPECT_EQ(status(http::verb::put, c_object, "{\"a\":2}", 1), 200U);
        const HttpResponse read = call(http::verb::get, c_object).value();
        EXPECT_EQ(read["Object-Version"], "2");
        EXPECT_EQ(read.body(), "{\"a\":2}");
        EXPECT_EQ(callCount("conflicts"), 1);
    }

    TEST_F(FakePlatformTest, invalidInputIsRejectedWithItsStatus)
    {
        EXPECT_EQ(status(http::verb::put, c_object, "{", 0), 400U);
        EXPECT_EQ(status(http::verb::put, c_object, "{}"), 400U);
        EXPECT_EQ(status(http::verb::get, c_object, {}, {}, "wrong"), 401U);
        EXPECT_EQ(status(http::verb::get, "/v1/objects/config"), 404U);
        EXPECT_EQ(status(http::verb::get, "/v1/objects/config/current?above=x&timeout_ms=1"), 400U);
        const std::string fits = fmt::format("\"{}\"", std::string(999'998, 'x'));
        EXPECT_EQ(status(http::verb::put, c_object, fits + " ", 0), 413U);
        EXPECT_EQ(status(http::verb::put, c_object, fits, 0), 200U);
    }

    TEST_F(FakePlatformTest, watchWaitsForTheNextVersionAndCountsOnce)
    {
        ASSERT_EQ(status(http::verb::put, c_object, "1", 0), 200U);
        std::optional<HttpResponse> seen;
        std::thread watcher { [&] {
            seen = call(http::verb::get, "/v1/objects/config/current?above=1&timeout_ms=30000");
        } };
        while (callCount("watches") == 0)
            std::this_thread::yield();
        ASSERT_EQ(status(http::verb::put, c_object, "2", 1), 200U);
        watcher.join();
        EXPECT_EQ(seen.value()["Object-Version"], "2");
        EXPECT_EQ(callCount("watches"), 1);
        EXPECT_EQ(callCount("reads"), 0);
    }

    TEST_F(FakePlatformTest, watchReturnsTheStoredVersionAfterItsTimeout)
    {
        EXPECT_EQ(status(http::verb::get, "/v1/objects/config/current?above=0&timeout_ms=1"), 404U);
        ASSERT_EQ(status(http::verb::put, c_object, "1", 0), 200U);
        const HttpResponse held = call(http::verb::get, "/v1/objects/config/current?above=1&timeout_ms=1").value();
        EXPECT_EQ(held["Object-Version"], "1");
    }

    TEST_F(FakePlatformTest, lostAnswerKeepsTheWrite)
    {
        set("{\"lose_answers\":1}");
        EXPECT_EQ(status(http::verb::put, c_object, "1", 0), 0U);
        EXPECT_EQ(call(http::verb::get, c_object).value()["Object-Version"], "1");
        EXPECT_EQ(status(http::verb::put, c_object, "2", 1), 200U);
        EXPECT_EQ(callCount("lost_answers"), 1);
    }

    TEST_F(FakePlatformTest, staleReadsReturnThePreviousVersion)
    {
        ASSERT_EQ(status(http::verb::put, c_object, "1", 0), 200U);
        ASSERT_EQ(status(http::verb::put, c_object, "2", 1), 200U);
        set("{\"stale_reads\":true}");
        const HttpResponse stale = call(http::verb::get, c_object).value();
        EXPECT_EQ(stale["Object-Version"], "1");
        EXPECT_EQ(stale.body(), "1");
        set("{\"stale_reads\":false}");
        EXPECT_EQ(call(http::verb::get, c_object).value().body(), "2");
    }

    TEST_F(FakePlatformTest, outageRefusesAllCallsAndEndsWatches)
    {
        std::optional<HttpResponse> seen;
        std::thread watcher { [&] {
            seen = call(http::verb::get, "/v1/objects/config/current?above=0&timeout_ms=30000");
        } };
        while (callCount("watches") == 0)
            std::this_thread::yield();
        set("{\"outage\":true}");
        watcher.join();
        EXPECT_EQ(seen.value().result_int(), 503U);
        EXPECT_EQ(status(http::verb::put, c_object, "1", 0), 503U);
        set("{\"outage\":false}");
        EXPECT_EQ(status(http::verb::get, c_object), 404U);
    }

    TEST_F(FakePlatformTest, slowCallsAreAnswered)
    {
        set("{\"slow_ms\":5}");
        EXPECT_EQ(status(http::verb::put, c_object, "1", 0), 200U);
    }

    TEST_F(FakePlatformTest, vmListShowsChangesAfterItsLag)
    {
        EXPECT_EQ(
            status(http::verb::put, "/standin/vms/entry-1", "{\"zone\":\"furano-c\",\"state\":\"active\"}"), 200U);
        EXPECT_EQ(call(http::verb::get, "/v1/vms").value().body(),
            "[{\"zone\":\"furano-c\",\"state\":\"active\",\"name\":\"entry-1\"}]");
        set("{\"vm_list_lag_ms\":60000}");
        EXPECT_EQ(status(http::verb::delete_, "/standin/vms/entry-1"), 200U);
        EXPECT_NE(call(http::verb::get, "/v1/vms").value().body(), "[]");
        set("{\"vm_list_lag_ms\":0}");
    }

    TEST_F(FakePlatformTest, callsOverTheRateAreRefusedAndCounted)
    {
        restartWith({ .m_token = "token", .m_writesPerSecond = 0, .m_readsPerSecond = 0 });
        EXPECT_EQ(status(http::verb::put, c_object, "1", 0), 429U);
        EXPECT_EQ(status(http::verb::get, c_object), 429U);
        EXPECT_EQ(callCount("refused_by_rate"), 2);
    }

    TEST_F(FakePlatformTest, unknownSwitchChangesNothing)
    {
        EXPECT_EQ(status(http::verb::post, "/standin/switches", "{\"outage\":true,\"storm\":1}"), 400U);
        EXPECT_EQ(status(http::verb::get, c_object), 404U);
    }

} // namespace
} // namespace cuminrelay::standins
