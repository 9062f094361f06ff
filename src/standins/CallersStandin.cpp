#include "standins/CallersStandin.h"

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
    constexpr Duration c_answerLimit = std::chrono::seconds { 15 };
    constexpr Duration c_feedSilenceLimit = std::chrono::seconds { 12 };
    constexpr Duration c_closeLimit = std::chrono::seconds { 10 };
    constexpr Duration c_surveyRetransmission = std::chrono::milliseconds { 400 };
    constexpr unsigned c_surveyTries = 12;
    constexpr Duration c_finishLimit = std::chrono::seconds { 20 };
    constexpr Duration c_recordsLimit = std::chrono::seconds { 10 };
    constexpr std::uint32_t c_firstCallerAddress = 0x0ac80001; // 10.200.0.1
    constexpr std::uint64_t c_portsPerAddress = 60'000;
    constexpr std::uint64_t c_firstPort = 1024;
    constexpr std::uint64_t c_longestShortAnswer = 4000;
    constexpr std::uint64_t c_longestSurvey = 600;
    constexpr std::uint64_t c_formsOnOneConnection = 3;

} // namespace

Outcome<std::shared_ptr<CallersStandin>> CallersStandin::start(asio::io_context& context, CallersOptions options)
{
    std::shared_ptr<CallersStandin> callers = std::make_shared<CallersStandin>(context, std::move(options));
    const Outcome<std::shared_ptr<Tunnel>> tunnel = Tunnel::open(context, callers->m_options.m_tunnel);
    if (!tunnel)
        return tunnel.error();
    const Outcome<Endpoint> admin = serveHttp(context, callers->m_options.m_admin, callers);
    if (!admin)
        return admin.error();
    callers->m_tunnel = tunnel.value();
    callers->m_options.m_tunnel = tunnel.value()->endpoint();
    callers->m_options.m_admin = admin.value();
    callers->m_tunnel->receiveFor(*callers);
    if (!callers->m_options.m_paused)
        callers->startLoads();
    return callers;
}

CallersStandin::CallersStandin(asio::io_context& context, CallersOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_random(m_options.m_seed)
{
}

void CallersStandin::startLoads()
{
    if (std::exchange(m_started, true))
        return;
    for (const ServiceLoad& service : m_options.m_services) {
        for (std::uint64_t feed = 0; feed < service.m_feeds; ++feed)
            asio::co_spawn(m_context, holdFeed(service), asio::detached);
        asio::co_spawn(m_context, generate(service, Pace::Forms, service.m_formsPerSecond), asio::detached);
        asio::co_spawn(m_context, generate(service, Pace::Bookings, service.m_bookingsPerSecond), asio::detached);
        asio::co_spawn(m_context, generate(service, Pace::Uploads, service.m_uploadsPerSecond), asio::detached);
        asio::co_spawn(m_context, generate(service, Pace::Surveys, service.m_surveysPerSecond), asio::detached);
    }
}

asio::awaitable<void> CallersStandin::generate(const ServiceLoad& service, Pace pace, double perSecond)
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
        asio::co_spawn(m_context, startFlow(service, pace), asio::detached);
    }
}

asio::awaitable<void> CallersStandin::startFlow(const ServiceLoad& service, Pace pace)
{
    switch (pace) {
    case Pace::Forms:
        return callShort(service, WorkKind::Form);
    case Pace::Bookings:
        return callShort(service, WorkKind::Booking);
    case Pace::Uploads:
        return upload(service);
    case Pace::Surveys:
        break;
    }
    return survey(service);
}

asio::awaitable<void> CallersStandin::callShort(const ServiceLoad& service, WorkKind kind)
{
    std::vector<WorkRequest> requests;
    const std::uint64_t count = kind == WorkKind::Form ? 1 + draw(c_formsOnOneConnection) : 1;
    for (std::uint64_t i = 0; i < count; ++i)
        requests.push_back(newRequest(service, kind));
    return exchange(service, std::move(requests));
}

asio::awaitable<void> CallersStandin::upload(const ServiceLoad& service)
{
    WorkRequest request = newRequest(service, WorkKind::Upload);
    request.m_bodyBytes = service.m_uploadBytes;
    request.m_workMs = service.m_uploadWorkMs;
    return exchange(service, { request });
}

WorkRequest CallersStandin::newRequest(const ServiceLoad& service, WorkKind kind)
{
    WorkRequest request;
    request.m_id = fmt::format("{}-{}-{}", workKindName(kind), m_options.m_seed, ++m_requests);
    request.m_service = service.m_name;
    request.m_kind = kind;
    request.m_workMs = service.m_shortWorkMs;
    request.m_answerBytes = draw(c_longestShortAnswer);
    return request;
}

