#include "objectapi/HttpPlatformClient.h"

#include "base/IdleConnection.h"
#include "objectapi/VmList.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <utility>

namespace cuminrelay {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr std::uint64_t c_maximumResponseBytes = 4'000'000;
    constexpr std::size_t c_maximumTokenBytes = 4096;
    constexpr std::size_t c_maximumQuotedBytes = 200;
    constexpr std::chrono::milliseconds c_maximumWatchTimeout { 60'000 };
    /// Time for the answer after the end of a watch.
    constexpr Duration c_watchAnswerTimeout = std::chrono::seconds { 2 };
    constexpr unsigned c_httpVersion = 11;
    constexpr const char* c_versionHeader = "Object-Version";
    constexpr const char* c_expectedVersionHeader = "If-Version";

    bool isPathSegment(std::string_view segment)
    {
        return !segment.empty() && segment != "." && segment != ".." && std::ranges::all_of(segment, [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
                || c == '.';
        });
    }

    Outcome<std::string> objectTarget(std::string_view kind, std::string_view name)
    {
        if (!isPathSegment(kind) || !isPathSegment(name)) {
            return Error { ErrorKind::InvalidInput,
                fmt::format("found object \"{}/{}\"; allowed: letters, digits, '-', '_', '.'", kind, name) };
        }
        return fmt::format("/v1/objects/{}/{}", kind, name);
    }

    Outcome<std::string> readToken(const std::string& path)
    {
        std::ifstream file { path };
        std::string token;
        if (!file || !std::getline(file, token) || token.empty() || token.size() > c_maximumTokenBytes)
            return Error { ErrorKind::Unauthorized,
                fmt::format("token file {}: no token of 1 to 4096 bytes in its first line", path) };
        return token;
    }

    std::optional<std::uint64_t> objectVersion(const http::response<http::string_body>& response)
    {
        const beast::string_view text = response[c_versionHeader];
        std::uint64_t version = 0;
        const char* const end = text.data() + text.size();
        const std::from_chars_result parsed = std::from_chars(text.data(), end, version);
        if (text.empty() || parsed.ec != std::errc {} || parsed.ptr != end)
            return std::nullopt;
        return version;
    }

    /// The text of {"error": "..."}, or the beginning of any other body.
    std::string errorText(const std::string& body)
    {
        boost::system::error_code failure;
        const boost::json::value parsed = boost::json::parse(body, failure);
        const boost::json::value* const text
            = !failure && parsed.is_object() ? parsed.get_object().if_contains("error") : nullptr;
        if (text && text->is_string())
            return std::string { std::string_view { text->get_string() }.substr(0, c_maximumQuotedBytes) };
        return body.substr(0, c_maximumQuotedBytes);
    }

    /// Records the duration of a call in a histogram, for both successes and failures.
    class CallTimer {
    public:
        CallTimer(const Clock& clock, Metrics& metrics)
            : m_clock(clock)
            , m_metrics(metrics)
            , m_startTime(clock.now())
        {
        }
        CallTimer(const CallTimer&) = delete;
        CallTimer& operator=(const CallTimer&) = delete;
        ~CallTimer()
        {
            const std::chrono::duration<double> taken = m_clock.now() - m_startTime;
            m_metrics.observeSeconds("cuminrelay_platform_call_seconds", taken.count());
        }

    private:
        const Clock& m_clock;
        Metrics& m_metrics;
        Instant m_startTime;
    };

    bool isRefusedBeforeExecution(http::status status)
    {
        return status == http::status::service_unavailable || status == http::status::too_many_requests;
    }

    /// Maps OutcomeUnknown to Unavailable, because a read can be repeated safely.
    Error toReadError(Error error)
    {
        if (error.m_kind == ErrorKind::OutcomeUnknown)
            error.m_kind = ErrorKind::Unavailable;
        return error;
    }

} // namespace

HttpPlatformClient::HttpPlatformClient(
    asio::any_io_executor executor, PlatformSettings settings, const Clock& clock, Metrics& metrics)
    : m_executor(std::move(executor))
    , m_settings(std::move(settings))
    , m_clock(clock)
    , m_metrics(metrics)
{
}

asio::awaitable<Outcome<StoredObject>> HttpPlatformClient::read(std::string kind, std::string name, Deadline deadline)
{
    m_metrics.counter("cuminrelay_platform_calls_total", "read").add();
    const CallTimer timer { m_clock, m_metrics };
    Outcome<std::string> target = objectTarget(kind, name);
    if (!target)
        co_return target.error();
    co_return co_await readObject(std::move(target.value()), deadline);
}

asio::awaitable<Outcome<StoredObject>> HttpPlatformClient::watch(
    std::string kind, std::string name, std::uint64_t heldVersion, Deadline deadline)
{
    m_metrics.counter("cuminrelay_platform_calls_total", "watch").add();
    const Outcome<std::string> target = objectTarget(kind, name);
    if (!target)
        co_return target.error();
    const Duration remaining = std::max(deadline - m_clock.now(), Duration::zero());
    const std::chrono::milliseconds timeout
        = std::min(std::chrono::duration_cast<std::chrono::milliseconds>(remaining), c_maximumWatchTimeout);
    std::string query = fmt::format("{}?above={}&timeout_ms={}", target.value(), heldVersion, timeout.count());
    co_return co_await readObject(std::move(query), deadline + c_watchAnswerTimeout);
}

asio::awaitable<Outcome<std::uint64_t>> HttpPlatformClient::write(
    std::string kind, std::string name, std::uint64_t expectedVersion, std::string body, Deadline deadline)
{
    m_metrics.counter("cuminrelay_platform_calls_total", "write").add();
    const CallTimer timer { m_clock, m_metrics };
    const Outcome<std::string> target = objectTarget(kind, name);
    if (!target)
        co_return target.error();
    if (body.size() > c_maximumObjectBytes) {
        co_return Error { ErrorKind::InvalidInput,
            fmt::format("{}/{}: found {} bytes; allowed: at most {}", kind, name, body.size(), c_maximumObjectBytes) };
    }
    Outcome<Request> request = makeRequest(http::verb::put, target.value());
    if (!request)
        co_return countFailure("token", request.error());
    request.value().set(c_expectedVersionHeader, fmt::format("{}", expectedVersion));
    request.value().body() = std::move(body);
    request.value().prepare_payload();

    Outcome<Stream> stream = co_await connect(deadline);
    if (!stream)
        co_return stream.error();
    const Outcome<Response> response = co_await exchange(stream.value(), request.value(), deadline);
    if (!response)
        co_return response.error();
    if (response.value().result() != http::status::ok)
        co_return statusError(response.value(), target.value());
    const std::optional<std::uint64_t> version = objectVersion(response.value());
    if (!version) {
        co_return countFailure("malformed",
            { ErrorKind::OutcomeUnknown, "the platform answered a write without a valid Object-Version header" });
    }
    co_return *version;
}

asio::awaitable<Outcome<std::vector<Member>>> HttpPlatformClient::listMembers(Deadline deadline)
{
    m_metrics.counter("cuminrelay_platform_calls_total", "list").add();
    const CallTimer timer { m_clock, m_metrics };
    const Outcome<Response> response = co_await get("/v1/vms", deadline);
    if (!response)
        co_return response.error();
    if (response.value().result() != http::status::ok)
        co_return toReadError(statusError(response.value(), "/v1/vms"));
    Outcome<VmList> list = parseVmList(response.value().body());
    if (!list)
        co_return countFailure("malformed", { ErrorKind::Unavailable, list.error().m_message });
    m_metrics.counter("cuminrelay_platform_failures_total", "malformed_vm").add(list.value().m_malformed);
    co_return std::move(list.value().m_members);
}

asio::awaitable<Outcome<StoredObject>> HttpPlatformClient::readObject(std::string target, Deadline deadline)
{
    Outcome<Response> response = co_await get(target, deadline);
    if (!response)
        co_return response.error();
    if (response.value().result() != http::status::ok)
        co_return toReadError(statusError(response.value(), target));
    const std::optional<std::uint64_t> version = objectVersion(response.value());
    if (!version) {
        co_return countFailure("malformed",
            { ErrorKind::Unavailable,
                fmt::format("the platform answered {} without a valid Object-Version header", target) });
    }
    co_return StoredObject { *version, std::move(response.value().body()) };
}

/// Sends a GET request. If it fails on the kept-alive connection, it is repeated once on a new connection.
asio::awaitable<Outcome<HttpPlatformClient::Response>> HttpPlatformClient::get(std::string target, Deadline deadline)
{
    const Outcome<Request> request = makeRequest(http::verb::get, target);
    if (!request)
        co_return countFailure("token", request.error());

    std::optional<Stream> idleStream = takeIdleStream();
    if (idleStream) {
        Outcome<Response> response = co_await exchange(*idleStream, request.value(), deadline);
        if (response) {
            if (response.value().keep_alive())
                m_idleStream.emplace(std::move(*idleStream));
            co_return response;
        }
        if (m_clock.now() >= deadline)
            co_return toReadError(response.error());
    }

    Outcome<Stream> stream = co_await connect(deadline);
    if (!stream)
        co_return stream.error();
    Outcome<Response> response = co_await exchange(stream.value(), request.value(), deadline);
    if (!response)
        co_return toReadError(response.error());
    if (response.value().keep_alive())
        m_idleStream.emplace(std::move(stream.value()));
    co_return response;
}

asio::awaitable<Outcome<HttpPlatformClient::Stream>> HttpPlatformClient::connect(Deadline deadline)
{
    Stream stream { m_executor };
    stream.expires_at(toSteadyTime(deadline));
    const asio::ip::tcp::endpoint endpoint { asio::ip::address_v4 { m_settings.m_endpoint.m_address },
        m_settings.m_endpoint.m_port };
    boost::system::error_code failure;
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        co_return countFailure("connect",
            { ErrorKind::Unavailable,
                fmt::format(
                    "cannot connect to platform {}: {}", formatEndpoint(m_settings.m_endpoint), failure.message()) });
    }
    co_return std::move(stream);
}

