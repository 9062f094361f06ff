#pragma once

#include "standins/HttpServer.h"
#include "standins/Signal.h"
#include "standins/Tunnel.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace cuminrelay::standins {

/// Impairments of the network, in percent of the packets.
struct FabricSwitches {
    std::uint64_t m_lossPercent = 0;
    std::uint64_t m_duplicatePercent = 0;
    std::uint64_t m_reorderPercent = 0; ///< delayed until the next packet, for at most 5 ms
};

struct FabricOptions {
    Endpoint m_callers; ///< receives packets from callers
    Endpoint m_answers; ///< receives answers from entry VMs and backend servers
    Endpoint m_callersTunnel; ///< target of the answers
    Endpoint m_admin;
    std::vector<Endpoint> m_entries; ///< `packets` endpoints of the live entry VMs
    std::uint64_t m_seed = 1;
    FabricSwitches m_switches {};
};

/// Test double of the platform's packet fabric. Each packet of a caller goes to an entry VM chosen by a seeded random
/// generator, so the packets of one flow reach all entry VMs.
class FakeFabric final : public HttpHandler {
public:
    /// Binds the endpoints and starts the tasks. Errors: Unavailable.
    static Outcome<std::shared_ptr<FakeFabric>> start(boost::asio::io_context& context, FabricOptions options);

    FakeFabric(boost::asio::io_context& context, FabricOptions options);

    boost::asio::awaitable<std::optional<HttpResponse>> handle(const HttpRequest& request) override;

    Endpoint callers() const { return m_options.m_callers; }
    Endpoint answers() const { return m_options.m_answers; }
    Endpoint admin() const { return m_options.m_admin; }

    /// Sets the target of the answers, for callers that bind port 0.
    void setCallersTunnel(Endpoint tunnel) { m_options.m_callersTunnel = tunnel; }

private:
    class Direction final : public DatagramHandler {
    public:
        Direction(FakeFabric& fabric, bool towardsEntries)
            : m_fabric(fabric)
            , m_towardsEntries(towardsEntries)
        {
        }

        void handleDatagram(std::span<const std::byte> datagram, Endpoint from) override;

    private:
        FakeFabric& m_fabric;
        bool m_towardsEntries;
    };

    /// A packet that is delayed to be reordered.
    struct HeldPacket {
        std::vector<std::byte> m_datagram;
        Endpoint m_target;
    };

    void route(std::span<const std::byte> datagram, bool towardsEntries);
    void forward(std::span<const std::byte> datagram, Endpoint target);
    void releaseHeld();
    boost::asio::awaitable<void> releaseAfterDelay();
    bool withProbability(std::uint64_t percent);
    HttpResponse changeEntry(const HttpRequest& request, std::string_view text);
    HttpResponse setSwitches(std::string_view body);

    boost::asio::io_context& m_context;
    FabricOptions m_options;
    FabricSwitches m_switches;
    std::mt19937_64 m_random;
    std::shared_ptr<Tunnel> m_callersTunnel;
    std::shared_ptr<Tunnel> m_answersTunnel;
    Direction m_towardsEntries { *this, true };
    Direction m_towardsCallers { *this, false };
    std::optional<HeldPacket> m_held;
    std::uint64_t m_routed = 0;
    std::uint64_t m_lost = 0;
    std::uint64_t m_duplicated = 0;
    std::uint64_t m_reordered = 0;
    std::uint64_t m_droppedWithoutEntry = 0;
};

} // namespace cuminrelay::standins