Endpoint CallersStandin::nextCaller()
{
    const std::uint64_t number = m_callers++;
    return { static_cast<std::uint32_t>(c_firstCallerAddress + number / c_portsPerAddress),
        static_cast<std::uint16_t>(c_firstPort + number % c_portsPerAddress) };
}

std::shared_ptr<CallersStandin::Flow> CallersStandin::newFlow(const ServiceLoad& service, Endpoint caller)
{
    std::shared_ptr<Flow> flow = std::make_shared<Flow>();
    if (service.m_protocol == Protocol::Tcp) {
        flow->m_stream = std::make_shared<TcpStream>(TcpConnection::active(static_cast<std::uint32_t>(m_random())),
            std::make_unique<TunnelSink>(m_tunnel, m_options.m_fabric, caller, service.m_address));
    }
    flow->m_trace.m_opened = now();
    flow->m_trace.m_progress = flow->m_trace.m_opened;
    m_report.countOpened(flow->m_trace.m_opened);
    m_flows.emplace(caller, flow);
    return flow;
}

asio::awaitable<bool> CallersStandin::openFlow(const std::shared_ptr<Flow>& flow, Endpoint caller)
{
    asio::co_spawn(m_context, keepFlow(flow, caller), asio::detached);
    TcpStream& stream = *flow->m_stream;
    co_await stream.waitOpened(Deadline::max());
    if (stream.state() == TcpState::Reset)
        m_report.countRefused();
    else if (stream.hasFailed())
        m_report.countTimeout(flow->m_trace);
    co_return !stream.hasFailed();
}

asio::awaitable<void> CallersStandin::keepFlow(std::shared_ptr<Flow> flow, Endpoint caller)
{
    co_await flow->m_stream->run();
    m_flows.erase(caller);
}

asio::awaitable<void> CallersStandin::exchange(const ServiceLoad& service, std::vector<WorkRequest> requests)
{
    ++m_active;
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
            co_await stream.waitPeerFinished(now() + c_closeLimit);
        } else {
            countBroken(*flow);
        }
    } else if (stream.state() == TcpState::Reset) {
        for (const WorkRequest& request : requests)
            m_report.m_notRun.insert(request.m_id);
    }
    m_report.m_marks.flowEnded(flow->m_trace);
    --m_active;
    m_changed.notify();
}

