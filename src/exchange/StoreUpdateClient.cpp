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
    const Outcome<std::string> body = co_await get(peer, storeUpdateTarget(held));
    if (!body)
        co_return body.error();
    Outcome<StoreUpdate> update = decodeStoreUpdate(body.value(), m_clock.now());
    if (!update)
        co_return Error { ErrorKind::InvalidInput, unavailable(peer, update.error().m_message).m_message };
    co_return update;
}

asio::awaitable<Outcome<ContestedFlowsMessage>> StoreUpdateClient::fetchContestedFlows(Endpoint peer)
{
    const Outcome<std::string> body = co_await get(peer, std::string { c_contestedFlowsTarget });
    if (!body)
        co_return body.error();
    Outcome<ContestedFlowsMessage> flows = decodeContestedFlows(body.value());
    if (!flows)
        co_return Error { ErrorKind::InvalidInput, unavailable(peer, flows.error().m_message).m_message };
    co_return flows;
}

asio::awaitable<Outcome<std::string>> StoreUpdateClient::get(Endpoint peer, std::string target)
{
    const bool hasConnection = m_stream && isReusable(m_stream->socket());
    const FetchSchedule::Attempt first = m_schedule.begin(peer, hasConnection, m_clock.now());
    Outcome<std::string> body = unavailable(peer, "no attempt");
    for (std::optional<FetchSchedule::Attempt> attempt = first; attempt;
         attempt = FetchSchedule::next(*attempt, m_clock.now())) {
        boost::beast::tcp_stream stream
            = attempt->m_isOnKeptConnection ? std::move(*m_stream) : boost::beast::tcp_stream { m_executor };
        m_stream.reset();
        body = co_await getOn(std::move(stream), peer, target, *attempt);
        if (body)
            break;
    }
    co_return body;
}

asio::awaitable<Outcome<std::string>> StoreUpdateClient::getOn(
    boost::beast::tcp_stream stream, Endpoint peer, std::string target, FetchSchedule::Attempt attempt)
{
    boost::system::error_code failure;
    if (!attempt.m_isOnKeptConnection) {
        expireAt(stream, attempt.m_connectBy);
        const asio::ip::tcp::endpoint endpoint { asio::ip::address_v4 { peer.m_address }, peer.m_port };
        co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return unavailable(peer, failure.message());
    }
    expireAt(stream, attempt.m_answerBy);
    http::request<http::empty_body> request { http::verb::get, target, c_httpVersion };
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
    expireAt(stream, FetchSchedule::completeBy(m_clock.now()));
    co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return unavailable(peer, failure.message());
    http::response<http::string_body>& response = parser.get();
    if (response.result() != http::status::ok)
        co_return unavailable(peer, response.body());
    // Bytes after the response would be read as the response to the next request.
    if (response.keep_alive() && buffer.size() == 0) {
        m_stream.emplace(std::move(stream));
        m_schedule.keepConnection(peer, m_clock.now());
    }
    co_return std::move(response.body());
}

void StoreUpdateClient::expireAt(boost::beast::tcp_stream& stream, Deadline deadline) const
{
    stream.expires_after(deadline - m_clock.now());
}

} // namespace cuminrelay
