#include "exchange/StoreUpdateClient.h"

#include "base/IdleConnection.h"
#include "exchange/StoreUpdateMessage.h"
#include "exchange/StoreUpdateServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <utility>

namespace cuminrelay {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

    /// Allows many round trips between zones.
    constexpr std::chrono::milliseconds c_connectTimeout { 300 };

    /// A large answer may wait for a slow link; a second request would add to its load.
    constexpr std::chrono::milliseconds c_bodyTimeout { 2'000 };

    /// Less than the server's idle time-out of 5 s.
    constexpr std::chrono::seconds c_keepAliveTime { 4 };

    constexpr std::uint64_t c_maxAnswerBytes = 16'000'000;
    constexpr unsigned c_httpVersion = 11;

    Error unavailable(Endpoint peer, std::string_view what)
    {
        return { ErrorKind::Unavailable, fmt::format("news of {}: {}", formatEndpoint(peer), what) };
    }

} // namespace

StoreUpdateClient::StoreUpdateClient(asio::any_io_executor executor, const Clock& clock)
    : m_executor(std::move(executor))
    , m_clock(clock)
{
}

asio::awaitable<Outcome<StoreUpdate>> StoreUpdateClient::fetch(Endpoint peer, StoreVersions held)
{
    const bool isKept
        = m_stream && m_peer == peer && m_clock.now() < m_keepAliveUntil && isReusable(m_stream->socket());
    if (isKept) {
        // Moved out of m_stream, so that no failed connection stays there.
        boost::beast::tcp_stream kept = std::move(*m_stream);
        m_stream.reset();
        Outcome<StoreUpdate> update = co_await fetchOn(std::move(kept), peer, held, s_keptAnswerTimeout);
        if (update || update.error().m_kind == ErrorKind::InvalidInput)
            co_return update;
    }
    m_stream.reset();
    Outcome<boost::beast::tcp_stream> stream = co_await connect(peer);
    if (!stream)
        co_return stream.error();
    co_return co_await fetchOn(std::move(stream.value()), peer, held, s_answerTimeout);
}

asio::awaitable<Outcome<boost::beast::tcp_stream>> StoreUpdateClient::connect(Endpoint peer)
{
    boost::beast::tcp_stream stream { m_executor };
    stream.expires_after(c_connectTimeout);
    const asio::ip::tcp::endpoint endpoint { asio::ip::address_v4 { peer.m_address }, peer.m_port };
    boost::system::error_code failure;
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return unavailable(peer, failure.message());
    co_return stream;
}

asio::awaitable<Outcome<StoreUpdate>> StoreUpdateClient::fetchOn(
    boost::beast::tcp_stream stream, Endpoint peer, StoreVersions held, std::chrono::milliseconds answerTimeout)
{
    boost::system::error_code failure;
    stream.expires_after(answerTimeout);
    http::request<http::empty_body> request { http::verb::get, storeUpdateTarget(held), c_httpVersion };
    request.set(http::field::host, formatEndpoint(peer));
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return unavailable(peer, failure.message());
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(c_maxAnswerBytes);
    co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return unavailable(peer, failure.message());
    stream.expires_after(c_bodyTimeout);
    co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return unavailable(peer, failure.message());
    const http::response<http::string_body>& response = parser.get();
    if (response.result() != http::status::ok)
        co_return unavailable(peer, response.body());
    // Bytes after the response would be read as the response to the next request.
    if (response.keep_alive() && buffer.size() == 0) {
        m_stream.emplace(std::move(stream));
        m_peer = peer;
        m_keepAliveUntil = m_clock.now() + c_keepAliveTime;
    }
    Outcome<StoreUpdate> update = decodeStoreUpdate(response.body(), m_clock.now());
    if (!update)
        co_return Error { ErrorKind::InvalidInput, unavailable(peer, update.error().m_message).m_message };
    co_return update;
}

} // namespace cuminrelay