asio::awaitable<bool> CallersStandin::readAnswers(
    Flow& flow, const ServiceLoad& service, std::map<std::string, WorkRequest> waiting)
{
    TcpStream& stream = *flow.m_stream;
    const Deadline deadline = now() + c_answerLimit;
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

void CallersStandin::checkOrigin(Flow& flow, const ServiceLoad& service, const WorkAnswer& answer)
{
    std::string& host = flow.m_trace.m_host;
    if (host.empty()) {
        host = answer.m_host;
        ++m_report.m_hostFlows[host];
    }
    if (answer.m_service != service.m_name || answer.m_host != host)
        m_report.countMisrouted();
}

void CallersStandin::checkAnswer(const WorkRequest& request, const WorkAnswer& answer, std::string_view body)
{
    if (provesNotRun(answer.m_status)) {
        m_report.countShed();
        m_report.m_notRun.insert(request.m_id);
        return;
    }
    ++m_report.m_answers;
    const bool whole = answer.m_status == WorkStatus::Done && answer.m_bodyBytes == request.m_answerBytes
        && body == patternText(request.m_id, request.m_answerBytes)
        && answer.m_requestHash == hashOfBody(patternText(request.m_id, request.m_bodyBytes));
    if (!whole)
        m_report.countIncomplete();
}

void CallersStandin::countBroken(const Flow& flow)
{
    const TcpStream& stream = *flow.m_stream;
    if (stream.state() == TcpState::Reset)
        m_report.countReset(flow.m_trace, now());
    else if (stream.state() == TcpState::TimedOut || !stream.hasEnded())
        m_report.countTimeout(flow.m_trace);
    else
        m_report.countEarlyEnd(flow.m_trace, now());
}

asio::awaitable<void> CallersStandin::holdFeed(const ServiceLoad& service)
{
    ++m_active;
    while (!m_stopping) {
        const Endpoint caller = nextCaller();
        const std::shared_ptr<Flow> flow = newFlow(service, caller);
        if (!co_await openFlow(flow, caller)) {
            m_report.m_marks.flowEnded(flow->m_trace);
            co_await sleepUntil(now() + std::chrono::milliseconds { 500 });
            continue;
        }
        const WorkRequest request = newRequest(service, WorkKind::Feed);
        flow->m_stream->write(encodeRequest(request));
        co_await readFeed(*flow, service, request.m_id);
        flow->m_stream->finish();
        m_report.m_marks.flowEnded(flow->m_trace);
    }
    --m_active;
    m_changed.notify();
}

asio::awaitable<void> CallersStandin::readFeed(Flow& flow, const ServiceLoad& service, std::string id)
{
    TcpStream& stream = *flow.m_stream;
    for (std::uint64_t expected = 1; !m_stopping; ++expected) {
        const Outcome<std::string> line = co_await stream.readLine(now() + c_feedSilenceLimit);
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

asio::awaitable<void> CallersStandin::survey(const ServiceLoad& service)
{
    ++m_active;
    const Endpoint caller = nextCaller();
    WorkRequest request = newRequest(service, WorkKind::Survey);
    request.m_answerBytes %= c_longestSurvey;
    request.m_bodyBytes = draw(c_longestSurvey);
    const std::string text = encodeRequest(request) + patternText(request.m_id, request.m_bodyBytes);
    const std::shared_ptr<Flow> flow = newFlow(service, caller);
    std::array<std::byte, c_maximumInnerBytes> buffer;
    const std::span<const std::byte> packet = encodeDatagram(caller, service.m_address, text, buffer);
    for (unsigned attempt = 0; attempt < c_surveyTries && flow->m_datagram.empty() && !flow->m_unreachable; ++attempt) {
        m_tunnel->send(packet, m_options.m_fabric);
        co_await flow->m_changed.waitUntil(now() + c_surveyRetransmission);
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
    m_report.m_marks.flowEnded(flow->m_trace);
    m_flows.erase(caller);
    --m_active;
    m_changed.notify();
}

void CallersStandin::takeDatagram(std::span<const std::byte> datagram, Endpoint)
{
    std::optional<InnerPacket> packet = decodeInner(datagram);
    if (!packet)
        return;
    const Endpoint caller = packet->m_kind == InnerKind::Unreachable ? packet->m_source : packet->m_destination;
    const auto found = m_flows.find(caller);
    if (found == m_flows.end())
        return;
    const std::shared_ptr<Flow> flow = found->second;
    flow->m_trace.m_progress = now();
    if (packet->m_kind == InnerKind::Tcp && flow->m_stream)
        flow->m_stream->deliver(packet->m_segment);
    else if (packet->m_kind == InnerKind::Udp)
        flow->m_datagram = std::move(packet->m_payload);
    else if (packet->m_kind == InnerKind::Unreachable)
        flow->m_unreachable = true;
    flow->m_changed.notify();
}

asio::awaitable<std::optional<HttpResponse>> CallersStandin::handle(const HttpRequest& request)
{
    const HttpTarget target = parseTarget({ request.target().data(), request.target().size() });
    if (target.m_path == "/standin/report" && request.method() == http::verb::get)
        co_return jsonResponse(http::status::ok, m_report.json());
    if (target.m_path == "/standin/start" && request.method() == http::verb::post) {
        startLoads();
        co_return jsonResponse(http::status::ok, "{}");
    }
    if (target.m_path.starts_with(c_markPath) && request.method() == http::verb::post)
        co_return mark(std::string_view { target.m_path }.substr(c_markPath.size()));
    if (target.m_path == "/standin/finish" && request.method() == http::verb::post)
        co_return co_await finish();
    co_return errorResponse(http::status::not_found, "no such path");
}

HttpResponse CallersStandin::mark(std::string_view name)
{
    m_report.m_marks.mark(name, now(), unixMilliseconds());
    return jsonResponse(http::status::ok, "{}");
}

asio::awaitable<HttpResponse> CallersStandin::finish()
{
    m_stopping = true;
    const Deadline deadline = now() + c_finishLimit;
    while (m_active > 0 && now() < deadline)
        co_await m_changed.waitUntil(deadline);
    m_report.m_brokenByTimeout += m_active;
    co_await compareWithHosts();
    co_return jsonResponse(http::status::ok, m_report.json());
}

asio::awaitable<void> CallersStandin::compareWithHosts()
{
    std::vector<RunRecord> records;
    for (const Endpoint report : m_options.m_hostReports) {
        const Outcome<std::string> text = co_await httpGet(report, "/standin/work", now() + c_recordsLimit);
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
