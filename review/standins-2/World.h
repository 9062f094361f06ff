// Stand-ins for the platform around the relay processes: store, fabric, backend servers and callers, on loopback.
// They follow PROTOCOL.md. One process, a few threads, one mutex. Each case's main program drives them.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

inline constexpr std::uint8_t c_syn = 32;
inline constexpr std::uint8_t c_ack = 2;
inline constexpr std::uint8_t c_fin = 4;
inline constexpr std::uint8_t c_rst = 64;
inline constexpr std::size_t c_headerBytes = 31;

inline double nowS()
{
    static const std::chrono::steady_clock::time_point s_start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - s_start).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// What was sent, answered and run, with the seconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", nowS());
        m_file << time << text << '\n';
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct Address {
    std::uint32_t m_ip = 0;
    std::uint16_t m_port = 0;

    friend bool operator<(const Address& left, const Address& right)
    {
        return std::pair { left.m_ip, left.m_port } < std::pair { right.m_ip, right.m_port };
    }
    friend bool operator==(const Address& left, const Address& right) = default;
};

inline std::string ipText(std::uint32_t ip)
{
    std::ostringstream text;
    text << (ip >> 24U) << '.' << ((ip >> 16U) & 255U) << '.' << ((ip >> 8U) & 255U) << '.' << (ip & 255U);
    return text.str();
}

inline std::string text(const Address& address)
{
    return ipText(address.m_ip) + ":" + std::to_string(address.m_port);
}

inline sockaddr_in toSystem(const Address& address)
{
    sockaddr_in system {};
    system.sin_family = AF_INET;
    system.sin_addr.s_addr = htonl(address.m_ip);
    system.sin_port = htons(address.m_port);
    return system;
}

/// Ends the run: the case could not run.
[[noreturn]] inline void cannotRun(const std::string& why)
{
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::_Exit(2);
}

inline int openUdp(const Address& address)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const int bytes = 1 << 20;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    const sockaddr_in system = toSystem(address);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&system), sizeof system) != 0)
        cannotRun("UDP " + text(address) + ": " + std::strerror(errno));
    return descriptor;
}

inline int openTcp(const Address& address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in system = toSystem(address);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&system), sizeof system) != 0
        || listen(descriptor, 128) != 0)
        cannotRun("TCP " + text(address) + ": " + std::strerror(errno));
    return descriptor;
}

/// Reads a request without a body. Returns its first line, empty at the end of the connection.
inline std::string readRequest(int connection, std::string& buffer)
{
    for (;;) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            const std::string first = buffer.substr(0, buffer.find("\r\n"));
            buffer.erase(0, end + 4);
            return first;
        }
        char bytes[2'048];
        const ssize_t count = recv(connection, bytes, sizeof bytes, 0);
        if (count <= 0)
            return {};
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

inline bool sendAll(int connection, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count = send(connection, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        done += static_cast<std::size_t>(count);
    }
    return true;
}

/// A packet of a flow, laid out as on the page.
struct Packet {
    Address m_source;
    Address m_destination;
    std::uint8_t m_flags = 0;
    std::uint32_t m_echo = 0;
    std::uint32_t m_seq = 0;
    std::uint32_t m_ack = 0;
    std::string m_data;
    bool m_isSystemReset = false; ///< RST with sum 0
    bool m_isIntact = true;
};

namespace wire {

    template <typename T> void put(std::string& bytes, std::size_t offset, T value)
    {
        for (std::size_t i = 0; i < sizeof value; ++i)
            bytes[offset + i] = static_cast<char>((value >> (8 * i)) & 255U);
    }

    template <typename T> T get(const std::string& bytes, std::size_t offset)
    {
        T value = 0;
        for (std::size_t i = 0; i < sizeof value; ++i)
            value = static_cast<T>(
                value | static_cast<T>(static_cast<T>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i)));
        return value;
    }

    /// A sum over all fields but echo; never 0.
    inline std::uint32_t sumOf(std::string bytes)
    {
        std::memset(bytes.data(), 0, 4);
        std::memset(bytes.data() + 5, 0, 4);
        std::uint32_t sum = 2'166'136'261U;
        for (const char byte : bytes)
            sum = (sum ^ static_cast<unsigned char>(byte)) * 16'777'619U;
        return sum | 1U;
    }

    inline std::string encode(const Packet& packet)
    {
        std::string bytes(c_headerBytes, '\0');
        put<std::uint8_t>(bytes, 4, packet.m_flags);
        put<std::uint32_t>(bytes, 5, packet.m_echo);
        put<std::uint16_t>(bytes, 9, packet.m_destination.m_port);
        put<std::uint32_t>(bytes, 11, packet.m_source.m_ip);
        put<std::uint32_t>(bytes, 15, packet.m_destination.m_ip);
        put<std::uint16_t>(bytes, 19, packet.m_source.m_port);
        put<std::uint32_t>(bytes, 21, packet.m_seq);
        put<std::uint32_t>(bytes, 25, packet.m_ack);
        put<std::uint16_t>(bytes, 29, static_cast<std::uint16_t>(packet.m_data.size()));
        bytes += packet.m_data;
        put<std::uint32_t>(bytes, 0, sumOf(bytes));
        return bytes;
    }

    inline std::optional<Packet> decode(const std::string& bytes)
    {
        if (bytes.size() < c_headerBytes || get<std::uint16_t>(bytes, 29) != bytes.size() - c_headerBytes)
            return std::nullopt;
        Packet packet;
        packet.m_flags = get<std::uint8_t>(bytes, 4);
        packet.m_echo = get<std::uint32_t>(bytes, 5);
        packet.m_destination = { get<std::uint32_t>(bytes, 15), get<std::uint16_t>(bytes, 9) };
        packet.m_source = { get<std::uint32_t>(bytes, 11), get<std::uint16_t>(bytes, 19) };
        packet.m_seq = get<std::uint32_t>(bytes, 21);
        packet.m_ack = get<std::uint32_t>(bytes, 25);
        packet.m_data = bytes.substr(c_headerBytes);
        const std::uint32_t sum = get<std::uint32_t>(bytes, 0);
        packet.m_isSystemReset = sum == 0 && packet.m_flags == c_rst && packet.m_data.empty();
        packet.m_isIntact = packet.m_isSystemReset || sum == sumOf(bytes);
        return packet;
    }

} // namespace wire

