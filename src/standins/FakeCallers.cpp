#include "standins/FakeCallers.h"

#include "observe/Log.h"
#include "standins/HttpClient.h"
#include "standins/TunnelSink.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>

namespace cuminrelay::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

    constexpr std::string_view c_markPath = "/standin/mark/";
    constexpr Duration c_answerTimeout = std::chrono::seconds { 15 };
    constexpr Duration c_feedTimeout = std::chrono::seconds { 12 };
    constexpr Duration c_closeTimeout = std::chrono::seconds { 10 };
    constexpr Duration c_surveyRetransmissionInterval = std::chrono::milliseconds { 400 };
    constexpr unsigned c_maxSurveyAttempts = 12;
    constexpr Duration c_finishTimeout = std::chrono::seconds { 20 };
    constexpr Duration c_recordsTimeout = std::chrono::seconds { 10 };
    constexpr std::uint32_t c_firstCallerAddress = 0x0ac80001; // 10.200.0.1
    constexpr std::uint64_t c_portsPerAddress = 60'000;
    constexpr std::uint64_t c_firstPort = 1024;
    constexpr std::uint64_t c_maxShortAnswerBytes = 4000;
    constexpr std::uint64_t c_maxSurveyBytes = 600;
    constexpr std::uint64_t c_maxFormsPerConnection = 3;

} // namespace

Outcome<std::shared_ptr<FakeCallers>> FakeCallers::start(asio::io_context& context, CallersOptions options)
{
    std::shared_ptr<FakeCallers> callers = std::make_shared<FakeCallers>(context, std::move(options));
    const Outcome<std::shared_ptr<Tunnel>> tunnel = Tunnel::open(context, callers->m_options.m_tunnel);
    if (!tunnel)
        return tunnel.error();
    const Outcome<Endpoint> admin = serveHttp(context, callers->m_options.m_admin, callers);
    if (!admin)
        return admin.error();
    callers->m_tunnel = tunnel.value();
    callers->m_options.m_tunnel = tunnel.value()->endpoint();
    callers->m_options.m_admin = admin.value();
    callers->m_tunnel->startReceiving(*callers);
    if (!callers->m_options.m_paused)
        callers->startTraffic();
    return callers;
}

