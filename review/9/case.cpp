// Another writer overwrites the entry of a backend server and removes it; the server writes it again.
#include "../standins-2/World.h"

using namespace review;

int main(int argc, char** argv)
{
    const bool trouble = argc < 3 || std::string { argv[2] } != "0";
    World world { argc > 1 ? argv[1] : "record.txt", 3 };
    const Address service = world.at(9, 1, 8'443);
    world.store().put("config", "main",
        "{\"Version\":7,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"" + ipText(service.m_ip)
            + "\",\"PathPrefix\":\"/8443/"
              "\",\"Type\":\"safe\",\"TimeoutMs\":2000,\"TargetLatencyMs\":400,\"Priority\":2,"
              "\"Service\":\"feeds\",\"MaxAttempts\":2}],\"Services\":[{\"Name\":\"feeds\",\"HealthPath\":\"/health\","
              "\"MaxConns\":2000}],\"Limits\":{\"IdleTimeoutMs\":15000}}");
    std::map<std::string, Server*> servers;
    for (unsigned i = 1; i <= 4; ++i) {
        Server& server = world.addServer(0x7f3a9100 + i, "feeds", world.at(3, i, 8'080));
        server.announce();
        servers[server.id()] = &server;
    }
    world.startVms();
    sleepFor(1.5);
    std::vector<std::unique_ptr<ClientFlow>> flows;
    for (std::uint16_t port = 40'001; port <= 40'012; ++port) {
        flows.push_back(std::make_unique<ClientFlow>(world, FlowKey { world.clientAddress(port), service }));
        if (!flows.back()->open() || !flows.back()->request("first", 2.0))
            cannotRun("a flow did not open");
    }
    std::string victim;
    {
        const std::lock_guard<std::mutex> lock { world.mutex() };
        victim = world.traces()[flows.front()->key()].m_openAt;
    }
    sleepFor(1.7); // a pause between requests
    if (trouble) {
        world.record().line("another writer: servers/" + victim + " \"x\"");
        world.store().put("servers", victim, "\"x\"");
        sleepFor(0.7);
        world.record().line("another writer removes servers/" + victim);
        world.store().remove("servers", victim);
        sleepFor(0.2);
    }
    std::thread heartbeat { [&] {
        sleepFor(0.3);
        servers[victim]->announce();
    } };
    unsigned resets = 0;
    unsigned answered = 0;
    for (const std::unique_ptr<ClientFlow>& flow : flows) {
        answered += flow->request("second", 1.0) ? 1 : 0;
        resets += flow->isReset() ? 1 : 0;
    }
    heartbeat.join();
    sleepFor(1);
    std::string why = "held";
    if (resets > 0)
        why = "FLOW (a): " + std::to_string(resets) + " of " + std::to_string(flows.size())
            + " clients got a reset that their server did not send; it lives";
    world.record().line("result: " + why);
    std::printf("%s (%u answered)\n", why.c_str(), answered);
    flows.clear();
    world.endAll();
    std::fflush(stdout);
    std::_Exit(resets > 0 ? 1 : 0);
}
