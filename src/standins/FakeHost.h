#pragma once

#include "standins/HostWork.h"
#include "standins/HttpServer.h"
#include "standins/InnerPacket.h"
#include "standins/TcpStream.h"
#include "standins/Tunnel.h"

#include <boost/asio/io_context.hpp>
#include <compare>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace cuminrelay::standins {

struct HostOptions {
    std::string m_name;
    std::string m_service;
    Endpoint m_tunnel;
    Endpoint m_report;
    Endpoint m_answers; ///< the fabric's endpoint for answers to callers
    std::uint64_t m_connectionLimit = 2000;
    Duration m_coldStart {}; ///< duration of the cold start, in which work takes longer
    HostWorkOptions m_work {};
};

/// Content of the host's load report.
enum class ReportMode : std::uint8_t {
    True,
    Idle, ///< false report: healthy and without load
    Unhealthy, ///< false report: status 503
};

struct HostSwitches {
    ReportMode m_report = ReportMode::True;
    Duration m_reportLag {}; ///< age of the reported load
    bool m_drain = false; ///< sheds datagrams and work of new connections; reports shedding
    bool m_isUnresponsive = false; ///< ignores received packets and report requests, as a failed VM
};

/// Test double of a backend server: decapsulates packets, handles TCP and UDP as a kernel does, and runs the requested
/// work. Each connection has a task that reads and one that retransmits; each piece of work has its own.
class FakeHost final : public HttpHandler, public DatagramHandler {
public:
    /// Binds the endpoints and starts the tasks. Errors: Unavailable.
    static Outcome<std::shared_ptr<FakeHost>> start(boost::asio::io_context& context, HostOptions options);

    FakeHost(boost::asio::io_context& context, HostOptions options);

    boost::asio::awaitable<std::optional<HttpResponse>> handle(const HttpRequest& request) override;
    void handleDatagram(std::span<const std::byte> datagram, Endpoint from) override;

    Endpoint tunnel() const { return m_options.m_tunnel; }
    Endpoint report() const { return m_options.m_report; }
    const HostWork& work() const { return m_work; }

private:
    struct ConnectionKey {
        Endpoint m_caller;
        Endpoint m_service;

        friend auto operator<=>(const ConnectionKey&, const ConnectionKey&) = default;
    };

    /// One open connection with the number of its unfinished pieces of work.
    struct Connection {
        std::shared_ptr<TcpStream> m_stream;
        bool m_openedWhileDraining = false;
        std::uint64_t m_pending = 0;
        Signal m_changed;
    };

    struct LoadSample {
        Instant m_sampledAt {};
        std::uint64_t m_connections = 0;
        std::uint64_t m_busySlots = 0;
        std::uint64_t m_queued = 0;
        bool m_shedding = false;
    };

    void handleSegment(const InnerPacket& packet);
    void openConnection(const ConnectionKey& key, const Segment& syn);
    boost::asio::awaitable<void> serveConnection(ConnectionKey key, std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> readRequests(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> runRequest(
        std::shared_ptr<Connection> connection, WorkRequest request, std::string bodyHash);
    boost::asio::awaitable<void> pushFeed(std::shared_ptr<Connection> connection, WorkRequest request);
    boost::asio::awaitable<void> answerDatagram(InnerPacket packet);
    boost::asio::awaitable<void> sampleLoad();
    WorkAnswer makeAnswer(const WorkRequest& request, WorkStatus status) const;
    std::optional<HttpResponse> loadReport() const;
    /// Drops all connections without a reset, as a restarting VM does.
    void dropConnections();
    HttpResponse setSwitches(std::string_view body);
    std::string workJson() const;

    boost::asio::io_context& m_context;
    HostOptions m_options;
    HostSwitches m_switches;
    HostWork m_work;
    std::shared_ptr<Tunnel> m_tunnel;
    std::map<ConnectionKey, std::shared_ptr<Connection>> m_connections;
    std::deque<LoadSample> m_samples;
    std::uint64_t m_openedConnections = 0;
    std::uint64_t m_resets = 0;
    std::uint64_t m_foreignRequests = 0; ///< requests for another service
    std::int64_t m_lastOpenedUnixMs = 0;
    std::mt19937 m_random; ///< for initial sequence numbers; seeded by the host name
};

} // namespace cuminrelay::standins
