#include "Case.h"

/// Case 11: what VMs remember of a contested flow outlives it, and is applied to the next flow of the same addresses
/// and ports.

using namespace review;

namespace {

/// The ports of one client address, the lowest free one first. A port is free again when the host closed its last flow
/// first; after a flow that the client closed first, it waits for 60 s, as TCP does.
class Ports {
public:
    std::uint16_t take()
    {
        const auto first = m_free.begin();
        if (first == m_free.end())
            return m_next++;
        const std::uint16_t port = *first;
        m_free.erase(first);
        return port;
    }
    void release(std::uint16_t port) { m_free.insert(port); }

private:
    std::set<std::uint16_t> m_free;
    std::uint16_t m_next = 32'768;
};

} // namespace

int main(int argc, char** argv)
{
    const Arguments arguments = parse(argc, argv);
    WorldOptions options = arguments.m_options;
    options.m_zones = { { "asahikawa-a", 3 }, { "nayoro-b", 3 }, { "furano-c", 2 } };
    options.m_loss = arguments.m_hasTrouble ? 0.01 : 0;
    World world { options };
    world.m_services = { "kanteisha" };
    const RouteOptions feed { world.at(240, 1, 8443), "kanteisha", true };
    world.m_routes = { feed };
    world.writeConfiguration();
    const std::vector<std::string> zones { "asahikawa-a", "nayoro-b", "furano-c" };
    unsigned hosts = 0;
    const auto addHost = [&]() -> Host& {
        ++hosts;
        return world.addHost("kanteisha", zones[hosts % 3], world.at(101 + hosts % 3, 10 + hosts, 8080));
    };
    while (hosts < 14)
        addHost();
    startAndAwait(world);

    const double begin = now();
    const double end = begin + 100'000;
    const std::string zone = zones[0];
    world.m_minPause = 500;
    world.m_maxPause = 6'000;
    Ports ports;
    world.m_onFlowEnd = [&](ClientFlow& flow) {
        const std::uint16_t port = flow.m_key.m_caller.m_port;
        world.m_loop.after(flow.m_isClosedByHost ? 1'000 : 60'000, [&ports, port] { ports.release(port); });
    };
    std::function<void()> openNext = [&] {
        if (now() > end - 10'000)
            return;
        world.openFlow(zone, feed, 6, ports.take());
        world.m_loop.after(std::exponential_distribution<> { 0.08 }(world.m_random), openNext);
    };
    openNext();

    // Planned: the hosts are replaced one after the other. The new one starts first, the old one drains and leaves.
    std::function<void()> replaceNext = [&] {
        if (now() > end - 12'000)
            return;
        Host* oldest = nullptr;
        for (const std::unique_ptr<Host>& host : world.m_hosts) {
            if (!oldest && host->isAlive() && !host->isDraining())
                oldest = host.get();
        }
        addHost();
        world.m_loop.after(1'000, [&world, oldest] {
            oldest->drain();
            world.m_loop.after(9'000, [oldest] { oldest->leave(); });
        });
        world.m_loop.after(1'500, replaceNext);
    };
    world.m_loop.at(begin + 4'000, replaceNext);

    world.m_loop.runUntil(end);
    return world.report();
}