FakeCallers::FakeCallers(asio::io_context& context, CallersOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_random(m_options.m_seed)
{
}

void FakeCallers::startTraffic()
{
    if (std::exchange(m_started, true))
        return;
    for (const ServiceLoad& service : m_options.m_services) {
        for (std::uint64_t feed = 0; feed < service.m_feeds; ++feed)
            asio::co_spawn(m_context, holdFeed(service), asio::detached);
        asio::co_spawn(m_context, generateFlows(service, TrafficKind::Forms, service.m_formsPerSecond), asio::detached);
        asio::co_spawn(
            m_context, generateFlows(service, TrafficKind::Bookings, service.m_bookingsPerSecond), asio::detached);
        asio::co_spawn(
            m_context, generateFlows(service, TrafficKind::Uploads, service.m_uploadsPerSecond), asio::detached);
        asio::co_spawn(
            m_context, generateFlows(service, TrafficKind::Surveys, service.m_surveysPerSecond), asio::detached);
    }
}

asio::awaitable<void> FakeCallers::generateFlows(const ServiceLoad& service, TrafficKind trafficKind, double perSecond)
{
    if (perSecond <= 0)
        co_return;
    std::exponential_distribution<double> interval { perSecond };
    Instant next = now();
    while (true) {
        next += std::chrono::duration_cast<Duration>(std::chrono::duration<double> { interval(m_random) });
        co_await sleepUntil(next);
        if (m_stopping)
            co_return;
        asio::co_spawn(m_context, startFlow(service, trafficKind), asio::detached);
    }
}

asio::awaitable<void> FakeCallers::startFlow(const ServiceLoad& service, TrafficKind trafficKind)
{
    switch (trafficKind) {
    case TrafficKind::Forms:
        return sendShortRequests(service, WorkKind::Form);
    case TrafficKind::Bookings:
        return sendShortRequests(service, WorkKind::Booking);
    case TrafficKind::Uploads:
        return sendUpload(service);
    case TrafficKind::Surveys:
        break;
    }
    return sendSurvey(service);
}

asio::awaitable<void> FakeCallers::sendShortRequests(const ServiceLoad& service, WorkKind kind)
{
    std::vector<WorkRequest> requests;
    const std::uint64_t count = kind == WorkKind::Form ? 1 + randomBelow(c_maxFormsPerConnection) : 1;
    for (std::uint64_t i = 0; i < count; ++i)
        requests.push_back(newRequest(service, kind));
    return exchange(service, std::move(requests));
}

asio::awaitable<void> FakeCallers::sendUpload(const ServiceLoad& service)
{
    WorkRequest request = newRequest(service, WorkKind::Upload);
    request.m_bodyBytes = service.m_uploadBytes;
    request.m_workMs = service.m_uploadWorkMs;
    return exchange(service, { request });
}

WorkRequest FakeCallers::newRequest(const ServiceLoad& service, WorkKind kind)
{
    WorkRequest request;
    request.m_id = fmt::format("{}-{}-{}", workKindName(kind), m_options.m_seed, ++m_requestCount);
    request.m_service = service.m_name;
    request.m_kind = kind;
    request.m_workMs = service.m_shortWorkMs;
    request.m_answerBytes = randomBelow(c_maxShortAnswerBytes);
    return request;
}

Endpoint FakeCallers::nextCaller()
{
    const std::uint64_t number = m_callerCount++;
    return { static_cast<std::uint32_t>(c_firstCallerAddress + number / c_portsPerAddress),
        static_cast<std::uint16_t>(c_firstPort + number % c_portsPerAddress) };
}

std::shared_ptr<FakeCallers::Flow> FakeCallers::newFlow(const ServiceLoad& service, Endpoint caller)
{
    std::shared_ptr<Flow> flow = std::make_shared<Flow>();
    if (service.m_protocol == Protocol::Tcp) {
        flow->m_stream = std::make_shared<TcpStream>(TcpConnection::active(static_cast<std::uint32_t>(m_random())),
            std::make_unique<TunnelSink>(m_tunnel, m_options.m_fabric, caller, service.m_address));
    }
    flow->m_trace.m_openedAt = now();
    flow->m_trace.m_lastPacketAt = flow->m_trace.m_openedAt;
    m_report.countOpened(flow->m_trace.m_openedAt);
    m_flows.emplace(caller, flow);
    return flow;
}

asio::awaitable<bool> FakeCallers::openFlow(const std::shared_ptr<Flow>& flow, Endpoint caller)
{
    asio::co_spawn(m_context, runFlow(flow, caller), asio::detached);
    TcpStream& stream = *flow->m_stream;
    co_await stream.waitOpened(Deadline::max());
    if (stream.state() == TcpState::Reset)
        m_report.countRefused();
    else if (stream.hasFailed())
        m_report.countTimeout(flow->m_trace);
    co_return !stream.hasFailed();
}

asio::awaitable<void> FakeCallers::runFlow(std::shared_ptr<Flow> flow, Endpoint caller)
{
    co_await flow->m_stream->run();
    m_flows.erase(caller);
}

asio::awaitable<void> FakeCallers::exchange(const ServiceLoad& service, std::vector<WorkRequest> requests)
{
    ++m_activeFlows;
    const Endpoint caller = nextCaller();
    const std::shared_ptr<Flow> flow = newFlow(service, caller);
    TcpStream& stream = *flow->m_stream;
    if (co_await openFlow(flow, caller)) {
        std::map<std::string, WorkRequest> waiting;
        for (const WorkRequest& request : requests) {
            waiting.emplace(request.m_id, request);
            stream.write(encodeRequest(request) + patternText(request.m_id, request.m_bodyBytes));
        }
        if (co_await readAnswers(*flow, service, std::move(waiting))) {
            stream.finish();
            co_await stream.waitPeerFinished(now() + c_closeTimeout);
        } else {
            countBroken(*flow);
        }
    } else if (stream.state() == TcpState::Reset) {
        for (const WorkRequest& request : requests)
            m_report.m_notRun.insert(request.m_id);
    }
    m_report.m_faultStatistics.flowEnded(flow->m_trace);
    --m_activeFlows;
    m_changed.notify();
}

asio::awaitable<bool> FakeCallers::readAnswers(
    Flow& flow, const ServiceLoad& service, std::map<std::string, WorkRequest> waiting)
{
    TcpStream& stream = *flow.m_stream;
    const Deadline deadline = now() + c_answerTimeout;
    while (!waiting.empty()) {
        const Outcome<std::string> line = co_await stream.readLine(deadline);
        if (!line)
            co_return false;
        const Outcome<WorkAnswer> answer = decodeAnswer(line.value());
        if (!answer) {
            m_report.countIncomplete();
            co_return true;
        }
        const Outcome<std::string> body = co_await stream.readBytes(answer.value().m_bodyBytes, deadline);
        if (!body)
            co_return false;
        checkOrigin(flow, service, answer.value());
        const auto found = waiting.find(answer.value().m_id);
        if (found == waiting.end()) {
            m_report.countIncomplete();
            continue;
        }
        checkAnswer(found->second, answer.value(), body.value());
        waiting.erase(found);
    }
    co_return true;
}

void FakeCallers::checkOrigin(Flow& flow, const ServiceLoad& service, const WorkAnswer& answer)
{
    std::string& host = flow.m_trace.m_host;
    if (host.empty()) {
        host = answer.m_host;
        ++m_report.m_hostFlows[host];
    }
    if (answer.m_service != service.m_name || answer.m_host != host)
        m_report.countMisrouted();
}

void FakeCallers::checkAnswer(const WorkRequest& request, const WorkAnswer& answer, std::string_view body)
{
    if (hasNotRun(answer.m_status)) {
        m_report.countShed();
        m_report.m_notRun.insert(request.m_id);
        return;
    }
    ++m_report.m_answers;
    const bool isComplete = answer.m_status == WorkStatus::Done && answer.m_bodyBytes == request.m_answerBytes
        && body == patternText(request.m_id, request.m_answerBytes)
        && answer.m_requestHash == hashOfBody(patternText(request.m_id, request.m_bodyBytes));
    if (!isComplete)
        m_report.countIncomplete();
}

void FakeCallers::countBroken(const Flow& flow)
{
    const TcpStream& stream = *flow.m_stream;
    if (stream.state() == TcpState::Reset)
        m_report.countReset(flow.m_trace, now());
    else if (stream.state() == TcpState::TimedOut || !stream.hasEnded())
        m_report.countTimeout(flow.m_trace);
    else
        m_report.countEarlyEnd(flow.m_trace, now());
}

asio::awaitable<void> FakeCallers::holdFeed(const ServiceLoad& service)
{
    ++m_activeFlows;
    while (!m_stopping) {
        const Endpoint caller = nextCaller();
        const std::shared_ptr<Flow> flow = newFlow(service, caller);
        if (!co_await openFlow(flow, caller)) {
            m_report.m_faultStatistics.flowEnded(flow->m_trace);
            co_await sleepUntil(now() + std::chrono::milliseconds { 500 });
            continue;
        }
        const WorkRequest request = newRequest(service, WorkKind::Feed);
        flow->m_stream->write(encodeRequest(request));
        co_await readFeed(*flow, service, request.m_id);
        flow->m_stream->finish();
        m_report.m_faultStatistics.flowEnded(flow->m_trace);
    }
    --m_activeFlows;
    m_changed.notify();
}

asio::awaitable<void> FakeCallers::readFeed(Flow& flow, const ServiceLoad& service, std::string id)
{
    TcpStream& stream = *flow.m_stream;
    for (std::uint64_t expected = 1; !m_stopping; ++expected) {
        const Outcome<std::string> line = co_await stream.readLine(now() + c_feedTimeout);
        if (!line) {
            countBroken(flow);
            co_return;
        }
        const Outcome<WorkAnswer> push = decodeAnswer(line.value());
        if (!push || push.value().m_id != id || push.value().m_number != expected) {
            m_report.countIncomplete();
            co_return;
        }
        ++m_report.m_pushes;
        checkOrigin(flow, service, push.value());
    }
}

asio::awaitable<void> FakeCallers::sendSurvey(const ServiceLoad& service)
{
    ++m_activeFlows;
    const Endpoint caller = nextCaller();
    WorkRequest request = newRequest(service, WorkKind::Survey);
    request.m_answerBytes %= c_maxSurveyBytes;
    request.m_bodyBytes = randomBelow(c_maxSurveyBytes);
    const std::string text = encodeRequest(request) + patternText(request.m_id, request.m_bodyBytes);
    const std::shared_ptr<Flow> flow = newFlow(service, caller);
    std::array<std::byte, c_maximumInnerBytes> buffer;
    const std::span<const std::byte> packet = encodeDatagram(caller, service.m_address, text, buffer);
    for (unsigned attempt = 0; attempt < c_maxSurveyAttempts && flow->m_datagram.empty() && !flow->m_unreachable;
         ++attempt) {
        m_tunnel->send(packet, m_options.m_fabric);
        co_await flow->m_changed.waitUntil(now() + c_surveyRetransmissionInterval);
    }
    const std::size_t lineEnd = flow->m_datagram.find('\n');
    if (lineEnd != std::string::npos) {
        const Outcome<WorkAnswer> answer = decodeAnswer(std::string_view { flow->m_datagram }.substr(0, lineEnd));
        if (answer && answer.value().m_id == request.m_id) {
            checkOrigin(*flow, service, answer.value());
            checkAnswer(request, answer.value(), std::string_view { flow->m_datagram }.substr(lineEnd + 1));
        } else {
            m_report.countIncomplete();
        }
    } else if (flow->m_unreachable) {
        m_report.countRefused();
        m_report.m_notRun.insert(request.m_id);
    } else {
        m_report.countTimeout(flow->m_trace);
    }
    m_report.m_faultStatistics.flowEnded(flow->m_trace);
    m_flows.erase(caller);
    --m_activeFlows;
    m_changed.notify();
}

void FakeCallers::handleDatagram(std::span<const std::byte> datagram, Endpoint)
{
    std::optional<InnerPacket> packet = decodeInnerPacket(datagram);
    if (!packet)
        return;
    const Endpoint caller = packet->m_kind == InnerKind::Unreachable ? packet->m_source : packet->m_destination;
    const auto found = m_flows.find(caller);
    if (found == m_flows.end())
        return;
    const std::shared_ptr<Flow> flow = found->second;
    flow->m_trace.m_lastPacketAt = now();
    if (packet->m_kind == InnerKind::Tcp && flow->m_stream)
        flow->m_stream->deliver(packet->m_segment);
    else if (packet->m_kind == InnerKind::Udp)
        flow->m_datagram = std::move(packet->m_payload);
    else if (packet->m_kind == InnerKind::Unreachable)
        flow->m_unreachable = true;
    flow->m_changed.notify();
}

asio::awaitable<std::optional<HttpResponse>> FakeCallers::handle(const HttpRequest& request)
{
    const HttpTarget target = parseTarget({ request.target().data(), request.target().size() });
    if (target.m_path == "/standin/report" && request.method() == http::verb::get)
        co_return jsonResponse(http::status::ok, m_report.json());
    if (target.m_path == "/standin/start" && request.method() == http::verb::post) {
        startTraffic();
        co_return jsonResponse(http::status::ok, "{}");
    }
    if (target.m_path.starts_with(c_markPath) && request.method() == http::verb::post)
        co_return mark(std::string_view { target.m_path }.substr(c_markPath.size()));
    if (target.m_path == "/standin/finish" && request.method() == http::verb::post)
        co_return co_await finish();
    co_return errorResponse(http::status::not_found, "no such path");
}

HttpResponse FakeCallers::mark(std::string_view name)
{
    m_report.m_faultStatistics.mark(name, now(), unixMilliseconds());
    return jsonResponse(http::status::ok, "{}");
}

asio::awaitable<HttpResponse> FakeCallers::finish()
{
    m_stopping = true;
    const Deadline deadline = now() + c_finishTimeout;
    while (m_activeFlows > 0 && now() < deadline)
        co_await m_changed.waitUntil(deadline);
    m_report.m_brokenByTimeout += m_activeFlows;
    co_await compareWithHosts();
    co_return jsonResponse(http::status::ok, m_report.json());
}

asio::awaitable<void> FakeCallers::compareWithHosts()
{
    std::vector<RunRecord> records;
    for (const Endpoint report : m_options.m_hostReports) {
        const Outcome<std::string> text = co_await httpGet(report, "/standin/work", now() + c_recordsTimeout);
        if (!text) {
            Log {}.error("standins", "host_record_missing", { { "reason", text.error().m_message } });
            continue;
        }
        json::error_code error;
        const json::value parsed = json::parse(text.value(), error);
        if (error)
            continue;
        for (const json::value& record : parsed.as_object().at("records").as_array()) {
            const json::object& fields = record.as_object();
            records.push_back({ std::string { fields.at("id").as_string() }, fields.at("idempotent").as_bool(),
                fields.at("started_unix_ms").as_int64() });
        }
    }
    m_report.compareWith(records);
}

} // namespace cuminrelay::standins
