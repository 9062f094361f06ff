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

/// What the callers do with one service.
struct ServiceLoad {
    std::string m_name;
    Endpoint m_address;
    Protocol m_protocol = Protocol::Tcp;
    std::uint64_t m_feeds = 0; ///< held open all the time
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
    bool m_paused = false; ///< calls begin only with POST /standin/start
    std::vector<Endpoint> m_hostReports; ///< asked at the end for what ran
    std::vector<ServiceLoad> m_services;
};

/// The callers of all services: opens flows through the fabric and checks every answer. One task for each flow.
class CallersStandin final : public HttpHandler, public DatagramHandler {
public:
    /// Binds its endpoints and starts its tasks; calls begin at once unless paused. Errors: Unavailable.
    static Outcome<std::shared_ptr<CallersStandin>> start(boost::asio::io_context& context, CallersOptions options);

    CallersStandin(boost::asio::io_context& context, CallersOptions options);

    /// POST /standin/start: begins to call. POST /standin/mark/NAME: a fault strikes now; the report tells faults apart
    /// by such marks. GET /standin/report: what was seen so far. POST /standin/finish: no new flows, waits for the open
    /// ones, compares with the hosts' records and answers the final report.
    boost::asio::awaitable<std::optional<HttpResponse>> handle(const HttpRequest& request) override;
    void takeDatagram(std::span<const std::byte> datagram, Endpoint from) override;

    Endpoint tunnel() const { return m_options.m_tunnel; }
    Endpoint admin() const { return m_options.m_admin; }

private:
    /// What a flow waits for: segments of its stream, or one datagram.
    struct Flow {
        std::shared_ptr<TcpStream> m_stream;
        std::string m_datagram;
        bool m_unreachable = false;
        FlowTrace m_trace;
        Signal m_changed;
    };

    enum class Pace : std::uint8_t {
        Forms,
        Bookings,
        Uploads,
        Surveys,
    };

    void startLoads();
    boost::asio::awaitable<void> generate(const ServiceLoad& service, Pace pace, double perSecond);
    boost::asio::awaitable<void> startFlow(const ServiceLoad& service, Pace pace);
    boost::asio::awaitable<void> holdFeed(const ServiceLoad& service);
    boost::asio::awaitable<void> readFeed(Flow& flow, const ServiceLoad& service, std::string id);
    boost::asio::awaitable<void> callShort(const ServiceLoad& service, WorkKind kind);
    boost::asio::awaitable<void> upload(const ServiceLoad& service);
    boost::asio::awaitable<void> survey(const ServiceLoad& service);
    boost::asio::awaitable<void> exchange(const ServiceLoad& service, std::vector<WorkRequest> requests);
    boost::asio::awaitable<bool> readAnswers(
        Flow& flow, const ServiceLoad& service, std::map<std::string, WorkRequest> waiting);
    boost::asio::awaitable<bool> openFlow(const std::shared_ptr<Flow>& flow, Endpoint caller);
    boost::asio::awaitable<void> keepFlow(std::shared_ptr<Flow> flow, Endpoint caller);
    boost::asio::awaitable<HttpResponse> finish();
    boost::asio::awaitable<void> compareWithHosts();

    HttpResponse mark(std::string_view name);
    std::shared_ptr<Flow> newFlow(const ServiceLoad& service, Endpoint caller);
    void checkOrigin(Flow& flow, const ServiceLoad& service, const WorkAnswer& answer);
    void checkAnswer(const WorkRequest& request, const WorkAnswer& answer, std::string_view body);
    void countBroken(const Flow& flow);
    Endpoint nextCaller();
    WorkRequest newRequest(const ServiceLoad& service, WorkKind kind);
    std::uint64_t draw(std::uint64_t below) { return m_random() % below; }

    boost::asio::io_context& m_context;
    CallersOptions m_options;
    std::mt19937_64 m_random;
    std::shared_ptr<Tunnel> m_tunnel;
    std::map<Endpoint, std::shared_ptr<Flow>> m_flows;
    CallersReport m_report;
    std::uint64_t m_callers = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_active = 0; ///< flows that have not ended
    bool m_started = false;
    bool m_stopping = false;
    Signal m_changed;
};

} // namespace cuminrelay::standins