/// Sends a request and reads its response. Errors: Unavailable if the request was not sent completely, so that the
/// platform cannot have run it; OutcomeUnknown if no complete response was received.
asio::awaitable<Outcome<HttpPlatformClient::Response>> HttpPlatformClient::exchange(
    Stream& stream, const Request& request, Deadline deadline)
{
    stream.expires_at(toSteadyTime(deadline));
    boost::system::error_code failure;
    const std::size_t sent
        = co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, failure));
    m_metrics.counter("cuminrelay_control_bytes_total", "platform_sent").add(sent);
    if (failure) {
        co_return countFailure("send",
            { ErrorKind::Unavailable,
                fmt::format("the request could not be sent to the platform: {}", failure.message()) });
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(c_maximumResponseBytes);
    const std::size_t received
        = co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
    m_metrics.counter("cuminrelay_control_bytes_total", "platform_received").add(received);
    if (failure) {
        const bool timedOut = failure == beast::error::timeout;
        co_return countFailure(timedOut ? "timeout" : "answer_lost",
            { ErrorKind::OutcomeUnknown, fmt::format("no complete answer from the platform: {}", failure.message()) });
    }
    co_return parser.release();
}

std::optional<HttpPlatformClient::Stream> HttpPlatformClient::takeIdleStream()
{
    std::optional<Stream> taken;
    if (m_idleStream && isReusable(m_idleStream->socket()))
        taken.emplace(std::move(*m_idleStream));
    m_idleStream.reset();
    return taken;
}

