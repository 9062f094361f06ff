#include "Case.h"

/// Case 14: a VM loses power before it has told the others of a contested flow; the VM that saw the flow's first opening
/// packet takes the last answer's token for proof.

using namespace review;

int main(int argc, char** argv)
{
    const Arguments arguments = parse(argc, argv);
    WorldOptions options = arguments.m_options;
    options.m_zones = { { "asahikawa-a", 4 }, { "nayoro-b", 2 }, { "furano-c", 2 } };
    World world { options };
    world.m_services = { "kanteisha" };
    const RouteOptions feed { world.at(240, 1, 8443), "kanteisha", true };
    world.m_routes = { feed };
    world.writeConfiguration();
    const std::vector<std::string> zones { "asahikawa-a", "nayoro-b", "furano-c" };
    for (unsigned i = 0; i < 14; ++i)
        world.addHost("kanteisha", zones[i % 3], world.at(101 + i % 3, 10 + i, 8080));
    // Of the answers to openings 10% are lost on its way; nothing else.
    world.m_losesFromHost = [&world](Host&, const Packet& packet) {
        const bool isLost
            = packet.m_flags == (c_syn | c_ack) && std::uniform_real_distribution<> {}(world.m_random) < 0.10;
        world.m_counts["datagrams lost"] += isLost ? 1 : 0;
        return isLost;
    };
    startAndAwait(world);

    const double begin = now();
    const double end = begin + 100'000;
    world.m_isUnplanned = true;
    world.m_minPause = 100;
    world.m_maxPause = 300;
    openFlows(world, zones[0], feed, 500, 5, end - 8'000);

    // Two machines of the zone lose power for 2.7 s, the second one 0.85 s after the first; the first machine never does.
    world.m_restartDelay = 2'700;
    unsigned turn = 0;
    const auto cutNext = [&world, &turn] { world.cutPower(world.m_vms[1 + turn++ % 3]); };
    std::function<void()> cutTwo = [&] {
        if (now() > end - 6'000)
            return;
        cutNext();
        world.m_loop.after(850, cutNext);
        world.m_loop.after(6'000, cutTwo);
    };
    if (arguments.m_hasTrouble)
        world.m_loop.at(begin + 5'000, cutTwo);

    world.m_loop.runUntil(end);
    return world.report();
}
