#include "Case.h"

/// Case 13: a VM that restarts while all its seeds are gone never hears of the other VMs, and sends packets of open
/// flows to hosts where they are not open.

using namespace review;

int main(int argc, char** argv)
{
    const Arguments arguments = parse(argc, argv);
    WorldOptions options = arguments.m_options;
    options.m_zones = { { "asahikawa-a", 4 }, { "nayoro-b", 2 }, { "furano-c", 2 } };
    options.m_loss = 0.01;
    World world { options };
    world.m_services = { "kanteisha" };
    const RouteOptions feed { world.at(240, 1, 8443), "kanteisha", true };
    world.m_routes = { feed };
    world.writeConfiguration();
    const std::vector<std::string> zones { "asahikawa-a", "nayoro-b", "furano-c" };
    for (unsigned i = 0; i < 14; ++i)
        world.addHost("kanteisha", zones[i % 3], world.at(101 + i % 3, 10 + i, 8080));
    startAndAwait(world);

    const double begin = now();
    const double end = begin + 100'000;
    const std::string zone = "asahikawa-a";
    world.m_minPause = 300;
    world.m_maxPause = 1'000;
    openFlows(world, zone, feed, 150, 10, end - 8'000);

    Vm& restarted = world.m_vms[1];
    Vm& third = world.m_vms[2];
    Vm& fourth = world.m_vms[3];
    const std::vector<std::string> newSeeds = { controlOf(third), controlOf(world.m_vms[5]), controlOf(world.m_vms[7]) };
    double leftAt = 0;

    // The machines that the seeds name are removed for good.
    world.m_loop.at(begin + 3'000, [&] {
        leftAt = now();
        for (Vm* const vm : { &world.m_vms[0], &world.m_vms[4], &world.m_vms[6] }) {
            vm->m_restarts = false;
            world.stopVm(*vm);
        }
    });
    // Planned restart of another machine. Its settings may be SeedLagS (3 s) old.
    world.m_loop.at(begin + 3'200, [&] {
        if (!arguments.m_hasTrouble)
            restarted.m_seeds = newSeeds;
        world.stopVm(restarted);
    });
    // From then on the settings files name machines that are there, and the processes are told so.
    world.m_loop.at(begin + 6'000, [&] {
        if (restarted.m_startedAt < leftAt || restarted.m_startedAt > leftAt + 3'000)
            cannotRun("the machine did not start again within SeedLagS");
        for (Vm& vm : world.m_vms) {
            vm.m_seeds = newSeeds;
            world.writeSettings(vm);
            world.signalVm(vm, SIGHUP);
        }
    });
    // Planned restarts of the other two machines of the zone, one at a time.
    unsigned turn = 0;
    std::function<void()> restartNext = [&] {
        if (now() > end - 4'000)
            return;
        world.stopVm(turn++ % 2 == 0 ? third : fourth);
        world.m_loop.after(2'000, restartNext);
    };
    world.m_loop.at(begin + 8'000, restartNext);

    world.m_loop.runUntil(end);
    return world.report();
}
