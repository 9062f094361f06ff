// The settings files change to a fraction among the bounds; then the entry VMs are stopped and started in turn.
#include "../standins-2/World.h"

using namespace review;

namespace {

constexpr double c_gapS = 1.3; ///< of roll_term in the site file
constexpr double c_recoveryS = 12; ///< RecoveryS

/// Opens one flow for each request. Returns how many of count were answered.
unsigned serve(World& world, const Address& service, std::uint16_t& port, unsigned count)
{
    unsigned answered = 0;
    for (unsigned i = 0; i < count; ++i) {
        ClientFlow flow { world, { world.clientAddress(port), service } };
        if (flow.open() && flow.request("request " + std::to_string(port), 1.0))
            ++answered;
        ++port;
    }
    return answered;
}

} // namespace

int main(int argc, char** argv)
{
    const bool trouble = argc < 3 || std::string { argv[2] } != "0";
    constexpr std::size_t vms = 3;
    World world { argc > 1 ? argv[1] : "record.txt", vms };
    const Address service = world.at(9, 1, 8'443);
    world.store().put("config", "main",
        "{\"Version\":7,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"" + ipText(service.m_ip)
            + "\",\"PathPrefix\":\"/8443/"
              "\",\"Type\":\"safe\",\"TimeoutMs\":2000,\"TargetLatencyMs\":400,\"Priority\":2,"
              "\"Service\":\"feeds\",\"MaxAttempts\":2}],\"Services\":[{\"Name\":\"feeds\",\"HealthPath\":\"/health\","
              "\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"IdleTimeoutMs\":15000}}");
    for (unsigned i = 1; i <= 4; ++i)
        world.addServer(0x7f3a9100 + i, "feeds", world.at(3, i, 8'080)).announce();
    world.startVms();
    std::uint16_t port = 40'001;
    const unsigned before = serve(world, service, port, 20);

    world.changeGraceS(trouble ? "6.5" : "7");
    for (std::size_t vm = 0; vm < vms; ++vm)
        world.signalVm(vm, SIGHUP);
    sleepFor(1);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        world.signalVm(vm, SIGTERM);
        for (const double limit = nowS() + 8; world.isInRotation(vm) && nowS() < limit;)
            sleepFor(0.05);
        for (const double limit = nowS() + 4; !world.isInRotation(vm) && nowS() < limit;)
            sleepFor(0.05);
        sleepFor(c_gapS);
    }
    sleepFor(c_recoveryS);
    world.record().line("after RecoveryS");
    const unsigned after = serve(world, service, port, 20);
    const unsigned starts = world.starts();
    std::string why = "held";
    if (before < 15)
        why = "the relays did not serve before the change";
    else if (world.vmsWithOwnEnds(3) >= 2)
        why = "Fault: processes ended by themselves three times or more on " + std::to_string(world.vmsWithOwnEnds(3))
            + " machines; " + std::to_string(before) + " of 20 requests answered before the change, "
            + std::to_string(after) + " of 20 after it; " + std::to_string(starts)
            + " starts of processes; the last line of one: " + world.lastLog(0);
    world.record().line("result: " + why);
    std::printf("%s\n", why.c_str());
    world.endAll();
    std::fflush(stdout);
    std::_Exit(why == "held" ? 0 : before < 15 ? 2 : 1);
}