Outcome<HttpPlatformClient::Request> HttpPlatformClient::makeRequest(http::verb method, std::string_view target) const
{
    const Outcome<std::string> token = readToken(m_settings.m_tokenFile);
    if (!token)
        return token.error();
    Request request { method, beast::string_view { target.data(), target.size() }, c_httpVersion };
    request.set(http::field::host, formatEndpoint(m_settings.m_endpoint));
    request.set(http::field::authorization, fmt::format("Bearer {}", token.value()));
    if (method == http::verb::put)
        request.set(http::field::content_type, "application/json");
    return request;
}

Error HttpPlatformClient::countFailure(std::string_view reason, Error error)
{
    m_metrics.counter("cuminrelay_platform_failures_total", reason).add();
    return error;
}

/// Maps a response with a status other than 200 to an error.
Error HttpPlatformClient::statusError(const Response& response, std::string_view requestTarget)
{
    const http::status status = response.result();
    const std::string message = fmt::format(
        "platform answered {} with {}: {}", requestTarget, response.result_int(), errorText(response.body()));
    if (status == http::status::not_found)
        return { ErrorKind::NotFound, message };
    const std::string reason = fmt::format("status_{}", response.result_int());
    if (status == http::status::conflict)
        return countFailure(reason, { ErrorKind::Conflict, message });
    if (status == http::status::unauthorized || status == http::status::forbidden)
        return countFailure(reason, { ErrorKind::Unauthorized, message });
    if (status == http::status::bad_request || status == http::status::payload_too_large)
        return countFailure(reason, { ErrorKind::InvalidInput, message });
    if (isRefusedBeforeExecution(status))
        return countFailure(reason, { ErrorKind::Unavailable, message });
    return countFailure(reason, { ErrorKind::OutcomeUnknown, message });
}

std::chrono::steady_clock::time_point HttpPlatformClient::toSteadyTime(Deadline deadline) const
{
    return std::chrono::steady_clock::now() + (deadline - m_clock.now());
}

} // namespace cuminrelay
