#include "standins/FakeHost.h"

#include "standins/TunnelSink.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace cuminrelay::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

    constexpr Duration c_feedInterval = std::chrono::milliseconds { 200 };
    constexpr Duration c_sampleInterval = std::chrono::milliseconds { 100 };
    constexpr std::size_t c_maxSamples = 600;
    constexpr Duration c_pendingTimeout = std::chrono::seconds { 60 };

} // namespace

Outcome<std::shared_ptr<FakeHost>> FakeHost::start(asio::io_context& context, HostOptions options)
{
    std::shared_ptr<FakeHost> host = std::make_shared<FakeHost>(context, std::move(options));
    Outcome<std::shared_ptr<Tunnel>> tunnel = Tunnel::open(context, host->m_options.m_tunnel);
    if (!tunnel)
        return tunnel.error();
    const Outcome<Endpoint> report = serveHttp(context, host->m_options.m_report, host);
    if (!report)
        return report.error();
    host->m_tunnel = tunnel.value();
    host->m_options.m_tunnel = host->m_tunnel->endpoint();
    host->m_options.m_report = report.value();
    host->m_tunnel->startReceiving(*host);
    asio::co_spawn(context, host->sampleLoad(), asio::detached);
    return host;
}

FakeHost::FakeHost(asio::io_context& context, HostOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_work(m_options.m_work)
    , m_random(static_cast<std::uint32_t>(std::hash<std::string> {}(m_options.m_name)))
{
    m_work.setColdStartEnd(now() + m_options.m_coldStart);
}

void FakeHost::handleDatagram(std::span<const std::byte> datagram, Endpoint)
{
    std::optional<InnerPacket> packet = decodeInnerPacket(datagram);
    if (!packet || m_switches.m_isUnresponsive)
        return;
    if (packet->m_kind == InnerKind::Tcp)
        handleSegment(*packet);
    else if (packet->m_kind == InnerKind::Udp)
        asio::co_spawn(m_context, answerDatagram(std::move(*packet)), asio::detached);
}

void FakeHost::handleSegment(const InnerPacket& packet)
{
    const ConnectionKey key { packet.m_source, packet.m_destination };
    const Segment& segment = packet.m_segment;
    const auto found = m_connections.find(key);
    if (found != m_connections.end()) {
        const std::shared_ptr<TcpStream> stream = found->second->m_stream;
        stream->deliver(segment);
        return;
    }
    if (segment.m_reset)
        return;
    const bool isInitialSyn = segment.m_syn && !segment.m_ack;
    if (isInitialSyn && m_connections.size() < m_options.m_connectionLimit) {
        openConnection(key, segment);
        return;
    }
    ++m_resets;
    TunnelSink { m_tunnel, m_options.m_answers, key.m_service, key.m_caller }.send(resetFor(segment));
}

void FakeHost::openConnection(const ConnectionKey& key, const Segment& syn)
{
    ++m_openedConnections;
    m_lastOpenedUnixMs = unixMilliseconds();
    std::shared_ptr<Connection> connection = std::make_shared<Connection>();
    connection->m_stream = std::make_shared<TcpStream>(TcpConnection::passive(m_random(), syn),
        std::make_unique<TunnelSink>(m_tunnel, m_options.m_answers, key.m_service, key.m_caller));
    connection->m_openedWhileDraining = m_switches.m_drain;
    m_connections.emplace(key, connection);
    asio::co_spawn(m_context, readRequests(connection), asio::detached);
    asio::co_spawn(m_context, serveConnection(key, connection), asio::detached);
}

asio::awaitable<void> FakeHost::serveConnection(ConnectionKey key, std::shared_ptr<Connection> connection)
{
    co_await connection->m_stream->run();
    const auto found = m_connections.find(key);
    if (found != m_connections.end() && found->second == connection)
        m_connections.erase(found);
}

asio::awaitable<void> FakeHost::readRequests(std::shared_ptr<Connection> connection)
{
    TcpStream& stream = *connection->m_stream;
    while (true) {
        const Outcome<std::string> line = co_await stream.readLine(Deadline::max());
        if (!line)
            break;
        const Outcome<WorkRequest> request = decodeRequest(line.value());
        if (!request)
            break;
        const Outcome<std::string> body = co_await stream.readBytes(request.value().m_bodyBytes, Deadline::max());
        if (!body)
            break;
        if (request.value().m_kind == WorkKind::Cancel) {
            m_work.cancel(request.value().m_id);
            continue;
        }
        ++connection->m_pending;
        if (request.value().m_kind == WorkKind::Feed)
            asio::co_spawn(m_context, pushFeed(connection, request.value()), asio::detached);
        else
            asio::co_spawn(
                m_context, runRequest(connection, request.value(), hashOfBody(body.value())), asio::detached);
    }
    const Deadline deadline = now() + c_pendingTimeout;
    while (connection->m_pending > 0 && !stream.hasFailed() && now() < deadline)
        co_await connection->m_changed.waitUntil(deadline);
    stream.finish();
}

asio::awaitable<void> FakeHost::runRequest(
    std::shared_ptr<Connection> connection, WorkRequest request, std::string bodyHash)
{
    if (request.m_service != m_options.m_service)
        ++m_foreignRequests;
    const WorkStatus status = connection->m_openedWhileDraining ? WorkStatus::Shed : co_await m_work.run(request);
    WorkAnswer answer = makeAnswer(request, status);
    answer.m_requestHash = std::move(bodyHash);
    answer.m_bodyBytes = status == WorkStatus::Done ? request.m_answerBytes : 0;
    connection->m_stream->write(encodeAnswer(answer) + patternText(request.m_id, answer.m_bodyBytes));
    --connection->m_pending;
    connection->m_changed.notify();
}

asio::awaitable<void> FakeHost::pushFeed(std::shared_ptr<Connection> connection, WorkRequest request)
{
    WorkAnswer push = makeAnswer(request, WorkStatus::Push);
    while (!connection->m_stream->hasEnded()) {
        ++push.m_number;
        connection->m_stream->write(encodeAnswer(push));
        co_await connection->m_stream->waitPeerFinished(now() + c_feedInterval);
    }
    --connection->m_pending;
    connection->m_changed.notify();
}

asio::awaitable<void> FakeHost::answerDatagram(InnerPacket packet)
{
    const std::size_t lineEnd = std::min(packet.m_payload.find('\n'), packet.m_payload.size());
    const Outcome<WorkRequest> request = decodeRequest(std::string_view { packet.m_payload }.substr(0, lineEnd));
    if (!request)
        co_return;
    if (request.value().m_service != m_options.m_service)
        ++m_foreignRequests;
    const WorkStatus status = m_switches.m_drain ? WorkStatus::Shed : co_await m_work.run(request.value());
    if (m_switches.m_isUnresponsive)
        co_return;
    WorkAnswer answer = makeAnswer(request.value(), status);
    answer.m_requestHash
        = hashOfBody(std::string_view { packet.m_payload }.substr(std::min(lineEnd + 1, packet.m_payload.size())));
    answer.m_bodyBytes = status == WorkStatus::Done ? request.value().m_answerBytes : 0;
    const std::string text = encodeAnswer(answer) + patternText(answer.m_id, answer.m_bodyBytes);
    std::array<std::byte, c_maximumInnerBytes> buffer;
    m_tunnel->send(encodeDatagram(packet.m_destination, packet.m_source, text, buffer), m_options.m_answers);
}

WorkAnswer FakeHost::makeAnswer(const WorkRequest& request, WorkStatus status) const
{
    return { request.m_id, status, m_options.m_service, m_options.m_name, 0, 0, {} };
}

asio::awaitable<void> FakeHost::sampleLoad()
{
    while (true) {
        m_samples.push_back({ now(), m_connections.size(), m_work.busySlots(), m_work.queued(), m_work.isShedding() });
        if (m_samples.size() > c_maxSamples)
            m_samples.pop_front();
        co_await sleepUntil(now() + c_sampleInterval);
    }
}

asio::awaitable<std::optional<HttpResponse>> FakeHost::handle(const HttpRequest& request)
{
    const HttpTarget target = parseTarget({ request.target().data(), request.target().size() });
    if (target.m_path == "/load" && request.method() == http::verb::get)
        co_return loadReport();
    if (target.m_path == "/standin/work" && request.method() == http::verb::get)
        co_return jsonResponse(http::status::ok, workJson());
    if (target.m_path == "/standin/switches" && request.method() == http::verb::post)
        co_return setSwitches(request.body());
    co_return errorResponse(http::status::not_found, "no such path");
}

std::optional<HttpResponse> FakeHost::loadReport() const
{
    if (m_switches.m_isUnresponsive)
        return std::nullopt;
    if (m_switches.m_report == ReportMode::Unhealthy)
        return errorResponse(http::status::service_unavailable, "unhealthy by the switch \"report\"");
    LoadSample sample { now(), m_connections.size(), m_work.busySlots(), m_work.queued(),
        m_work.isShedding() || m_switches.m_drain };
    if (m_switches.m_reportLag > Duration::zero()) {
        const Instant sampleTime = now() - m_switches.m_reportLag;
        sample = m_samples.front();
        for (const LoadSample& candidate : m_samples) {
            if (candidate.m_sampledAt <= sampleTime)
                sample = candidate;
        }
    }
    if (m_switches.m_report == ReportMode::Idle)
        sample = {};
    return jsonResponse(http::status::ok,
        json::serialize(json::object {
            { "connections", sample.m_connections },
            { "busy_slots", sample.m_busySlots },
            { "queued", sample.m_queued },
            { "shedding", sample.m_shedding },
        }));
}

void FakeHost::dropConnections()
{
    for (const auto& [key, connection] : std::exchange(m_connections, {}))
        connection->m_stream->abort();
}

HttpResponse FakeHost::setSwitches(std::string_view body)
{
    constexpr std::array<std::string_view, 3> modes { "true", "idle", "unhealthy" };
    json::error_code error;
    const json::value parsed = json::parse({ body.data(), body.size() }, error);
    if (error || !parsed.is_object())
        return errorResponse(http::status::bad_request, "expected a JSON object");
    HostSwitches switches = m_switches;
    bool shedding = m_work.isShedding();
    bool dropsConnections = false;
    for (const json::key_value_pair& entry : parsed.as_object()) {
        const std::string_view key { entry.key().data(), entry.key().size() };
        const json::value& value = entry.value();
        const auto mode = value.is_string() ? std::find(modes.begin(), modes.end(), value.as_string()) : modes.end();
        if (key == "report" && mode != modes.end())
            switches.m_report = static_cast<ReportMode>(mode - modes.begin());
        else if (key == "report_lag_ms" && value.is_int64() && value.as_int64() >= 0)
            switches.m_reportLag = std::chrono::milliseconds { value.as_int64() };
        else if (key == "cold_start_ms" && value.is_int64() && value.as_int64() >= 0)
            m_work.setColdStartEnd(now() + std::chrono::milliseconds { value.as_int64() });
        else if (key == "shedding" && value.is_bool())
            shedding = value.as_bool();
        else if (key == "drain" && value.is_bool())
            switches.m_drain = value.as_bool();
        else if (key == "silent" && value.is_bool())
            switches.m_isUnresponsive = value.as_bool();
        else if (key == "forget" && value.is_bool())
            dropsConnections = value.as_bool();
        else
            return errorResponse(
                http::status::bad_request, fmt::format("\"{}\" is not a switch or its value has the wrong type", key));
    }
    m_switches = switches;
    m_work.setShedding(shedding);
    if (dropsConnections)
        dropConnections();
    return jsonResponse(http::status::ok, "{}");
}

std::string FakeHost::workJson() const
{
    json::array records;
    for (const WorkRecord& record : m_work.records()) {
        records.push_back(json::object {
            { "id", record.m_id },
            { "kind", workKindName(record.m_kind) },
            { "idempotent", isIdempotent(record.m_kind) },
            { "started_unix_ms", record.m_startedUnixMs },
        });
    }
    return json::serialize(json::object {
        { "host", m_options.m_name },
        { "service", m_options.m_service },
        { "opened_connections", m_openedConnections },
        { "open_connections", m_connections.size() },
        { "last_opened_unix_ms", m_lastOpenedUnixMs },
        { "resets", m_resets },
        { "foreign_requests", m_foreignRequests },
        { "records", std::move(records) },
    });
}

} // namespace cuminrelay::standins
