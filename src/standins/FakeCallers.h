#pragma once

#include "configuration/Model.h"
#include "standins/CallersReport.h"
#include "standins/HttpServer.h"
#include "standins/InnerPacket.h"
#include "standins/TcpStream.h"
#include "standins/Tunnel.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cuminrelay::standins {

/// The traffic of the callers to one service.
struct ServiceLoad {
    std::string m_name;
    Endpoint m_address;
    Protocol m_protocol = Protocol::Tcp;
    std::uint64_t m_feeds = 0; ///< feeds that are open at any time
    double m_formsPerSecond = 0;
    double m_bookingsPerSecond = 0;
    double m_uploadsPerSecond = 0;
    double m_surveysPerSecond = 0; ///< Udp only
    std::uint64_t m_uploadBytes = 300'000;
    std::uint64_t m_uploadWorkMs = 400;
    std::uint64_t m_shortWorkMs = 5;
};

struct CallersOptions {
    Endpoint m_tunnel;
    Endpoint m_fabric;
    Endpoint m_admin;
    std::uint64_t m_seed = 1;
    bool m_paused = false; ///< traffic starts only with POST /standin/start
    std::vector<Endpoint> m_hostReports; ///< queried at the end for the records of started work
    std::vector<ServiceLoad> m_services;
};

/// Test double of the callers of all services: opens flows through the fabric and checks every answer. One task runs
/// each flow; a second one retransmits for TCP.
class FakeCallers final : public HttpHandler, public DatagramHandler {
public:
    /// Binds the endpoints and starts the tasks; traffic starts at once unless paused. Errors: Unavailable.
    static Outcome<std::shared_ptr<FakeCallers>> start(boost::asio::io_context& context, CallersOptions options);

    FakeCallers(boost::asio::io_context& context, CallersOptions options);

    /// POST /standin/start: starts the traffic. POST /standin/mark/NAME: records that a fault is injected now; the
    /// report counts by fault. GET /standin/report: the report so far. POST /standin/finish: opens no new flows, waits
    /// at most 20 s for the open ones, compares with the hosts' records and returns the final report.
    boost::asio::awaitable<std::optional<HttpResponse>> handle(const HttpRequest& request) override;
    void handleDatagram(std::span<const std::byte> datagram, Endpoint from) override;

    Endpoint tunnel() const { return m_options.m_tunnel; }
    Endpoint admin() const { return m_options.m_admin; }

private:
    /// One flow: a TCP stream, or the answer to a datagram.
    struct Flow {
        std::shared_ptr<TcpStream> m_stream;
        std::string m_datagram;
        bool m_unreachable = false;
        FlowTrace m_trace;
        Signal m_changed;
    };

    enum class TrafficKind : std::uint8_t {
        Forms,
        Bookings,
        Uploads,
        Surveys,
    };

    void startTraffic();
    boost::asio::awaitable<void> generateFlows(const ServiceLoad& service, TrafficKind trafficKind, double perSecond);
    boost::asio::awaitable<void> startFlow(const ServiceLoad& service, TrafficKind trafficKind);
    boost::asio::awaitable<void> holdFeed(const ServiceLoad& service);
    boost::asio::awaitable<void> readFeed(Flow& flow, const ServiceLoad& service, std::string id);
    boost::asio::awaitable<void> sendShortRequests(const ServiceLoad& service, WorkKind kind);
    boost::asio::awaitable<void> sendUpload(const ServiceLoad& service);
    boost::asio::awaitable<void> sendSurvey(const ServiceLoad& service);
    boost::asio::awaitable<void> exchange(const ServiceLoad& service, std::vector<WorkRequest> requests);
    /// Returns false if the flow breaks.
    boost::asio::awaitable<bool> readAnswers(
        Flow& flow, const ServiceLoad& service, std::map<std::string, WorkRequest> waiting);
    /// Returns false if the handshake fails.
    boost::asio::awaitable<bool> openFlow(const std::shared_ptr<Flow>& flow, Endpoint caller);
    boost::asio::awaitable<void> runFlow(std::shared_ptr<Flow> flow, Endpoint caller);
    boost::asio::awaitable<HttpResponse> finish();
    boost::asio::awaitable<void> compareWithHosts();

    HttpResponse mark(std::string_view name);
    std::shared_ptr<Flow> newFlow(const ServiceLoad& service, Endpoint caller);
    void checkOrigin(Flow& flow, const ServiceLoad& service, const WorkAnswer& answer);
    void checkAnswer(const WorkRequest& request, const WorkAnswer& answer, std::string_view body);
    void countBroken(const Flow& flow);
    Endpoint nextCaller();
    WorkRequest newRequest(const ServiceLoad& service, WorkKind kind);
    std::uint64_t randomBelow(std::uint64_t below) { return m_random() % below; }

    boost::asio::io_context& m_context;
    CallersOptions m_options;
    std::mt19937_64 m_random;
    std::shared_ptr<Tunnel> m_tunnel;
    std::map<Endpoint, std::shared_ptr<Flow>> m_flows;
    CallersReport m_report;
    std::uint64_t m_callerCount = 0;
    std::uint64_t m_requestCount = 0;
    std::uint64_t m_activeFlows = 0; ///< flows that have not ended
    bool m_started = false;
    bool m_stopping = false;
    Signal m_changed;
};

} // namespace cuminrelay::standins
