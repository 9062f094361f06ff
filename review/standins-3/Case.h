#pragma once

#include "Host.h"

namespace review {

struct Arguments {
    WorldOptions m_options;
    bool m_hasTrouble = true;
};

/// PROGRAM FOLDER RECORD: the program under test, a folder for settings and logs, the file to write. The environment
/// variable TROUBLE=0 leaves the disruption out.
inline Arguments parse(int argc, char** argv)
{
    if (argc != 4)
        cannotRun("usage: case PROGRAM FOLDER RECORD");
    signal(SIGPIPE, SIG_IGN);
    Arguments arguments;
    arguments.m_options.m_program = argv[1];
    arguments.m_options.m_folder = argv[2];
    arguments.m_options.m_record = argv[3];
    if (access(argv[1], X_OK) != 0)
        cannotRun(std::string { argv[1] } + " is not there");
    const char* const trouble = std::getenv("TROUBLE");
    arguments.m_hasTrouble = !trouble || std::string { trouble } != "0";
    const char* const seed = std::getenv("SEED");
    arguments.m_options.m_seed = seed ? std::stoull(seed) : unixMilliseconds();
    return arguments;
}

inline std::string controlOf(const Vm& vm)
{
    return text({ vm.m_packets.m_ip, World::c_controlPort });
}

inline void startAndAwait(World& world)
{
    world.log("seed %llu", static_cast<unsigned long long>(world.m_options.m_seed));
    world.start();
    const double limit = now() + 10'000;
    while (!world.areAllInRotation()) {
        if (now() > limit)
            cannotRun("the machines did not come into rotation");
        world.m_loop.runUntil(now() + 50);
    }
}

/// Clients of a zone open flows for some requests each, at random times.
inline void openFlows(World& world, const std::string& zone, const RouteOptions& route, double perSecond,
    unsigned requests, double until)
{
    if (now() > until)
        return;
    world.openFlow(zone, route, requests);
    const double wait = std::exponential_distribution<> { perSecond / 1000 }(world.m_random);
    world.m_loop.after(wait, [&world, zone, route, perSecond, requests, until] {
        openFlows(world, zone, route, perSecond, requests, until);
    });
}

} // namespace review
