// Another writer leaves entries among those of the backend servers. They lack the field "born".
#include "../standins-2/World.h"

using namespace review;

int main(int argc, char** argv)
{
    const bool trouble = argc < 3 || std::string { argv[2] } != "0";
    World world { argc > 1 ? argv[1] : "record.txt", 3 };
    const Address feeds = world.at(9, 1, 8'443);
    const Address uploads = world.at(9, 1, 8'080);
    const auto route = [&](const char* name, const char* port, const char* service, const char* type) {
        return std::string { "{\"Name\":\"" } + name + "\",\"Host\":\"" + ipText(feeds.m_ip) + "\",\"PathPrefix\":\"/"
            + port + "/\",\"Type\":\"" + type
            + "\",\"TimeoutMs\":2000,\"TargetLatencyMs\":400,\"Priority\":2,\"Service\":\"" + service
            + "\",\"MaxAttempts\":2}";
    };
    world.store().put("config", "main",
        "{\"Version\":7,\"Routes\":[" + route("r-1", "8443", "feeds", "safe") + ","
            + route("r-2", "8080", "uploads", "unsafe")
            + "],\"Services\":[{\"Name\":\"feeds\",\"HealthPath\":\"/health\",\"MaxConns\":2000},"
              "{\"Name\":\"uploads\",\"HealthPath\":\"/"
              "health\",\"MaxConns\":2000}],\"Limits\":{\"IdleTimeoutMs\":15000}}");
    std::vector<Address> feedServers;
    for (unsigned i = 1; i <= 4; ++i) {
        feedServers.push_back(world.at(3, i, 8'080));
        world.addServer(0x7f3a9100 + i, "feeds", feedServers.back()).announce();
    }
    for (unsigned i = 5; i <= 7; ++i)
        world.addServer(0x7f3a9100 + i, "uploads", world.at(3, i, 8'080)).announce();
    world.startVms();
    sleepFor(1);
    if (trouble) {
        // Registrations by hand of servers that are gone. Their addresses belong to servers of the other service now.
        for (unsigned i = 0; i < 3; ++i) {
            const std::string name = "static-" + std::to_string(i);
            const std::string spec = "{\"Service\":\"uploads\",\"Address\":\"" + text(feedServers[i])
                + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":2,\"State\":\"ready\",\"WarmupLeftMs\":0,"
                  "\"Seq\":1}";
            world.record().line("another writer: servers/" + name + " " + spec);
            world.store().put("servers", name, spec);
        }
    }
    sleepFor(1);
    unsigned answered = 0;
    unsigned foreign = 0;
    std::uint16_t port = 40'001;
    for (const double end = nowS() + 20; nowS() < end && port < 40'060; ++port) {
        ClientFlow flow { world, { world.clientAddress(port), uploads } };
        if (!flow.open())
            continue;
        const std::optional<std::string> answer = flow.request("upload " + std::to_string(port), 2.0);
        answered += answer ? 1 : 0;
        foreign += answer && answer->find("by feeds") != std::string::npos ? 1 : 0;
    }
    unsigned runs = 0;
    {
        const std::lock_guard<std::mutex> lock { world.mutex() };
        for (const auto& [key, trace] : world.traces()) {
            for (const Run& run : trace.m_runs)
                runs += key.m_service == uploads && run.m_service != "uploads" ? 1 : 0;
        }
    }
    std::string why = "held";
    if (runs > 0)
        why = "ROUTE: " + std::to_string(runs) + " requests of the route to uploads were run by feeds, "
            + std::to_string(foreign) + " of " + std::to_string(answered) + " answers came from there";
    else if (answered < 10)
        why = "too few requests were answered";
    world.record().line("result: " + why);
    std::printf("%s\n", why.c_str());
    world.endAll();
    std::fflush(stdout);
    std::_Exit(runs > 0 ? 1 : answered < 10 ? 2 : 0);
}
