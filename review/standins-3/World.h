#pragma once

#include "Packet.h"
#include "Store.h"

#include <algorithm>
#include <cstdarg>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <signal.h>
#include <sys/wait.h>

namespace review {

class World;

struct HostOptions {
    std::string m_service;
    std::string m_zone;
    Address m_address;
    std::uint64_t m_identity = 0;
};

/// A backend server as the pages describe it: answers each opening with its own sequence number, repeats what is not
/// acknowledged, answers packets of flows that it does not hold with a reset, and runs each request once.
class Host {
public:
    Host(World& world, HostOptions options);

    void start();
    void drain();
    /// Leaves: its flows end, its entry is removed.
    void leave() { end(true); }
    void crash() { end(false); }
    /// The store removes the entry of a host that could not renew it.
    void renewEntry();

    std::string id() const;
    bool isAlive() const { return m_isAlive; }
    /// Rises with each start.
    std::uint64_t life() const { return m_life; }
    bool isDraining() const { return m_isDraining; }
    double drainAcknowledgedAt() const { return m_drainAcknowledgedAt; }
    std::size_t flows() const { return m_flows.size(); }
    const HostOptions& options() const { return m_options; }

    double m_lastHeard = 0; ///< by the store

private:
    struct Flow {
        std::uint32_t m_callerSequence = 0; ///< of the opening packet
        std::uint32_t m_initialSequence = 0;
        std::uint32_t m_nextSequence = 0;
        std::uint32_t m_expected = 0; ///< next sequence number of the caller
        std::uint32_t m_echo = 0;
        bool m_isOpen = false;
        std::optional<Packet> m_unacknowledged;
        unsigned m_repeats = 0;
        std::uint64_t m_timer = 0;
        bool m_isClosing = false;
    };

    void end(bool removesEntry);
    void beat(std::uint64_t life);
    void receivePacket();
    void accept(const Packet& packet);
    void openFlow(const Packet& packet);
    void reset(const Packet& packet);
    void acknowledgeFin(const Packet& packet, std::uint32_t sequence);
    void send(Flow& flow, Packet packet);
    void transmit(const FlowKey& key, Flow& flow);
    void acceptHealthCheck();

    World& m_world;
    HostOptions m_options;
    int m_packets = -1;
    int m_health = -1;
    bool m_isAlive = false;
    bool m_isDraining = false;
    double m_drainAcknowledgedAt = 0;
    std::uint64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_life = 0;
    std::uint64_t m_timers = 0;
    std::map<FlowKey, Flow> m_flows;
    std::map<FlowKey, std::uint32_t> m_ended; ///< sequence numbers of the FINs of flows that have ended
};

struct RouteOptions {
    Address m_address;
    std::string m_service;
    bool m_isLong = false;
};

/// One flow of a client, with its attempt to open it and its requests.
struct ClientFlow {
    FlowKey m_key;
    std::string m_zone;
    bool m_isLong = false;
    unsigned m_requestsLeft = 1;
    unsigned m_request = 0;
    std::uint32_t m_initialSequence = 0;
    std::uint32_t m_nextSequence = 0;
    std::uint32_t m_acknowledged = 0; ///< next sequence number expected of the host
    std::uint32_t m_echo = 0;
    unsigned m_copies = 0;
    const struct Vm* m_lastVm = nullptr; ///< that got the last packet
    bool m_isOpen = false; ///< got the answer to its opening
    bool m_isClosing = false; ///< its FIN is not acknowledged yet
    bool m_isClosedByHost = false; ///< its host closed first
    bool m_isEnded = false;
    double m_endTime = 0;
    std::string m_pending; ///< request without an answer
    double m_pendingSince = 0;
    unsigned m_repeats = 0;
    std::uint64_t m_timer = 0;
    // What the judge knows.
    Host* m_host = nullptr; ///< where the flow is open
    std::uint64_t m_hostLife = 0; ///< a host that started again holds nothing of before
    double m_openedAt = 0;
    double m_startedAt = 0;
    std::deque<double> m_strayedAt; ///< packets at other hosts since the last one at its own
    std::vector<std::string> m_trail;
    bool m_isJudged = false;
};

struct Vm {
    std::string m_name;
    std::string m_zone;
    Address m_packets;
    Address m_ready;
    std::vector<std::string> m_seeds;
    pid_t m_process = -1;
    bool m_isInRotation = false;
    unsigned m_misses = 0;
    bool m_restarts = true;
    double m_startedAt = 0;
    double m_killedAt = -1e9;
    bool m_isStopping = false;
};

struct WorldOptions {
    std::vector<std::pair<std::string, unsigned>> m_zones; ///< and their VMs
    std::string m_program;
    std::string m_folder;
    std::string m_record;
    std::string m_extraSettings;
    std::uint64_t m_seed = 1;
    double m_loss = 0; ///< share of datagrams that are lost
};

/// The platform, the hosts, the clients, the processes under test, and the judge of what hosts and clients see.
class World {
public:
    explicit World(WorldOptions options)
        : m_options(std::move(options))
        , m_record(m_options.m_record)
        , m_random(m_options.m_seed)
    {
        // An own block of loopback addresses, so that cases can run beside others.
        m_block = 0x7f000000U | ((20U + static_cast<std::uint32_t>(getpid()) % 200U) << 16);
        m_storeAddress = at(250, 1, 28169);
        m_store = std::make_unique<Store>(m_loop, m_storeAddress);
        unsigned zone = 0;
        for (const auto& [name, count] : m_options.m_zones) {
            ++zone;
            for (unsigned i = 1; i <= count; ++i)
                addVm(name, zone, i);
            const Address client = at(200 + zone, 1, c_packetsPort);
            const int fd = openSocket(SOCK_DGRAM, client);
            m_clientSockets[name] = { client, fd };
            m_loop.watch(fd, [this, fd] { receiveAtClient(fd); });
        }
        for (Vm& vm : m_vms)
            vm.m_seeds = seedsOfAll();
    }