/// The platform's store: lists, watches, no writing calls (the relays make none).
class Store {
public:
    explicit Store(const Address& address)
        : m_listener(openTcp(address))
    {
        std::thread { [this] { accept(); } }.detach();
    }

    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        ++m_revision;
        const std::string object = "{\"meta\":{\"Name\":\"" + name + "\",\"Revision\":" + std::to_string(m_revision)
            + ",\"CreateRevision\":1,\"Finalizers\":[],\"Deleting\":false},\"spec\":" + spec + ",\"status\":null}";
        m_objects[kind][name] = object;
        m_events.push_back({ m_revision, kind, "{\"Removed\":false,\"Object\":" + object + "}" });
        m_changed.notify_all();
    }

    void remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        const auto found = m_objects[kind].find(name);
        if (found == m_objects[kind].end())
            return;
        ++m_revision;
        m_events.push_back({ m_revision, kind, "{\"Removed\":true,\"Object\":" + found->second + "}" });
        m_objects[kind].erase(found);
        m_changed.notify_all();
    }

private:
    struct Event {
        std::uint64_t m_revision;
        std::string m_kind;
        std::string m_text;
    };

    void accept()
    {
        for (;;) {
            const int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                continue;
            const int on = 1;
            setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread { [this, connection] { serve(connection); } }.detach();
        }
    }

    void serve(int connection)
    {
        std::string buffer;
        for (;;) {
            const std::string request = readRequest(connection, buffer);
            if (request.empty())
                break;
            sleepFor(0.004);
            const std::string body = answer(request);
            std::ostringstream response;
            response << "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: "
                     << body.size() << "\r\n\r\n"
                     << body;
            if (!sendAll(connection, response.str()))
                break;
        }
        close(connection);
    }

    static std::uint64_t numberAfter(const std::string& target, const std::string& key)
    {
        const std::size_t found = target.find(key);
        return found == std::string::npos ? 0 : std::strtoull(target.c_str() + found + key.size(), nullptr, 10);
    }

    std::string answer(const std::string& request)
    {
        const std::size_t begin = request.find("/objects/") + 9;
        const std::string target = request.substr(begin, request.rfind(' ') - begin);
        const std::string kind = target.substr(0, target.find('?'));
        std::unique_lock<std::mutex> lock { m_mutex };
        std::ostringstream body;
        if (target.find("Watch=") == std::string::npos) {
            body << "{\"items\":[";
            const char* separator = "";
            for (const auto& [name, object] : m_objects[kind]) {
                body << separator << object;
                separator = ",";
            }
            body << "],\"Truncated\":false,\"AsOf\":" << m_revision << "}";
            return body.str();
        }
        const std::uint64_t after = numberAfter(target, "Watch=");
        const std::chrono::milliseconds wait { numberAfter(target, "WaitMs=") };
        std::vector<std::string> events;
        m_changed.wait_for(lock, wait, [&] {
            for (const Event& event : m_events) {
                if (event.m_kind == kind && event.m_revision > after)
                    events.push_back(event.m_text);
            }
            return !events.empty();
        });
        body << "{\"events\":[";
        const char* separator = "";
        for (const std::string& event : events) {
            body << separator << event;
            separator = ",";
        }
        body << "],\"AsOf\":" << m_revision << "}";
        return body.str();
    }

    int m_listener;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, std::string>> m_objects;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 500;
};

/// The two ends of a flow.
struct FlowKey {
    Address m_client;
    Address m_service;

    friend bool operator<(const FlowKey& left, const FlowKey& right)
    {
        return std::tie(left.m_client, left.m_service) < std::tie(right.m_client, right.m_service);
    }
};

inline FlowKey keyOf(const Packet& packet, bool isFromClient)
{
    return isFromClient ? FlowKey { packet.m_source, packet.m_destination }
                        : FlowKey { packet.m_destination, packet.m_source };
}

class World;

