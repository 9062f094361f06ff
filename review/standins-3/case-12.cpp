#include "Case.h"

/// Case 12: a VM that was told to stop is not told any more where contested flows are open, and still sends packets on.

using namespace review;

int main(int argc, char** argv)
{
    const Arguments arguments = parse(argc, argv);
    WorldOptions options = arguments.m_options;
    options.m_zones = { { "asahikawa-a", 5 }, { "nayoro-b", 2 }, { "furano-c", 1 } };
    World world { options };
    world.m_services = { "kanteisha" };
    const RouteOptions feed { world.at(240, 1, 8443), "kanteisha", true };
    world.m_routes = { feed };
    world.writeConfiguration();
    const std::vector<std::string> zones { "asahikawa-a", "nayoro-b", "furano-c" };
    for (unsigned i = 0; i < 14; ++i)
        world.addHost("kanteisha", zones[i % 3], world.at(101 + i % 3, 10 + i, 8080));
    // Of the answers to openings 15% are lost on its way; nothing else.
    world.m_losesFromHost = [&world](Host&, const Packet& packet) {
        const bool isLost
            = packet.m_flags == (c_syn | c_ack) && std::uniform_real_distribution<> {}(world.m_random) < 0.15;
        world.m_counts["datagrams lost"] += isLost ? 1 : 0;
        return isLost;
    };
    startAndAwait(world);

    const double begin = now();
    const double end = begin + 100'000;
    world.m_minPause = 100;
    world.m_maxPause = 300;
    openFlows(world, zones[0], feed, 500, 5, end - 8'000);

    // Planned: machines are stopped and started in turn, by two rounds at a time, each one machine every 1.4 s.
    unsigned turn = 0;
    std::function<void()> restartNext = [&] {
        if (now() > end - 4'000)
            return;
        world.stopVm(world.m_vms[1 + turn++ % 4]);
        world.m_loop.after(700, restartNext);
    };
    if (arguments.m_hasTrouble)
        world.m_loop.at(begin + 2'000, restartNext);

    world.m_loop.runUntil(end);
    return world.report();
}