    ~World() { endAll(); }

    static constexpr std::uint16_t c_packetsPort = 28172;
    static constexpr std::uint16_t c_readyPort = 28167;
    static constexpr std::uint16_t c_controlPort = 28166;

    Address at(unsigned third, unsigned fourth, std::uint16_t port) const
    {
        return { m_block | (third << 8) | fourth, port };
    }

    void log(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char line[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(line, sizeof line, format, arguments);
        va_end(arguments);
        m_record << logTime() << line << '\n' << std::flush;
    }

    std::string logTime() const
    {
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", now() / 1000);
        return time;
    }

    // --- VMs

    Vm& addVm(const std::string& zone, unsigned zoneNumber, unsigned number)
    {
        Vm vm;
        vm.m_name = "front-" + zone + "-" + std::to_string(number);
        vm.m_zone = zone;
        vm.m_packets = at(zoneNumber, number, c_packetsPort);
        vm.m_ready = at(zoneNumber, number, c_readyPort);
        m_vms.push_back(vm);
        return m_vms.back();
    }

    /// The Control addresses of the first machine of each zone, three at most.
    std::vector<std::string> seedsOfAll() const
    {
        std::vector<std::string> seeds;
        std::set<std::string> zones;
        for (const Vm& vm : m_vms) {
            if (seeds.size() < 3 && zones.insert(vm.m_zone).second)
                seeds.push_back(text({ vm.m_packets.m_ip, c_controlPort }));
        }
        return seeds;
    }

    void writeSettings(const Vm& vm) const
    {
        std::ofstream file { settingsPath(vm) };
        const std::string ip = ipText(vm.m_packets.m_ip);
        file << "Node=" << vm.m_name << "\nRole=relay\nMachineClass=front\nServes=front,control\nIp=" << ip
             << "\nZone=" << vm.m_zone << "\nRegion=dohoku\n";
        for (const auto& [zone, count] : m_options.m_zones)
            file << "Zones." << zone << "=dohoku\n";
        file << "Listen.DatagramAddr=" << text(vm.m_packets) << "\nListen.Ready=" << text(vm.m_ready)
             << "\nListen.Control=" << ip << ":" << c_controlPort << "\nInternalPorts=28720,28735\nSeeds=";
        for (std::size_t i = 0; i < vm.m_seeds.size(); ++i)
            file << (i > 0 ? "," : "") << vm.m_seeds[i];
        file << "\nBootstrap=" << (vm.m_startedAt == 0 ? "true" : "false")
             << "\nLossCounted=false\nLimits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\n"
                "Limits.LinkMbps=1000.0\nLimits.DiskMb=0\nDiscovery=platform\nEntry=announce\nHeartbeatMs=1200\n"
                "Contracts=base,drain,config,cost,recover,flows,platform\nFaultTolerance.Machines=2\n"
                "FaultTolerance.Zones=1\nFaultTolerance.Regions=0\nBounds.SeedLagS=3\nBounds.AddrReuseS=2\n"
                "Bounds.StableWindowMs=4000\nBounds.AckMs=5000\nBounds.CatchUpS=4\nBounds.DrainMs=3000\n"
                "Bounds.GraceS=6\nBounds.LossSlackMs=200\nBounds.ConfigApplyMs=3000\nBounds.RollbackSlackMs=250\n"
                "Bounds.SkewMaxMs=12000\nBounds.RecoveryS=12\nBounds.FlowMs=2000\nBounds.FlowLifetimeS=60\nHash=mod\n"
                "ForwardMode=echo\nplatform.Address="
             << text(m_storeAddress)
             << "\nplatform.ForwardMode=objects\nplatform.WritesPerS=400\nplatform.ReadsPerS=2000\n"
                "platform.HistoryS=20\nplatform.ValueBytes=1048576\nplatform.TtlMinMs=1000\n"
             << m_options.m_extraSettings;
    }

    std::string settingsPath(const Vm& vm) const { return m_options.m_folder + "/" + vm.m_name + ".conf"; }

    void startVm(Vm& vm)
    {
        writeSettings(vm);
        const std::string path = settingsPath(vm);
        const std::string output = m_options.m_folder + "/" + vm.m_name + ".log";
        const pid_t child = fork();
        if (child == 0) {
            const int fd = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, STDOUT_FILENO);
            dup2(fd, STDERR_FILENO);
            setenv("CUMINRELAY_SETTINGS", path.c_str(), 1);
            execl(m_options.m_program.c_str(), m_options.m_program.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        if (child < 0)
            cannotRun("fork");
        vm.m_process = child;
        vm.m_isStopping = false;
        vm.m_startedAt = now();
        log("%s starts, process %d", vm.m_name.c_str(), static_cast<int>(child));
    }

    void signalVm(Vm& vm, int signal)
    {
        if (vm.m_process <= 0)
            return;
        log("%s gets signal %d", vm.m_name.c_str(), signal);
        kill(vm.m_process, signal);
    }

    /// The machine loses power, and starts again after m_restartDelay.
    void cutPower(Vm& vm)
    {
        signalVm(vm, SIGKILL);
        vm.m_killedAt = now();
    }

    /// As the platform stops a process: SIGTERM, then SIGKILL after GraceS. It starts again if m_restarts.
    void stopVm(Vm& vm)
    {
        signalVm(vm, SIGTERM);
        vm.m_isStopping = true;
        const pid_t process = vm.m_process;
        m_loop.after(6'000, [this, &vm, process] {
            if (vm.m_process == process)
                signalVm(vm, SIGKILL);
        });
    }

    void collectEnded()
    {
        for (Vm& vm : m_vms) {
            int status = 0;
            if (vm.m_process <= 0 || waitpid(vm.m_process, &status, WNOHANG) != vm.m_process)
                continue;
            log("%s ended, status %d", vm.m_name.c_str(), status);
            vm.m_process = -1;
            if (vm.m_restarts)
                m_loop.after(m_restartDelay, [this, &vm] { startVm(vm); });
        }
        m_loop.after(20, [this] { collectEnded(); });
    }

    /// Ends all processes that it started, by their ids.
    void endAll()
    {
        for (Vm& vm : m_vms) {
            vm.m_restarts = false;
            if (vm.m_process <= 0)
                continue;
            kill(vm.m_process, SIGCONT);
            kill(vm.m_process, SIGKILL);
            waitpid(vm.m_process, nullptr, 0);
            vm.m_process = -1;
        }
    }

    // --- The platform's routers

    void probeReadiness(Vm& vm)
    {
        m_loop.after(500, [this, &vm] { probeReadiness(vm); });
        if (vm.m_process <= 0 && vm.m_startedAt == 0)
            return; // not added yet
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in address = systemAddress(vm.m_ready);
        const int connected = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        if (connected != 0 && errno != EINPROGRESS) {
            ::close(fd);
            recordReadiness(vm, false);
            return;
        }
        const std::string request = "GET /readiness HTTP/1.1\r\nHost: " + text(vm.m_ready) + "\r\n\r\n";
        // On loopback the connection stands at once, or it was refused.
        if (::send(fd, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
            ::close(fd);
            recordReadiness(vm, false);
            return;
        }
        const auto isDone = std::make_shared<bool>(false);
        m_loop.watch(fd, [this, &vm, fd, isDone] {
            char answer[512];
            const ssize_t size = recv(fd, answer, sizeof answer - 1, 0);
            if (size < 0 && errno == EAGAIN)
                return;
            *isDone = true;
            m_loop.forget(fd);
            ::close(fd);
            recordReadiness(vm, size > 12 && std::string(answer, 12) == "HTTP/1.1 200");
        });
        m_loop.after(400, [this, &vm, fd, isDone] {
            if (*isDone)
                return;
            m_loop.forget(fd);
            ::close(fd);
            recordReadiness(vm, false);
        });
    }

    void recordReadiness(Vm& vm, bool isReady)
    {
        vm.m_misses = isReady ? 0 : vm.m_misses + 1;
        const bool isIn = isReady || (vm.m_isInRotation && vm.m_misses < 2);
        if (isIn != vm.m_isInRotation)
            log("%s is %s rotation", vm.m_name.c_str(), isIn ? "in" : "out of");
        vm.m_isInRotation = isIn;
    }

    /// The VM that gets a packet of a flow: a hash over the VMs of the zone that are in rotation.
    Vm* routeOf(const FlowKey& key, const std::string& zone)
    {
        std::vector<Vm*> all;
        std::vector<Vm*> inRotation;
        for (Vm& vm : m_vms) {
            if (vm.m_zone != zone || vm.m_startedAt == 0)
                continue;
            all.push_back(&vm);
            if (vm.m_isInRotation)
                inRotation.push_back(&vm);
        }
        const std::vector<Vm*>& nodes = inRotation.size() * 2 < all.size() ? all : inRotation;
        return nodes.empty() ? nullptr : nodes[hashOf(key) % nodes.size()];
    }

    static std::uint64_t hashOf(const FlowKey& key)
    {
        std::uint64_t hash = 1469598103934665603ULL;
        for (const std::uint64_t part : { static_cast<std::uint64_t>(key.m_caller.m_ip),
                 static_cast<std::uint64_t>(key.m_caller.m_port), static_cast<std::uint64_t>(key.m_service.m_ip),
                 static_cast<std::uint64_t>(key.m_service.m_port) })
            hash = (hash ^ part) * 1099511628211ULL;
        hash ^= hash >> 29;
        return hash * 0x9e3779b97f4a7c15ULL >> 16;
    }

    // --- Clients

    ClientFlow& openFlow(const std::string& zone, const RouteOptions& route, unsigned requests)
    {
        std::uint16_t& port = m_nextPort[zone];
        port = port < 10'000 || port == 65'535 ? 10'000 : port + 1;
        return openFlow(zone, route, requests, port);
    }

    ClientFlow& openFlow(const std::string& zone, const RouteOptions& route, unsigned requests, std::uint16_t port)
    {
        const FlowKey key { { m_clientSockets[zone].first.m_ip, port }, route.m_address };
        const auto flow = std::make_shared<ClientFlow>();
        flow->m_key = key;
        flow->m_zone = zone;
        flow->m_isLong = route.m_isLong;
        flow->m_requestsLeft = requests;
        flow->m_initialSequence = static_cast<std::uint32_t>(m_random());
        flow->m_nextSequence = flow->m_initialSequence + 1;
        m_flows[key] = flow;
        flow->m_startedAt = now();
        ++m_counts["flows started"];
        sendOpening(flow);
        return *flow;
    }

    void sendOpening(const std::shared_ptr<ClientFlow>& flow)
    {
        if (flow->m_isOpen || flow->m_isEnded)
            return;
        Packet packet;
        packet.m_flags = c_syn;
        packet.m_sequence = flow->m_initialSequence;
        packet.m_acknowledgment = flow->m_copies;
        sendFromClient(*flow, packet);
        constexpr double waits[] = { 200, 400, 800 };
        const unsigned copy = flow->m_copies++;
        m_loop.after(waits[copy], [this, flow, copy] {
            if (flow->m_isOpen || flow->m_isEnded)
                return;
            if (copy < 2) {
                sendOpening(flow);
                return;
            }
            ++m_counts["openings without an answer"];
            endFlow(*flow);
        });
    }

    void sendFromClient(ClientFlow& flow, Packet packet)
    {
        packet.m_source = flow.m_key.m_caller;
        packet.m_destination = flow.m_key.m_service;
        packet.m_echo = flow.m_echo;
        Vm* const vm = routeOf(flow.m_key, flow.m_zone);
        if (!vm)
            return;
        const bool isLost = isDatagramLost();
        ++m_counts["datagrams of clients"];
        trace(flow, "client sends " + describe(packet) + " through " + vm->m_name + (isLost ? ", lost" : ""));
        if (isLost)
            return;
        flow.m_lastVm = vm;
        const std::string bytes = encode(packet);
        const sockaddr_in address = systemAddress(vm->m_packets);
        sendto(m_clientSockets[flow.m_zone].second, bytes.data(), bytes.size(), 0,
            reinterpret_cast<const sockaddr*>(&address), sizeof address);
    }

    bool isDatagramLost()
    {
        return m_options.m_loss > 0 && std::uniform_real_distribution<> {}(m_random) < m_options.m_loss;
    }

    void receiveAtClient(int fd)
    {
        for (;;) {
            unsigned char bytes[2048];
            sockaddr_in sender {};
            socklen_t length = sizeof sender;
            const ssize_t size = recvfrom(fd, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&sender), &length);
            if (size < 0)
                return;
            const std::optional<Packet> packet = decode(bytes, static_cast<std::size_t>(size));
            if (packet)
                acceptAtClient(*packet, { ntohl(sender.sin_addr.s_addr), ntohs(sender.sin_port) });
        }
    }

    void acceptAtClient(const Packet& packet, Address sender)
    {
        const auto found = m_flows.find({ packet.m_destination, packet.m_source });
        if (!packet.m_isIntact && !packet.m_isSystemReset)
            breakRule("MIXED", "a client got a packet that its sender did not write so", nullptr);
        if (found == m_flows.end() || found->second->m_isEnded)
            return;
        const std::shared_ptr<ClientFlow> flow = found->second;
        Host* const host = hostAt(sender);
        const std::string from = packet.m_isSystemReset ? "a VM" : (host ? host->id() : text(sender));
        if ((packet.m_flags & c_rst) != 0) {
            const std::int64_t distance
                = static_cast<std::int32_t>(packet.m_sequence - flow->m_acknowledged);
            const bool isAccepted = !flow->m_isOpen || std::llabs(distance) <= 76'800;
            trace(*flow, "client gets a reset of " + from + (isAccepted ? "" : ", outside of its window"));
            if (isAccepted)
                acceptReset(*flow, packet, host);
            return;
        }
        flow->m_echo = packet.m_echo;
        trace(*flow, "client gets " + describe(packet) + " of " + from);
        if ((packet.m_flags & c_syn) != 0) {
            if (flow->m_isOpen)
                return; // another answer to its opening
            flow->m_isOpen = true;
            flow->m_acknowledged = packet.m_sequence + 1;
            ++m_counts["flows opened"];
            sendRequest(flow);
            return;
        }
        if (!flow->m_isOpen)
            return;
        if (flow->m_isClosing) {
            if (packet.m_acknowledgment == flow->m_nextSequence + 1)
                endFlow(*flow);
            return;
        }
        if (packet.m_sequence == flow->m_acknowledged) {
            flow->m_acknowledged += static_cast<std::uint32_t>(packet.m_data.size());
            if (!packet.m_data.empty() && !flow->m_pending.empty()) {
                if (packet.m_data != "answer to " + flow->m_pending)
                    breakRule("MIXED", "a client got the answer to another request", flow.get());
                ++m_counts["requests answered"];
                flow->m_pending.clear();
                ++flow->m_timer;
                acknowledge(*flow);
                afterAnswer(flow, (packet.m_flags & c_fin) != 0);
                return;
            }
        }
        if (!packet.m_data.empty())
            acknowledge(*flow);
    }

    void acknowledge(ClientFlow& flow)
    {
        Packet packet;
        packet.m_flags = c_ack;
        packet.m_sequence = flow.m_nextSequence;
        packet.m_acknowledgment = flow.m_acknowledged;
        sendFromClient(flow, packet);
    }

    void sendRequest(const std::shared_ptr<ClientFlow>& flow)
    {
        if (flow->m_isEnded)
            return;
        flow->m_pending = ipText(flow->m_key.m_caller.m_ip) + ":" + std::to_string(flow->m_key.m_caller.m_port) + "/"
            + std::to_string(flow->m_initialSequence) + "#" + std::to_string(flow->m_request++);
        m_sentRequests.insert(flow->m_pending);
        ++m_counts["requests sent"];
        flow->m_pendingSince = now();
        flow->m_repeats = 0;
        flow->m_nextSequence += static_cast<std::uint32_t>(flow->m_pending.size());
        --flow->m_requestsLeft;
        sendPending(flow, ++flow->m_timer);
    }

    void sendPending(const std::shared_ptr<ClientFlow>& flow, std::uint64_t timer)
    {
        if (flow->m_isEnded || flow->m_timer != timer || flow->m_pending.empty())
            return;
        if (now() - flow->m_pendingSince > m_deadline) {
            ++m_counts["requests given up"];
            trace(*flow, "client gives the request up");
            endFlow(*flow);
            return;
        }
        Packet packet;
        packet.m_flags = c_ack;
        packet.m_sequence = flow->m_nextSequence - static_cast<std::uint32_t>(flow->m_pending.size());
        packet.m_acknowledgment = flow->m_acknowledged;
        packet.m_data = flow->m_pending;
        sendFromClient(*flow, packet);
        const double wait = std::min(200.0 * (1U << std::min(flow->m_repeats, 3U)), 1'600.0);
        ++flow->m_repeats;
        m_loop.after(wait, [this, flow, timer] { sendPending(flow, timer); });
    }

    void afterAnswer(const std::shared_ptr<ClientFlow>& flow, bool isClosedByHost)
    {
        if (flow->m_requestsLeft > 0 && !isClosedByHost) {
            const double pause = std::uniform_real_distribution<> { m_minPause, m_maxPause }(m_random);
            m_loop.after(pause, [this, flow] { sendRequest(flow); });
            return;
        }
        flow->m_isClosedByHost = isClosedByHost;
        flow->m_acknowledged += isClosedByHost ? 1 : 0;
        flow->m_isClosing = true;
        flow->m_repeats = 0;
        ++m_counts["flows completed"];
        sendFin(flow);
    }

    /// Sends the FIN until it is acknowledged, like any packet.
    void sendFin(const std::shared_ptr<ClientFlow>& flow)
    {
        if (flow->m_isEnded)
            return;
        if (flow->m_repeats > 8) {
            flow->m_isClosedByHost = false;
            endFlow(*flow);
            return;
        }
        Packet packet;
        packet.m_flags = c_ack | c_fin;
        packet.m_sequence = flow->m_nextSequence;
        packet.m_acknowledgment = flow->m_acknowledged;
        sendFromClient(*flow, packet);
        const double wait = std::min(200.0 * (1U << std::min(flow->m_repeats++, 3U)), 1'600.0);
        m_loop.after(wait, [this, flow] { sendFin(flow); });
    }

    /// FLOW (a).
    void acceptReset(ClientFlow& flow, const Packet& packet, Host* sender)
    {
        const bool isOpenAtHost = holdsFlow(flow) && !flow.m_isClosing;
        flow.m_isClosedByHost = false;
        const bool isOfOwnHost = !packet.m_isSystemReset && sender == flow.m_host;
        if (!flow.m_isOpen)
            ++m_counts["openings refused"];
        else
            ++m_counts["flows reset"];
        const bool isForeign
            = isOpenAtHost && !isOfOwnHost && isRouteThere(flow.m_key.m_service) && !isOld(flow);
        if (isForeign && !mayCount(flow))
            ++m_counts["resets through machines that were not in touch"];
        else if (isForeign)
            breakRule("FLOW",
                "the client got a reset of " + (sender ? sender->id() : std::string { "a VM" })
                    + ", while the flow is open at " + flow.m_host->id(),
                &flow);
        endFlow(flow);
    }

    static bool holdsFlow(const ClientFlow& flow)
    {
        return flow.m_host && flow.m_host->isAlive() && flow.m_host->life() == flow.m_hostLife;
    }

    /// Whether a machine ran for StableWindowMs, with no start and no kill, while the store was stable.
    bool isInTouch(const Vm& vm) const
    {
        const double since = now() - 4'000;
        return vm.m_process > 0 && vm.m_startedAt < since && vm.m_killedAt < since && m_disturbedUntil < since;
    }

    /// Planned work always counts for FLOW; a disruption that is not planned, only for machines in touch.
    bool mayCount(const ClientFlow& flow) const
    {
        return !m_isUnplanned || (flow.m_lastVm && isInTouch(*flow.m_lastVm));
    }

    bool isOld(const ClientFlow& flow) const { return now() - flow.m_openedAt > 60'000; }

    void endFlow(ClientFlow& flow)
    {
        if (!flow.m_isEnded && m_onFlowEnd)
            m_onFlowEnd(flow);
        flow.m_isEnded = true;
        flow.m_endTime = now();
    }

    // --- What hosts see

    /// FLOW (b), and which host holds a flow.
    void recordAtHost(Host& host, const Packet& packet, bool opensHere)
    {
        const auto found = m_flows.find({ packet.m_source, packet.m_destination });
        if (found == m_flows.end())
            return;
        ClientFlow& flow = *found->second;
        trace(flow, host.id() + " gets " + describe(packet));
        if ((packet.m_flags & c_syn) != 0) {
            judgeOpening(host, flow);
            return;
        }
        if (opensHere && !flow.m_host) {
            flow.m_host = &host;
            flow.m_hostLife = host.life();
            flow.m_openedAt = now();
            trace(flow, "the flow is open at " + host.id());
        }
        if (!holdsFlow(flow) || isOld(flow) || flow.m_isEnded || flow.m_isClosing)
            return;
        if (flow.m_host == &host) {
            flow.m_strayedAt.clear();
            return;
        }
        flow.m_strayedAt.push_back(now());
        while (now() - flow.m_strayedAt.front() > 2'000)
            flow.m_strayedAt.pop_front();
        if (flow.m_strayedAt.size() >= 3 && mayCount(flow))
            breakRule("FLOW", "three packets reached other hosts within 2 s and none " + flow.m_host->id(), &flow);
    }

    /// ROUTE, DRAIN and CONFIG, by the opening packet. The latter two hold for machines in touch.
    void judgeOpening(Host& host, ClientFlow& flow)
    {
        const Address route = flow.m_key.m_service;
        if (!m_everAllowed[route].contains(host.options().m_service))
            breakRule("ROUTE", "an opening packet reached " + host.id() + " of " + host.options().m_service, &flow);
        constexpr double window = 4'000;
        const Vm* const vm = routeOf(flow.m_key, flow.m_zone);
        const bool isInTouch = vm && vm->m_startedAt + window < now() && m_disturbedUntil + window < now();
        if (!isInTouch || vm->m_isStopping)
            return;
        const double drainedAt = host.drainAcknowledgedAt();
        if (host.isDraining() && drainedAt + 3'000 < now() && drainedAt > m_disturbedUntil + window)
            breakRule("DRAIN", "an opening packet reached " + host.id() + ", which drains", &flow);
        const auto dropped = m_droppedAt.find(route);
        if (dropped != m_droppedAt.end() && !isRouteThere(route) && dropped->second + 3'000 < flow.m_startedAt)
            breakRule("CONFIG", "an opening packet of a dropped route reached " + host.id(), &flow);
    }

    void recordRun(Host& host, const std::string& request, const FlowKey& key)
    {
        ++m_counts["requests run"];
        const auto found = m_flows.find(key);
        ClientFlow* const flow = found != m_flows.end() ? found->second.get() : nullptr;
        if (!m_sentRequests.contains(request))
            breakRule("UNASKED", host.id() + " ran a request that no client sent", flow);
        if (!m_run.insert(request).second)
            breakRule("UNASKED", host.id() + " ran a request that had run before", flow);
    }

    Host* hostAt(Address address)
    {
        for (const std::unique_ptr<Host>& host : m_hosts) {
            if (host->options().m_address == address && host->isAlive())
                return host.get();
        }
        return nullptr;
    }

    Host& addHost(const std::string& service, const std::string& zone, Address address)
    {
        m_hosts.push_back(std::make_unique<Host>(
            *this, HostOptions { service, zone, address, 0x6c27b00000ULL + 0x10001ULL * ++m_hostNumber }));
        m_hosts.back()->start();
        return *m_hosts.back();
    }

    // --- The operator

    void writeConfiguration()
    {
        std::string routes;
        for (const RouteOptions& route : m_routes) {
            m_everAllowed[route.m_address].insert(route.m_service);
            m_droppedAt.erase(route.m_address);
            routes += (routes.empty() ? "" : ",") + std::string { "{\"Name\":\"r-" } + std::to_string(route.m_address.m_port)
                + "\",\"Host\":\"" + ipText(route.m_address.m_ip) + "\",\"PathPrefix\":\"/"
                + std::to_string(route.m_address.m_port) + "/\",\"Type\":\"" + (route.m_isLong ? "safe" : "unsafe")
                + "\",\"TimeoutMs\":2000,\"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\"" + route.m_service
                + "\",\"MaxAttempts\":2}";
        }
        std::string services;
        for (const std::string& service : m_services)
            services += (services.empty() ? "" : ",") + std::string { "{\"Name\":\"" } + service
                + "\",\"HealthPath\":\"/health\",\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false,"
                  "\"WarmupS\":2.0,\"WarmupPerS\":0.0}";
        for (const auto& [route, allowed] : m_everAllowed) {
            if (!isRouteThere(route))
                m_droppedAt.emplace(route, now());
        }
        m_version += 3;
        m_store->put("config", "main",
            "{\"Version\":" + std::to_string(m_version) + ",\"Routes\":[" + routes + "],\"Services\":[" + services
                + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,"
                  "\"IdleTimeoutMs\":15000}}");
        log("the operator writes version %u with %zu routes", m_version, m_routes.size());
    }

    bool isRouteThere(Address service) const
    {
        return std::ranges::any_of(m_routes, [&](const RouteOptions& route) { return route.m_address == service; });
    }

    // --- The judge

    void breakRule(const std::string& rule, const std::string& what, ClientFlow* flow)
    {
        if (flow && std::exchange(flow->m_isJudged, true))
            return;
        ++m_broken[rule];
        log("BROKEN %s: %s", rule.c_str(), what.c_str());
        if (!flow || m_broken[rule] > 5)
            return;
        for (const std::string& line : flow->m_trail)
            m_record << "    " << line << '\n';
        m_record << std::flush;
    }

    void trace(ClientFlow& flow, const std::string& what)
    {
        if (flow.m_trail.size() < 200)
            flow.m_trail.push_back(logTime() + what);
    }

    static std::string describe(const Packet& packet)
    {
        std::string name;
        for (const auto& [flag, word] : std::map<std::uint8_t, std::string> {
                 { c_syn, "SYN " }, { c_ack, "ACK " }, { c_fin, "FIN " }, { c_rst, "RST " } }) {
            if ((packet.m_flags & flag) != 0)
                name += word;
        }
        char fields[96];
        std::snprintf(fields, sizeof fields, "seq %08x ack %08x echo %08x len %zu", packet.m_sequence,
            packet.m_acknowledgment, packet.m_echo, packet.m_data.size());
        return name + fields;
    }

    void start()
    {
        for (Vm& vm : m_vms)
            startVm(vm);
        for (Vm& vm : m_vms)
            probeReadiness(vm);
        collectEnded();
        sweepFlows();
    }

    void sweepFlows()
    {
        std::erase_if(m_flows, [](const auto& entry) {
            return entry.second->m_isEnded && now() - entry.second->m_endTime > 3'000;
        });
        m_loop.after(1'000, [this] { sweepFlows(); });
    }

    bool areAllInRotation() const
    {
        return std::ranges::all_of(m_vms, [](const Vm& vm) { return vm.m_isInRotation || vm.m_startedAt == 0; });
    }

    /// Writes the summary. Returns the exit status.
    int report()
    {
        for (const auto& [name, count] : m_counts)
            log("%s: %llu", name.c_str(), static_cast<unsigned long long>(count));
        if (m_counts["requests answered"] == 0)
            cannotRun("no request was answered");
        for (const auto& [rule, count] : m_broken)
            log("rule %s broken %llu times", rule.c_str(), static_cast<unsigned long long>(count));
        log("%s", m_broken.empty() ? "held" : "broken");
        return m_broken.empty() ? 0 : 1;
    }

    WorldOptions m_options;
    std::ofstream m_record;
    std::mt19937_64 m_random;
    Loop m_loop;
    std::uint32_t m_block = 0;
    Address m_storeAddress;
    std::unique_ptr<Store> m_store;
    std::deque<Vm> m_vms;
    std::map<std::string, std::pair<Address, int>> m_clientSockets; ///< by zone
    std::map<std::string, std::uint16_t> m_nextPort;
    std::map<FlowKey, std::shared_ptr<ClientFlow>> m_flows;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::uint64_t m_hostNumber = 0;
    std::vector<RouteOptions> m_routes;
    std::vector<std::string> m_services;
    unsigned m_version = 4;
    std::set<std::string> m_sentRequests;
    std::set<std::string> m_run;
    std::map<std::string, std::uint64_t> m_counts;
    std::map<std::string, std::uint64_t> m_broken;
    std::map<Address, std::set<std::string>> m_everAllowed; ///< services by route
    std::map<Address, double> m_droppedAt;
    double m_restartDelay = 200;
    bool m_isUnplanned = false;
    double m_disturbedUntil = -1e9; ///< end of the last disruption of the store
    double m_deadline = 1'500;
    double m_minPause = 100;
    double m_maxPause = 1'500;
    std::function<void(ClientFlow&)> m_onFlowEnd;
    std::function<bool(Host&, const Packet&)> m_losesFromHost; ///< a datagram of a host is lost
};

} // namespace review