/// A backend server. Opens flows, repeats its SYN+ACK until it is acknowledged, answers requests.
class Server {
public:
    Server(World& world, std::uint64_t number, std::string service, const Address& address);

    std::string id() const;
    const std::string& service() const { return m_service; }
    void announce(const std::string& state = "ready");
    /// Sets MaxConns: at so many flows it sends nothing in response to a SYN.
    void setMaxConns(std::size_t flows) { m_maxConns = flows; }
    bool isFull(); ///< takes the mutex

    std::uint64_t m_number; ///< the digits of its id
    Address m_address;

private:
    struct Flow {
        std::uint32_t m_seq = 0; ///< own initial number
        std::uint32_t m_clientSeq = 0; ///< initial number of the client
        std::uint32_t m_next = 0; ///< own next number
        std::uint32_t m_expected = 0; ///< the client's next number
        std::uint32_t m_echo = 0;
        bool m_isOpen = false;
        unsigned m_repeats = 0;
        double m_repeatAt = 0;
        std::string m_lastAnswer;
        std::uint32_t m_lastAnswerSeq = 0;
    };

    void serveHealth();
    void servePackets();
    void accept(const Packet& packet);
    void repeatSynAcks();
    void sendTo(const FlowKey& key, Flow& flow, std::uint8_t flags, std::uint32_t seq, const std::string& data);

    World& m_world;
    std::string m_service;
    std::uint64_t m_born;
    std::uint64_t m_entrySeq = 0;
    int m_udp;
    int m_health;
    std::size_t m_maxConns = 2'000;
    std::map<FlowKey, Flow> m_flows;
};

/// An arrival of a flow's packet at a backend server.
struct Arrival {
    double m_at = 0;
    std::string m_server;
    std::uint8_t m_flags = 0;
    bool m_hasData = false;
};

struct Run {
    double m_at = 0;
    std::string m_server;
    std::string m_service;
    std::string m_request;
};

/// What the stand-ins have seen of a flow.
struct FlowTrace {
    std::string m_openAt; ///< the server that has the end of the handshake
    double m_openedAt = 0;
    std::vector<Arrival> m_arrivals;
    std::vector<Run> m_runs;
};

/// A caller's flow, driven by one thread.
class ClientFlow {
public:
    ClientFlow(World& world, const FlowKey& key);
    ~ClientFlow();

    /// Sends the SYN and its copies. Returns whether the flow opened.
    bool open();

    /// Sends a request and its copies until it is answered or the deadline has passed. Returns the answer.
    std::optional<std::string> request(const std::string& name, double deadlineS);

    /// Ends the flow.
    void close();

    const FlowKey& key() const { return m_key; }
    bool isReset() const { return m_isReset; }
    const std::vector<double>& synTimes() const { return m_synTimes; }

private:
    friend class World;

    void received(const Packet& packet); // with the mutex held
    void sendPacket(std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, const std::string& data);

    World& m_world;
    FlowKey m_key;
    std::uint32_t m_initial;
    std::uint32_t m_next = 0;
    std::uint32_t m_ack = 0;
    std::uint32_t m_echo = 0;
    bool m_isOpen = false;
    bool m_isReset = false;
    std::string m_answer;
    std::vector<double> m_synTimes;
    std::condition_variable m_changed;
};

/// All stand-ins of a run, and the relay processes.
class World {
public:
    World(const std::string& recordPath, unsigned vms)
        : m_record(recordPath)
    {
        std::signal(SIGPIPE, SIG_IGN);
        m_block = freeBlock();
        char folder[] = "/tmp/review-case-XXXXXX";
        if (!mkdtemp(folder))
            cannotRun("no temporary folder");
        m_folder = folder;
        m_store = std::make_unique<Store>(at(4, 1, 8'169));
        m_client = openUdp(at(2, 1, c_packetsPort));
        std::thread { [this] { receiveAtClient(); } }.detach();
        for (unsigned i = 0; i < vms; ++i)
            m_vms.push_back({});
    }

    /// Returns 127.N.0.0 with an N whose addresses no other run uses.
    static std::uint32_t freeBlock()
    {
        constexpr unsigned first = 40;
        constexpr unsigned count = 200;
        for (unsigned i = 0; i < count; ++i) {
            const unsigned number = first + (static_cast<unsigned>(getpid()) + i) % count;
            const std::uint32_t block = (127U << 24U) | (number << 16U);
            const sockaddr_in store = toSystem({ block + (4U << 8U) + 1, 8'169 });
            const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const int on = 1;
            setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
            const bool isFree
                = bind(probe, reinterpret_cast<const sockaddr*>(&store), sizeof store) == 0 && listen(probe, 1) == 0;
            ::close(probe);
            if (isFree)
                return block;
        }
        cannotRun("no free addresses");
    }

    ~World() { endAll(); }

    Address at(unsigned network, unsigned number, std::uint16_t port) const
    {
        return { m_block + (network << 8U) + number, port };
    }

    static constexpr std::uint16_t c_packetsPort = 8'172;

    Store& store() { return *m_store; }
    Record& record() { return m_record; }
    std::mutex& mutex() { return m_mutex; }
    std::map<FlowKey, FlowTrace>& traces() { return m_traces; }

    Server& addServer(std::uint64_t number, const std::string& service, const Address& address)
    {
        m_servers.push_back(std::make_unique<Server>(*this, number, service, address));
        return *m_servers.back();
    }

    /// Starts all relays and the fabric, and waits until all are in rotation.
    void startVms()
    {
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            writeSettings(i);
            startProcess(i);
        }
        std::thread { [this] { supervise(); } }.detach();
        for (std::size_t i = 0; i < m_vms.size(); ++i)
            std::thread { [this, i] { probe(i); } }.detach();
        for (const double limit = nowS() + 20; !areAllInRotation();) {
            if (nowS() > limit)
                cannotRun("the relays do not come into rotation");
            sleepFor(0.05);
        }
        m_record.line("all relays are in rotation");
    }

    /// Changes Bounds.GraceS in the settings file of each relay.
    void changeGraceS(const std::string& graceS)
    {
        m_graceS = graceS;
        for (std::size_t i = 0; i < m_vms.size(); ++i)
            writeSettings(i);
        m_record.line("settings files: Bounds.GraceS=" + graceS);
    }

    /// How often processes were started.
    unsigned starts()
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        return m_starts;
    }

    /// The last line that a relay has written, without the path of its settings file.
    std::string lastLog(std::size_t vm) const
    {
        std::ifstream file { m_folder + "/vm-" + std::to_string(vm) + ".log" };
        std::string last;
        for (std::string line; std::getline(file, line);)
            last = line;
        const std::size_t path = last.find(".conf: ");
        return path == std::string::npos ? last : last.substr(path + 7);
    }

    bool areAllInRotation()
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        return std::all_of(m_vms.begin(), m_vms.end(), [](const Vm& vm) { return vm.m_isInRotation; });
    }

    void signalVm(std::size_t vm, int signal)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        m_record.line("signal " + std::to_string(signal) + " to vm-" + std::to_string(vm));
        if (m_vms[vm].m_process > 0)
            kill(m_vms[vm].m_process, signal);
    }

