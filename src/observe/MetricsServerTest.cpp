#include "observe/MetricsServer.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <gtest/gtest.h>
#include <new>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace cuminrelay {
namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    using asio::ip::tcp;

    /// Runs a server on a free loopback port, with its I/O context on a separate thread.
    class MetricsServerTest : public testing::Test {
    protected:
        void SetUp() override
        {
            const Outcome<void> started = m_server.start({ 0x7f000001, 0 });
            ASSERT_TRUE(started.has_value()) << started.error().m_message;
            m_thread = std::thread { [this] { m_context.run(); } };
        }

        void TearDown() override { stopContext(); }

        void stopContext()
        {
            m_context.stop();
            if (m_thread.joinable())
                m_thread.join();
        }

        http::response<http::string_body> call(http::verb verb, const std::string& target)
        {
            asio::io_context context;
            tcp::socket socket { context };
            socket.connect({ asio::ip::address_v4::loopback(), m_server.localEndpoint().m_port });
            return callOn(socket, verb, target);
        }

        static http::response<http::string_body> callOn(tcp::socket& socket, http::verb verb, const std::string& target)
        {
            http::request<http::empty_body> request { verb, target, 11 };
            request.set(http::field::host, "localhost");
            http::write(socket, request);
            boost::beast::flat_buffer buffer;
            http::response<http::string_body> response;
            http::read(socket, buffer, response);
            return response;
        }

        asio::io_context m_context;
        Metrics m_metrics;
        Log m_log { LogLevel::Error };
        MetricsServer m_server { m_context.get_executor(), m_metrics, m_log };
        std::thread m_thread;
    };

    TEST_F(MetricsServerTest, metricsAreServedAsText)
    {
        m_metrics.counter("cuminrelay_drops_total", "hop_limit").add(3);
        const http::response<http::string_body> response = call(http::verb::get, "/metrics");
        EXPECT_EQ(response.result(), http::status::ok);
        EXPECT_NE(response.body().find("cuminrelay_drops_total{reason=\"hop_limit\"} 3\n"), std::string::npos);
    }

    TEST_F(MetricsServerTest, otherPathsAndMethodsAreRefused)
    {
        EXPECT_EQ(call(http::verb::get, "/").result(), http::status::not_found);
        EXPECT_EQ(call(http::verb::post, "/metrics").result(), http::status::method_not_allowed);
    }

    /// Throws instead of its first answers.
    class ThrowingServer final : public HttpGetServer {
    public:
        using HttpGetServer::HttpGetServer;

        unsigned m_failures = 0;

    private:
        HttpGetResponse answer(std::string_view) override
        {
            if (m_failures > 0) {
                --m_failures;
                throw std::bad_alloc {};
            }
            return { 200, "ready\n" };
        }
    };

    // Each failed request must give its connection back, or else the server refuses all connections after a while.
    TEST_F(MetricsServerTest, failedAnswersDoNotUseUpTheConnections)
    {
        ThrowingServer server { m_context.get_executor(), "throwing", m_metrics, m_log };
        server.m_failures = 100;
        ASSERT_TRUE(server.start({ 0x7f000001, 0 }).has_value());
        const auto isAnswered = [&server] {
            asio::io_context context;
            tcp::socket socket { context };
            socket.connect({ asio::ip::address_v4::loopback(), server.localEndpoint().m_port });
            http::request<http::empty_body> request { http::verb::get, "/", 11 };
            http::write(socket, request);
            boost::beast::flat_buffer buffer;
            http::response<http::string_body> response;
            boost::system::error_code failure;
            http::read(socket, buffer, response, failure);
            return !failure && response.result() == http::status::ok;
        };
        for (unsigned i = 0; i < 100; ++i)
            EXPECT_FALSE(isAnswered());
        EXPECT_TRUE(isAnswered());
        EXPECT_EQ(m_metrics.total("cuminrelay_task_failures_total"), 100u);
        // The server's tasks still run on the context's thread, and must not outlive it.
        stopContext();
    }

    // The server cannot tell idle connections that went silent from others, and kept them all for 5 s: clients that
    // replaced theirs found no free one (review/4).
    TEST_F(MetricsServerTest, aNewConnectionReplacesTheLongestIdleOne)
    {
        constexpr std::size_t connections = 64;
        asio::io_context context;
        std::vector<tcp::socket> idle;
        for (std::size_t i = 0; i < connections; ++i) {
            tcp::socket& socket = idle.emplace_back(context);
            socket.connect({ asio::ip::address_v4::loopback(), m_server.localEndpoint().m_port });
        }
        callOn(idle.front(), http::verb::get, "/metrics"); // now idle for the shortest time
        EXPECT_EQ(call(http::verb::get, "/metrics").result(), http::status::ok);
        EXPECT_EQ(m_metrics.total("cuminrelay_idle_connections_closed_total"), 1u);
        callOn(idle.front(), http::verb::get, "/metrics");
        char byte = 0;
        boost::system::error_code failure;
        idle[1].read_some(asio::buffer(&byte, 1), failure);
        EXPECT_EQ(failure, asio::error::eof);
    }

    TEST_F(MetricsServerTest, anEndpointInUseIsNamedInTheError)
    {
        MetricsServer second { m_context.get_executor(), m_metrics, m_log };
        const Endpoint usedEndpoint = m_server.localEndpoint();
        const Outcome<void> started = second.start(usedEndpoint);
        ASSERT_FALSE(started.has_value());
        EXPECT_EQ(started.error().m_kind, ErrorKind::Unavailable);
        EXPECT_NE(started.error().m_message.find(formatEndpoint(usedEndpoint)), std::string::npos);
    }

} // namespace
} // namespace cuminrelay
