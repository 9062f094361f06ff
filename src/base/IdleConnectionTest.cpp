#include "base/IdleConnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <string_view>

namespace cuminrelay {
namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;

    class IdleConnectionTest : public testing::Test {
    protected:
        void SetUp() override
        {
            m_client.connect(m_acceptor.local_endpoint());
            m_acceptor.accept(m_server);
        }

        asio::io_context m_context;
        tcp::acceptor m_acceptor { m_context, { asio::ip::address_v4::loopback(), 0 } };
        tcp::socket m_client { m_context };
        tcp::socket m_server { m_context };
    };

    TEST_F(IdleConnectionTest, aQuietConnectionIsReusable)
    {
        EXPECT_TRUE(isReusable(m_client));
    }

    TEST_F(IdleConnectionTest, unreadBytesForbidReuse)
    {
        asio::write(m_server, asio::buffer(std::string_view { "HTTP/1.1 200 OK\r\n" }));
        m_client.wait(tcp::socket::wait_read);
        EXPECT_FALSE(isReusable(m_client));
    }

    TEST_F(IdleConnectionTest, aClosedConnectionIsNotReusable)
    {
        m_server.close();
        m_client.wait(tcp::socket::wait_read);
        EXPECT_FALSE(isReusable(m_client));
    }

} // namespace
} // namespace cuminrelay
