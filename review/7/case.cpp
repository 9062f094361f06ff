// Another writer's entry has a name that ends in the digits of a host's id. An entry VM is stopped and started.
#include "../standins-2/World.h"

using namespace review;

namespace {

constexpr double c_pauseS = 4; ///< between the requests of a flow

} // namespace

int main(int argc, char** argv)
{
    const bool trouble = argc < 3 || std::string { argv[2] } != "0";
    World world { argc > 1 ? argv[1] : "record.txt", 3 };
    const Address service = world.at(9, 1, 8'443);
    // Configurations that differ in a time limit.
    const auto configure = [&](unsigned version, unsigned timeoutMs) {
        world.record().line("configuration " + std::to_string(version));
        world.store().put("config", "main",
            "{\"Version\":" + std::to_string(version) + ",\"Routes\":[{\"Name\":\"r-1\",\"Host\":\""
                + ipText(service.m_ip)
                + "\",\"PathPrefix\":\"/8443/\",\"Type\":\"safe\",\"TimeoutMs\":" + std::to_string(timeoutMs)
                + ",\"TargetLatencyMs\":400,\"Priority\":2,\"Service\":\"feeds\",\"MaxAttempts\":2}],\"Services\":[{"
                  "\"Name\":"
                  "\"feeds\",\"HealthPath\":\"/health\",\"MaxConns\":2000}],\"Limits\":{\"IdleTimeoutMs\":15000}}");
    };
    configure(7, 2'000);
    for (unsigned i = 1; i <= 4; ++i)
        world.addServer(0x7f3a9100 + i, "feeds", world.at(3, i, 8'080)).announce();
    world.startVms();
    sleepFor(1.5);

    // Long flows with pauses between their requests.
    std::atomic<bool> isOver { false };
    std::atomic<unsigned> resets { 0 };
    std::atomic<unsigned> unanswered { 0 };
    std::atomic<unsigned> answered { 0 };
    std::vector<std::thread> clients;
    for (std::uint16_t port = 40'001; port <= 40'036; ++port) {
        clients.emplace_back([&, port] {
            ClientFlow flow { world, { world.clientAddress(port), service } };
            if (!flow.open())
                return;
            for (unsigned i = 0; !isOver; ++i) {
                const bool isAnswered = flow.request("request " + std::to_string(i), 2.0).has_value();
                answered += isAnswered ? 1 : 0;
                if (flow.isReset()) {
                    ++resets;
                    return;
                }
                unanswered += isAnswered ? 0 : 1;
                sleepFor(c_pauseS);
            }
        });
    }
    sleepFor(1.5);
    if (trouble) {
        const std::string spec = "{\"Service\":\"feeds\",\"Address\":\"" + text(world.at(3, 4, 8'080))
            + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":2,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Seq\":3}";
        world.record().line("another writer: servers/backup-7f3a9102 " + spec);
        world.store().put("servers", "backup-7f3a9102", spec);
        sleepFor(1.5);
    }
    configure(8, 2'500);
    sleepFor(1.5);
    if (trouble) {
        world.record().line("answered so far: " + std::to_string(answered) + ", resets: " + std::to_string(resets));
        world.signalVm(0, SIGTERM);
    }
    sleepFor(20);
    isOver = true;
    for (std::thread& client : clients)
        client.join();
    std::string why = "held";
    if (resets > 0)
        why = "FLOW (a): " + std::to_string(resets) + " of " + std::to_string(clients.size())
            + " clients got a reset that their server did not send; all servers live and hold their flows";
    world.record().line("result: " + why);
    std::printf("%s (%u requests answered, %u not)\n", why.c_str(), answered.load(), unanswered.load());
    world.endAll();
    std::fflush(stdout);
    std::_Exit(resets > 0 ? 1 : answered < 50 ? 2 : 0);
}
