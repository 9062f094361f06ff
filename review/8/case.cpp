// One datagram of a server is lost while the entry VMs are stopped and started in turn.
#include "../standins-2/World.h"

using namespace review;

namespace {

constexpr std::uint16_t c_servicePort = 8'443;
constexpr double c_gapS = 1.3; ///< of roll_term in the site file

void waitFor(const std::function<bool()>& condition, const char* what)
{
    for (const double limit = nowS() + 15; !condition(); sleepFor(0.005)) {
        if (nowS() > limit)
            cannotRun(what);
    }
}

} // namespace

int main(int argc, char** argv)
{
    const bool trouble = argc < 3 || std::string { argv[2] } != "0";
    World world { argc > 1 ? argv[1] : "record.txt", 3 };
    const Address service = world.at(9, 1, c_servicePort);
    world.store().put("config", "main",
        "{\"Version\":7,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"" + ipText(service.m_ip)
            + "\",\"PathPrefix\":\"/8443/"
              "\",\"Type\":\"safe\",\"TimeoutMs\":2000,\"TargetLatencyMs\":400,\"Priority\":2,"
              "\"Service\":\"feeds\",\"MaxAttempts\":2}],\"Services\":[{\"Name\":\"feeds\",\"HealthPath\":\"/health\","
              "\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"IdleTimeoutMs\":15000}}");
    for (unsigned i = 1; i <= 4; ++i)
        world.addServer(0x7f3a9100 + i, "feeds", world.at(3, i, 8'080)).announce();
    world.startVms();
    sleepFor(1.5);

    // The fabric's choice: vm-1 of three, vm-0 of (0, 1), vm-0 of (0, 2).
    std::uint16_t port = 40'001;
    while (World::hashOf({ world.clientAddress(port), service }) % 6 != 4)
        ++port;
    ClientFlow flow { world, { world.clientAddress(port), service } };
    std::thread roll;
    if (trouble) {
        world.m_isLost = [isDone = false, key = flow.key()](const FlowKey& lostKey, const Packet& packet) mutable {
            const bool isLost = !isDone && lostKey.m_client == key.m_client && packet.m_flags == (c_syn | c_ack);
            isDone = isDone || isLost;
            return isLost;
        };
        world.signalVm(2, SIGTERM);
        waitFor([&] { return world.misses(2) == 1; }, "vm-2 does not stop");
        sleepFor(0.4);
        roll = std::thread { [&world] {
            waitFor([&] { return !world.isInRotation(2); }, "vm-2 does not leave");
            for (const std::size_t vm : { 0, 1 }) {
                waitFor([&] { return world.areAllInRotation(); }, "a relay does not come back");
                sleepFor(c_gapS);
                world.signalVm(vm, SIGTERM);
                waitFor([&] { return !world.isInRotation(vm); }, "a relay does not leave");
            }
        } };
    }
    bool isBroken = false;
    std::string why = "held";
    if (!flow.open())
        why = "the flow did not open";
    const double end = nowS() + 14;
    for (unsigned i = 0; why == "held" && nowS() < end; ++i) {
        const std::string name = "request " + std::to_string(i);
        const std::optional<std::string> answer = flow.request(name, 3.0);
        if (flow.isReset()) {
            isBroken = true;
            why = "FLOW (a): the client got a reset that its server did not send";
        } else if (!answer) {
            world.record().line("\"" + name + "\" got no answer within 3 s");
        }
        sleepFor(0.5);
        const std::lock_guard<std::mutex> lock { world.mutex() };
        const FlowTrace& trace = world.traces()[flow.key()];
        if (const std::optional<double> at = findStrayPackets(trace, nowS())) {
            isBroken = true;
            why = "FLOW (b): from " + std::to_string(*at)
                + " s on, for 2 s, three or more packets of the flow reached other "
                  "servers and none "
                + trace.m_openAt;
        }
    }
    if (roll.joinable())
        roll.join();
    world.record().line("result: " + why);
    std::printf("%s\n", why.c_str());
    world.endAll();
    std::fflush(stdout);
    std::_Exit(isBroken ? 1 : why == "held" ? 0 : 2);
}