    /// The relays in rotation, in a fixed order; all if fewer than half are.
    std::vector<std::size_t> rotation()
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        return rotationLocked();
    }

    bool isInRotation(std::size_t vm)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        return m_vms[vm].m_isInRotation;
    }

    /// Failed readiness probes in a row.
    unsigned misses(std::size_t vm)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        return m_vms[vm].m_misses;
    }

    bool isRunning(std::size_t vm)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        return m_vms[vm].m_process > 0;
    }

    /// The fabric's hash of the four addresses and ports.
    static std::uint32_t hashOf(const FlowKey& key)
    {
        std::uint64_t hash = 0x9e3779b97f4a7c15ULL;
        for (const std::uint64_t part : { std::uint64_t { key.m_client.m_ip }, std::uint64_t { key.m_client.m_port },
                 std::uint64_t { key.m_service.m_ip }, std::uint64_t { key.m_service.m_port } }) {
            hash ^= part;
            hash *= 0xff51afd7ed558ccdULL;
            hash ^= hash >> 32U;
        }
        return static_cast<std::uint32_t>(hash >> 16U);
    }

    Address clientAddress(std::uint16_t port) const { return { at(2, 1, 0).m_ip, port }; }

    /// Whether a server's datagram to a client is lost. Called with the mutex held.
    std::function<bool(const FlowKey&, const Packet&)> m_isLost;

    bool isFolderKept() const { return std::getenv("KEEP") != nullptr; }

    /// Ends the relays and removes the temporary folder.
    void endAll()
    {
        {
            const std::lock_guard<std::mutex> lock { m_mutex };
            m_isEnding = true;
            for (Vm& vm : m_vms) {
                if (vm.m_process > 0)
                    kill(vm.m_process, SIGKILL);
            }
        }
        for (const double limit = nowS() + 3; nowS() < limit; sleepFor(0.02)) {
            const std::lock_guard<std::mutex> lock { m_mutex };
            bool isAnyLeft = false;
            for (const Vm& vm : m_vms)
                isAnyLeft = isAnyLeft || vm.m_process > 0;
            if (!isAnyLeft)
                break;
        }
        for (std::size_t i = 0; i < m_vms.size() && !isFolderKept(); ++i) {
            unlink((m_folder + "/vm-" + std::to_string(i) + ".conf").c_str());
            unlink((m_folder + "/vm-" + std::to_string(i) + ".log").c_str());
        }
        if (!isFolderKept())
            rmdir(m_folder.c_str());
    }

    /// The machines whose processes ended by themselves so often.
    std::size_t vmsWithOwnEnds(unsigned ends)
    {
        const std::lock_guard<std::mutex> lock { m_mutex };
        return static_cast<std::size_t>(
            std::count_if(m_vms.begin(), m_vms.end(), [ends](const Vm& vm) { return vm.m_ownEnds >= ends; }));
    }

