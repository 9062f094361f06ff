#include "exchange/StoreUpdateClient.h"

#include "exchange/StoreUpdateMessage.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <gtest/gtest.h>
#include <optional>
#include <utility>

namespace cuminrelay {
namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;

    /// A VM whose connections go silent after their first answer: they stay open and carry nothing more.
    class SilentPeer {
    public:
        explicit SilentPeer(asio::io_context& context)
            : m_context(context)
            , m_acceptor(context, { asio::ip::address_v4::loopback(), 0 })
        {
            asio::co_spawn(context, accept(), asio::detached);
        }

        Endpoint endpoint() const
        {
            return { asio::ip::address_v4::loopback().to_uint(), m_acceptor.local_endpoint().port() };
        }

        unsigned m_connections = 0;
        StoreUpdate m_update;

    private:
        asio::awaitable<void> accept()
        {
            for (;;) {
                asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
                ++m_connections;
                asio::co_spawn(m_context, answerOnce(std::move(socket)), asio::detached);
            }
        }

        asio::awaitable<void> answerOnce(asio::ip::tcp::socket socket)
        {
            boost::beast::flat_buffer buffer;
            http::request<http::empty_body> request;
            co_await http::async_read(socket, buffer, request, asio::use_awaitable);
            http::response<http::string_body> response { http::status::ok, 11 };
            response.body() = encodeStoreUpdate(m_update, Instant {});
            response.prepare_payload();
            co_await http::async_write(socket, response, asio::use_awaitable);
            http::request<http::empty_body> unanswered;
            co_await http::async_read(socket, buffer, unanswered, asio::use_awaitable);
            co_await http::async_read(socket, buffer, unanswered, asio::use_awaitable); // until it is closed
        }

        asio::io_context& m_context;
        asio::ip::tcp::acceptor m_acceptor;
    };

    // Open connections may go silent for good while new ones work. The VM waited 2 s for the answer on the kept one,
    // and asked no other VM meanwhile (review/4).
    TEST(StoreUpdateClientTest, aSilentConnectionIsReplacedByANewOne)
    {
        asio::io_context context;
        SilentPeer peer { context };
        peer.m_update.m_backendsRevision = { 7 };
        const SystemClock clock;
        StoreUpdateClient client { context.get_executor(), clock };
        std::optional<Outcome<StoreUpdate>> first;
        std::optional<Outcome<StoreUpdate>> second;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                first = co_await client.fetch(peer.endpoint(), {});
                second = co_await client.fetch(peer.endpoint(), {});
                context.stop();
            },
            asio::detached);
        context.run();
        ASSERT_TRUE(first->has_value());
        ASSERT_TRUE(second->has_value()) << second->error().m_message;
        EXPECT_EQ(second->value().m_backendsRevision.m_number, 7u);
        EXPECT_EQ(peer.m_connections, 2u);
    }

} // namespace
} // namespace cuminrelay
