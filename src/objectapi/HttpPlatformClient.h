#pragma once

#include "base/Time.h"
#include "objectapi/PlatformClient.h"
#include "objectapi/PlatformSettings.h"
#include "observe/Metrics.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

namespace cuminrelay {

/// Client of the platform's protocol (HTTP/1.1 with JSON). Each call is one coroutine. Reads reuse a kept-alive
/// connection if it is free. Each write opens a new connection, so that a connection failure proves that the
/// write was not sent. Writes are never repeated. All calls run on one executor, which must not run on several threads
/// at once. The clock and the metrics must outlive the client, and the client must outlive its calls.
///
/// Counters: cuminrelay_platform_calls_total by kind of call, cuminrelay_platform_failures_total by reason,
/// cuminrelay_control_bytes_total by direction. Histogram: cuminrelay_platform_call_seconds, without watches.
class HttpPlatformClient final : public PlatformClient {
public:
    HttpPlatformClient(
        boost::asio::any_io_executor executor, PlatformSettings settings, const Clock& clock, Metrics& metrics);

    boost::asio::awaitable<Outcome<StoredObject>> read(std::string kind, std::string name, Deadline deadline) override;
    boost::asio::awaitable<Outcome<StoredObject>> watch(
        std::string kind, std::string name, std::uint64_t heldVersion, Deadline deadline) override;
    boost::asio::awaitable<Outcome<std::uint64_t>> write(std::string kind, std::string name,
        std::uint64_t expectedVersion, std::string body, Deadline deadline) override;
    boost::asio::awaitable<Outcome<std::vector<Member>>> listMembers(Deadline deadline) override;

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;
    using Stream = boost::beast::tcp_stream;

    boost::asio::awaitable<Outcome<StoredObject>> readObject(std::string target, Deadline deadline);
    boost::asio::awaitable<Outcome<Response>> get(std::string target, Deadline deadline);
    boost::asio::awaitable<Outcome<Stream>> connect(Deadline deadline);
    boost::asio::awaitable<Outcome<Response>> exchange(Stream& stream, const Request& request, Deadline deadline);
    std::optional<Stream> takeIdleStream();
    Outcome<Request> makeRequest(boost::beast::http::verb method, std::string_view target) const;
    Error countFailure(std::string_view reason, Error error);
    Error statusError(const Response& response, std::string_view requestTarget);
    std::chrono::steady_clock::time_point toSteadyTime(Deadline deadline) const;

    boost::asio::any_io_executor m_executor;
    PlatformSettings m_settings;
    const Clock& m_clock;
    Metrics& m_metrics;
    std::optional<Stream> m_idleStream; ///< kept-alive connection of the last read
};

} // namespace cuminrelay