private:
    friend class Server;
    friend class ClientFlow;

    struct Vm {
        pid_t m_process = 0;
        double m_startAt = 0; ///< when an ended process starts again
        bool m_isInRotation = false;
        unsigned m_misses = 0;
        unsigned m_ownEnds = 0; ///< how often its process ended with a failure, without a signal
    };

    std::vector<std::size_t> rotationLocked() const
    {
        std::vector<std::size_t> inRotation;
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            if (m_vms[i].m_isInRotation)
                inRotation.push_back(i);
        }
        if (2 * inRotation.size() >= m_vms.size())
            return inRotation;
        inRotation.clear();
        for (std::size_t i = 0; i < m_vms.size(); ++i)
            inRotation.push_back(i);
        return inRotation;
    }

    Address vmAddress(std::size_t vm, std::uint16_t port) const { return at(1, static_cast<unsigned>(vm) + 1, port); }

    void writeSettings(std::size_t vm)
    {
        std::ofstream file { m_folder + "/vm-" + std::to_string(vm) + ".conf" };
        const std::string ip = ipText(vmAddress(vm, 0).m_ip);
        file << "Node=front-a-" << vm + 1 << "\nRole=relay\nMachineClass=front\nServes=front,control\nIp=" << ip
             << "\nZone=zone-a\nRegion=region\nZones.zone-a=region\nListen.DatagramAddr=" << ip << ":" << c_packetsPort
             << "\nListen.Ready=" << ip << ":8167\nListen.Control=" << ip
             << ":8166\nInternalPorts=7720,7735\nSeeds=" << text(vmAddress(0, 8'166)) << ","
             << text(vmAddress(1, 8'166)) << "\nBootstrap=true\nLossCounted=false\nLimits.CpuShare=0.25\nLimits.Cores=1"
             << "\nLimits.MemoryMb=260\nLimits.MaxFds=4100\nDiscovery=platform\nEntry=announce\nHeartbeatMs=1200\n"
             << "Contracts=base,drain,config,cost,recover,flows,platform\nFaultTolerance.Machines=2\n"
             << "FaultTolerance.Zones=1\nBounds.SeedLagS=3\nBounds.AddrReuseS=2\nBounds.StableWindowMs=4000\n"
             << "Bounds.AckMs=5000\nBounds.CatchUpS=4\nBounds.DrainMs=3000\nBounds.GraceS=" << m_graceS
             << "\nBounds.LossSlackMs=200\n"
             << "Bounds.ConfigApplyMs=3000\nBounds.RollbackSlackMs=250\nBounds.SkewMaxMs=12000\nBounds.RecoveryS=12\n"
             << "Bounds.FlowMs=2000\nBounds.FlowLifetimeS=60\nHash=mod\nForwardMode=echo\nplatform.Address="
             << text(at(4, 1, 8'169)) << "\nplatform.ForwardMode=objects\nplatform.WritesPerS=400\n"
             << "platform.ReadsPerS=2000\nplatform.HistoryS=20\nplatform.ValueBytes=1048576\nplatform.TtlMinMs=1000\n";
    }

    /// Starts a relay with the command of deploy/system.toml, in the repository's root.
    void startProcess(std::size_t vm)
    {
        const std::string settings = m_folder + "/vm-" + std::to_string(vm) + ".conf";
        const std::string log = m_folder + "/vm-" + std::to_string(vm) + ".log";
        const pid_t parent = getpid();
        const pid_t process = fork();
        if (process < 0)
            cannotRun("no new process");
        if (process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent)
                std::_Exit(1);
            const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(output, 1);
            dup2(output, 2);
            setenv("CUMINRELAY_SETTINGS", settings.c_str(), 1);
            execl("target/platform/cuminrelay-relay", "target/platform/cuminrelay-relay", nullptr);
            std::_Exit(127);
        }
        m_record.line("started vm-" + std::to_string(vm));
        const std::lock_guard<std::mutex> lock { m_mutex };
        m_vms[vm].m_process = process;
        ++m_starts;
    }

    /// Starts a process again a short time after it has ended, as the platform does.
    void supervise()
    {
        for (;; sleepFor(0.01)) {
            std::vector<std::size_t> due;
            {
                const std::lock_guard<std::mutex> lock { m_mutex };
                for (std::size_t i = 0; i < m_vms.size(); ++i) {
                    Vm& vm = m_vms[i];
                    int status = 0;
                    if (vm.m_process > 0 && waitpid(vm.m_process, &status, WNOHANG) == vm.m_process) {
                        vm.m_process = 0;
                        vm.m_startAt = nowS() + 0.3;
                        m_record.line("ended vm-" + std::to_string(i) + " status " + std::to_string(status));
                        vm.m_ownEnds += status != 0 && status != SIGKILL ? 1 : 0;
                    }
                    if (vm.m_process == 0 && !m_isEnding && nowS() >= vm.m_startAt)
                        due.push_back(i);
                }
            }
            for (const std::size_t vm : due)
                startProcess(vm);
        }
    }

    static bool isReady(const Address& address)
    {
        const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval limit { 0, 400'000 };
        setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        const sockaddr_in system = toSystem(address);
        bool ready = false;
        if (connect(connection, reinterpret_cast<const sockaddr*>(&system), sizeof system) == 0
            && sendAll(connection, "GET /readiness HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n")) {
            char bytes[256] {};
            ready = recv(connection, bytes, sizeof bytes - 1, 0) > 12 && std::strncmp(bytes + 9, "200", 3) == 0;
        }
        close(connection);
        return ready;
    }

    void probe(std::size_t index)
    {
        for (;; sleepFor(0.5)) {
            const bool ready = isReady(vmAddress(index, 8'167));
            const std::lock_guard<std::mutex> lock { m_mutex };
            Vm& vm = m_vms[index];
            vm.m_misses = ready ? 0 : vm.m_misses + 1;
            const bool inRotation = ready || (vm.m_isInRotation && vm.m_misses < 2);
            if (inRotation != vm.m_isInRotation)
                m_record.line("vm-" + std::to_string(index) + (inRotation ? " joins" : " leaves") + " the rotation");
            vm.m_isInRotation = inRotation;
        }
    }

    /// Sends a client's packet through the fabric. Called with the mutex held.
    void sendFromClient(const Packet& packet)
    {
        const FlowKey key = keyOf(packet, true);
        const std::vector<std::size_t> vms = rotationLocked();
        const std::size_t vm = vms[hashOf(key) % vms.size()];
        const std::string bytes = wire::encode(packet);
        const sockaddr_in target = toSystem(vmAddress(vm, c_packetsPort));
        if (m_isTraced)
            m_record.line(describe("client", packet, true) + " by vm-" + std::to_string(vm));
        sendto(m_client, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&target), sizeof target);
    }

    static std::string describe(const std::string& who, const Packet& packet, bool isFromClient)
    {
        std::ostringstream line;
        line << who << (isFromClient && who == "client" ? " sends flow " : " flow ")
             << (isFromClient ? packet.m_source.m_port : packet.m_destination.m_port);
        if ((packet.m_flags & c_syn) != 0)
            line << " SYN";
        if ((packet.m_flags & c_ack) != 0)
            line << " ACK";
        if ((packet.m_flags & c_fin) != 0)
            line << " FIN";
        if ((packet.m_flags & c_rst) != 0)
            line << " RST";
        line << " echo " << std::hex << packet.m_echo << std::dec << " seq " << packet.m_seq << " ack " << packet.m_ack;
        if (!packet.m_data.empty())
            line << " \"" << packet.m_data << '"';
        return line.str();
    }

    void receiveAtClient();

    Record m_record;
    std::mutex m_mutex;
    std::uint32_t m_block = 0;
    std::string m_folder;
    std::string m_graceS = "6";
    std::unique_ptr<Store> m_store;
    int m_client = -1;
    std::vector<Vm> m_vms;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::map<FlowKey, FlowTrace> m_traces;
    std::map<FlowKey, ClientFlow*> m_flows;
    bool m_isTraced = true;
    bool m_isEnding = false;
    unsigned m_starts = 0;

public:
    void setTraced(bool traced) { m_isTraced = traced; }
};

inline Server::Server(World& world, std::uint64_t number, std::string service, const Address& address)
    : m_number(number)
    , m_address(address)
    , m_world(world)
    , m_service(std::move(service))
    , m_born(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count()))
    , m_udp(openUdp(address))
    , m_health(openTcp(address))
{
    std::thread { [this] { servePackets(); } }.detach();
    std::thread { [this] { serveHealth(); } }.detach();
}

inline bool Server::isFull()
{
    const std::lock_guard<std::mutex> lock { m_world.m_mutex };
    return m_flows.size() >= m_maxConns;
}

inline std::string Server::id() const
{
    char digits[32];
    std::snprintf(digits, sizeof digits, "i-%08llx", static_cast<unsigned long long>(m_number));
    return digits;
}

inline void Server::announce(const std::string& state)
{
    std::ostringstream spec;
    spec << "{\"Service\":\"" << m_service << "\",\"Address\":\"" << text(m_address)
         << "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":2,\"State\":\"" << state
         << "\",\"WarmupLeftMs\":0,\"Seq\":" << ++m_entrySeq << ",\"born\":" << m_born << "}";
    m_world.record().line("entry servers/" + id() + " " + spec.str());
    m_world.store().put("servers", id(), spec.str());
}

inline void Server::serveHealth()
{
    for (;;) {
        const int connection = accept4(m_health, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            continue;
        std::thread { [this, connection] {
            std::string buffer;
            if (!readRequest(connection, buffer).empty())
                sendAll(connection,
                    "HTTP/1.1 200 OK\r\nCuminrelay-Instance-Id: " + id()
                        + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            close(connection);
        } }.detach();
    }
}

inline void Server::servePackets()
{
    for (;;) {
        pollfd ready { m_udp, POLLIN, 0 };
        poll(&ready, 1, 5);
        char bytes[2'048];
        const ssize_t count = recv(m_udp, bytes, sizeof bytes, MSG_DONTWAIT);
        const std::lock_guard<std::mutex> lock { m_world.m_mutex };
        repeatSynAcks();
        if (count < 8)
            continue;
        std::uint64_t named = 0;
        for (std::size_t i = 0; i < 8; ++i)
            named = (named << 8U) | static_cast<unsigned char>(bytes[i]);
        const std::optional<Packet> packet = wire::decode({ bytes + 8, static_cast<std::size_t>(count) - 8 });
        if (!packet || !packet->m_isIntact || (named != 0 && named != m_number))
            continue;
        accept(*packet);
    }
}

inline void Server::accept(const Packet& packet)
{
    const FlowKey key = keyOf(packet, true);
    FlowTrace& trace = m_world.m_traces[key];
    if (m_flows.size() >= m_maxConns && !m_flows.contains(key) && packet.m_flags == c_syn) {
        m_world.m_record.line(World::describe(id() + " is full and ignores", packet, true));
        return;
    }
    trace.m_arrivals.push_back({ nowS(), id(), packet.m_flags, !packet.m_data.empty() });
    if (m_world.m_isTraced)
        m_world.m_record.line(World::describe(id() + " gets", packet, true));
    if (packet.m_flags == c_syn) {
        Flow& flow = m_flows[key];
        if (flow.m_clientSeq != packet.m_seq || flow.m_seq == 0) {
            flow = Flow {};
            flow.m_clientSeq = packet.m_seq;
            flow.m_seq = static_cast<std::uint32_t>(1'000'000 + m_number % 1'000 * 1'000'000);
            flow.m_next = flow.m_seq + 1;
            flow.m_expected = packet.m_seq + 1;
        }
        flow.m_echo = packet.m_echo;
        flow.m_repeatAt = nowS() + 0.2;
        flow.m_repeats = 0;
        sendTo(key, flow, c_syn | c_ack, flow.m_seq, {});
        return;
    }
    const auto found = m_flows.find(key);
    if ((packet.m_flags & c_rst) != 0) {
        if (found != m_flows.end())
            m_flows.erase(found);
        return;
    }
    if (found == m_flows.end()) {
        Packet reset;
        reset.m_source = packet.m_destination;
        reset.m_destination = packet.m_source;
        reset.m_flags = c_rst;
        reset.m_echo = packet.m_echo;
        reset.m_seq = packet.m_ack;
        const std::string bytes = wire::encode(reset);
        const sockaddr_in target = toSystem({ packet.m_source.m_ip, World::c_packetsPort });
        m_world.m_record.line(World::describe(id() + " sends", reset, false));
        sendto(m_udp, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&target), sizeof target);
        return;
    }
    Flow& flow = found->second;
    if ((packet.m_flags & c_fin) != 0) {
        sendTo(key, flow, c_ack | c_fin, flow.m_next, {});
        m_flows.erase(found);
        return;
    }
    // A server that is not the flow's own stays silent on an acknowledgment that is not of its numbers.
    if (packet.m_ack - flow.m_seq == 0 || packet.m_ack - flow.m_seq > 1'000'000)
        return;
    flow.m_echo = packet.m_echo;
    if (!flow.m_isOpen) {
        flow.m_isOpen = true;
        trace.m_openAt = id();
        trace.m_openedAt = nowS();
        m_world.m_record.line("flow " + std::to_string(key.m_client.m_port) + " is open at " + id());
    }
    if (packet.m_data.empty())
        return;
    if (packet.m_seq == flow.m_expected) {
        flow.m_expected += static_cast<std::uint32_t>(packet.m_data.size());
        trace.m_runs.push_back({ nowS(), id(), m_service, packet.m_data });
        m_world.m_record.line(id() + " of " + m_service + " runs \"" + packet.m_data + "\" of flow "
            + std::to_string(key.m_client.m_port));
        flow.m_lastAnswer = packet.m_data + " by " + m_service;
        flow.m_lastAnswerSeq = flow.m_next;
        flow.m_next += static_cast<std::uint32_t>(flow.m_lastAnswer.size());
    }
    sendTo(key, flow, c_ack, flow.m_lastAnswerSeq, flow.m_lastAnswer);
}

inline void Server::repeatSynAcks()
{
    const double now = nowS();
    for (auto position = m_flows.begin(); position != m_flows.end();) {
        Flow& flow = position->second;
        if (flow.m_isOpen || now < flow.m_repeatAt) {
            ++position;
            continue;
        }
        if (flow.m_repeats == 8) {
            m_flows.erase(position++);
            continue;
        }
        ++flow.m_repeats;
        flow.m_repeatAt = now + std::min(1.6, 0.2 * (1U << flow.m_repeats));
        sendTo(position->first, flow, c_syn | c_ack, flow.m_seq, {});
        ++position;
    }
}

inline void Server::sendTo(
    const FlowKey& key, Flow& flow, std::uint8_t flags, std::uint32_t seq, const std::string& data)
{
    Packet packet;
    packet.m_source = key.m_service;
    packet.m_destination = key.m_client;
    packet.m_flags = flags;
    packet.m_echo = flow.m_echo;
    packet.m_seq = seq;
    packet.m_ack = flow.m_expected;
    packet.m_data = data;
    const bool isLost = m_world.m_isLost && m_world.m_isLost(key, packet);
    if (m_world.m_isTraced || isLost)
        m_world.m_record.line(World::describe(id() + " sends", packet, false) + (isLost ? " (lost)" : ""));
    if (isLost)
        return;
    const std::string bytes = wire::encode(packet);
    const sockaddr_in target = toSystem({ key.m_client.m_ip, World::c_packetsPort });
    sendto(m_udp, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&target), sizeof target);
}

inline ClientFlow::ClientFlow(World& world, const FlowKey& key)
    : m_world(world)
    , m_key(key)
    , m_initial(0x11220000U + key.m_client.m_port * 7U)
{
    const std::lock_guard<std::mutex> lock { world.m_mutex };
    world.m_flows[key] = this;
}

inline ClientFlow::~ClientFlow()
{
    const std::lock_guard<std::mutex> lock { m_world.m_mutex };
    m_world.m_flows.erase(m_key);
}

inline void ClientFlow::sendPacket(std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, const std::string& data)
{
    Packet packet;
    packet.m_source = m_key.m_client;
    packet.m_destination = m_key.m_service;
    packet.m_flags = flags;
    packet.m_echo = flags == c_syn ? 0 : m_echo;
    packet.m_seq = seq;
    packet.m_ack = ack;
    packet.m_data = data;
    m_world.sendFromClient(packet);
}

inline bool ClientFlow::open()
{
    std::unique_lock<std::mutex> lock { m_world.m_mutex };
    const double pauses[] { 0.2, 0.4, 0.8 };
    for (std::uint32_t copies = 0; copies < 3 && !m_isOpen && !m_isReset; ++copies) {
        m_synTimes.push_back(nowS());
        sendPacket(c_syn, m_initial, copies, {});
        m_changed.wait_for(
            lock, std::chrono::duration<double>(pauses[copies]), [this] { return m_isOpen || m_isReset; });
    }
    return m_isOpen;
}

inline std::optional<std::string> ClientFlow::request(const std::string& name, double deadlineS)
{
    std::unique_lock<std::mutex> lock { m_world.m_mutex };
    const double deadline = nowS() + deadlineS;
    m_answer.clear();
    double pause = 0.2;
    while (nowS() < deadline && !m_isReset) {
        sendPacket(c_ack, m_next, m_ack, name);
        m_changed.wait_for(lock, std::chrono::duration<double>(std::min(pause, deadline - nowS())),
            [this] { return !m_answer.empty() || m_isReset; });
        if (!m_answer.empty()) {
            m_next += static_cast<std::uint32_t>(name.size());
            m_ack += static_cast<std::uint32_t>(m_answer.size());
            sendPacket(c_ack, m_next, m_ack, {});
            return m_answer;
        }
        pause = std::min(1.6, 2 * pause);
    }
    return std::nullopt;
}

inline void ClientFlow::close()
{
    const std::lock_guard<std::mutex> lock { m_world.m_mutex };
    sendPacket(c_ack | c_fin, m_next, m_ack, {});
}

inline void ClientFlow::received(const Packet& packet)
{
    if (!packet.m_isSystemReset)
        m_echo = packet.m_echo; // the last echo that it received on the flow
    if ((packet.m_flags & c_rst) != 0) {
        m_isReset = true;
    } else if ((packet.m_flags & c_syn) != 0) {
        if (!m_isOpen) {
            m_isOpen = true;
            m_next = m_initial + 1;
            m_ack = packet.m_seq + 1;
            sendPacket(c_ack, m_next, m_ack, {});
        }
    } else if (!packet.m_data.empty() && packet.m_seq == m_ack) {
        m_answer = packet.m_data;
    }
    m_changed.notify_all();
}

inline void World::receiveAtClient()
{
    for (;;) {
        char bytes[2'048];
        const ssize_t count = recv(m_client, bytes, sizeof bytes, 0);
        if (count <= 0)
            continue;
        const std::optional<Packet> packet = wire::decode({ bytes, static_cast<std::size_t>(count) });
        if (!packet)
            continue;
        const std::lock_guard<std::mutex> lock { m_mutex };
        const FlowKey key = keyOf(*packet, false);
        if (m_isTraced || packet->m_isSystemReset || !packet->m_isIntact)
            m_record.line(describe("client gets", *packet, false) + (packet->m_isSystemReset ? " from the system" : "")
                + (packet->m_isIntact ? "" : " CHANGED ON THE WAY"));
        const auto found = m_flows.find(key);
        if (found != m_flows.end())
            found->second->received(*packet);
    }
}

/// The rule FLOW (b) for a flow that is open at a living, undisturbed server: for 2 s three or more of the flow's
/// packets reach other servers and none its own. Returns the beginning of such a time.
inline std::optional<double> findStrayPackets(const FlowTrace& trace, double untilS)
{
    constexpr double flowS = 2.0;
    for (const Arrival& first : trace.m_arrivals) {
        if (trace.m_openAt.empty() || first.m_at < trace.m_openedAt || first.m_server == trace.m_openAt
            || first.m_flags == c_syn || first.m_at + flowS > untilS)
            continue;
        unsigned others = 0;
        bool hasOwn = false;
        for (const Arrival& arrival : trace.m_arrivals) {
            if (arrival.m_at < first.m_at || arrival.m_at > first.m_at + flowS || arrival.m_flags == c_syn)
                continue;
            hasOwn = hasOwn || arrival.m_server == trace.m_openAt;
            others += arrival.m_server != trace.m_openAt ? 1 : 0;
        }
        if (others >= 3 && !hasOwn)
            return first.m_at;
    }
    return std::nullopt;
}

} // namespace review
