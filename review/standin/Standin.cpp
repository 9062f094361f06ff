// Everything around the relays of a small deployment, in one process on loopback: the platform's store, backend
// servers, routers and callers, as the users' pages describe them. It plays one scenario, judges what callers and
// backend servers saw, and writes it to the record. Exit status: 0 the rule held, 1 it was broken, 2 could not run.

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;
using asio::ip::udp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr auto c_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint8_t c_syn = 32;
constexpr std::uint8_t c_ack = 2;
constexpr std::uint8_t c_fin = 4;
constexpr std::uint8_t c_rst = 64;
constexpr std::uint16_t c_packetsPort = 28'172;
constexpr std::uint16_t c_readyPort = 28'167;
constexpr std::uint16_t c_storePort = 28'169;
constexpr std::uint16_t c_hostPort = 28'080;
constexpr std::uint16_t c_exchangePort = 28'720;
constexpr milliseconds c_heartbeat { 1'200 };
constexpr std::uint32_t c_resetWindow = 76'800;

// The record.

std::FILE* g_record = nullptr;
steady_clock::time_point g_start = steady_clock::now();

double seconds()
{
    return std::chrono::duration<double>(steady_clock::now() - g_start).count();
}

void record(const char* format, ...)
{
    std::fprintf(g_record, "%8.3f ", seconds());
    std::va_list arguments;
    va_start(arguments, format);
    std::vfprintf(g_record, format, arguments);
    va_end(arguments);
    std::fputc('\n', g_record);
    std::fflush(g_record);
}

std::string text(const char* format, ...)
{
    std::array<char, 2'048> buffer;
    std::va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(buffer.data(), buffer.size(), format, arguments);
    va_end(arguments);
    return buffer.data();
}

std::uint64_t unixMs()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

awaitable<void> sleepFor(milliseconds duration)
{
    asio::steady_timer timer { co_await asio::this_coro::executor };
    timer.expires_after(duration);
    co_await timer.async_wait(c_tuple);
}

awaitable<void> sleepUntil(steady_clock::time_point deadline)
{
    asio::steady_timer timer { co_await asio::this_coro::executor };
    timer.expires_at(deadline);
    co_await timer.async_wait(c_tuple);
}

/// One way between callers and the platform.
constexpr milliseconds c_callerDelay { 1 };

std::uint64_t g_datagrams = 0; ///< sent by callers and backend servers

void sendLater(udp::socket& socket, std::vector<std::uint8_t> bytes, udp::endpoint target)
{
    ++g_datagrams;
    const auto timer = std::make_shared<asio::steady_timer>(socket.get_executor(), c_callerDelay);
    timer->async_wait([timer, &socket, bytes = std::move(bytes), target](const boost::system::error_code&) {
        boost::system::error_code ignored;
        socket.send_to(asio::buffer(bytes), target, 0, ignored);
    });
}

// Addresses: 127.BLOCK.NETWORK.NUMBER.

std::uint32_t g_block = 77;

std::uint32_t address(std::uint32_t network, std::uint32_t number)
{
    return (127U << 24U) | (g_block << 16U) | (network << 8U) | number;
}

std::string name(std::uint32_t address)
{
    return asio::ip::address_v4 { address }.to_string();
}

// Packets.

struct Packet {
    std::uint8_t m_flags = 0;
    std::uint32_t m_echo = 0;
    std::uint32_t m_source = 0;
    std::uint32_t m_destination = 0;
    std::uint16_t m_sourcePort = 0;
    std::uint16_t m_destinationPort = 0;
    std::uint32_t m_sequence = 0;
    std::uint32_t m_acknowledgment = 0;
    std::string m_data;
    bool m_isIntact = false;
    bool m_hasSum = false; ///< a reset of the system has none
};

template <typename T> void put(std::vector<std::uint8_t>& bytes, std::size_t offset, T value)
{
    for (std::size_t i = 0; i < sizeof value; ++i)
        bytes[offset + i] = static_cast<std::uint8_t>(static_cast<std::uint64_t>(value) >> (8 * i));
}

template <typename T> T get(const std::uint8_t* bytes, std::size_t offset)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        value |= static_cast<std::uint64_t>(bytes[offset + i]) << (8 * i);
    return static_cast<T>(value);
}

constexpr std::size_t c_head = 31;

/// A keyed sum over all but sum, echo and the BOUNCED bit; never 0.
std::uint32_t sumOf(const std::uint8_t* bytes, std::size_t size)
{
    std::uint64_t sum = 0x9e3779b97f4a7c15;
    for (std::size_t i = 4; i < size; ++i) {
        if (i < 5 || i > 8)
            sum = (sum ^ (i == 4 ? bytes[i] & 0xfeU : bytes[i])) * 0x100000001b3;
    }
    return static_cast<std::uint32_t>(sum >> 32U) | 1U;
}

std::vector<std::uint8_t> encode(const Packet& packet)
{
    std::vector<std::uint8_t> bytes(c_head + packet.m_data.size());
    put(bytes, 4, packet.m_flags);
    put(bytes, 5, packet.m_echo);
    put(bytes, 9, packet.m_destinationPort);
    put(bytes, 11, packet.m_source);
    put(bytes, 15, packet.m_destination);
    put(bytes, 19, packet.m_sourcePort);
    put(bytes, 21, packet.m_sequence);
    put(bytes, 25, packet.m_acknowledgment);
    put(bytes, 29, static_cast<std::uint16_t>(packet.m_data.size()));
    std::copy(packet.m_data.begin(), packet.m_data.end(), bytes.begin() + c_head);
    put(bytes, 0, sumOf(bytes.data(), bytes.size()));
    return bytes;
}

std::optional<Packet> decode(const std::uint8_t* bytes, std::size_t size)
{
    if (size < c_head || get<std::uint16_t>(bytes, 29) != size - c_head)
        return std::nullopt;
    Packet packet;
    packet.m_flags = bytes[4];
    packet.m_echo = get<std::uint32_t>(bytes, 5);
    packet.m_destinationPort = get<std::uint16_t>(bytes, 9);
    packet.m_source = get<std::uint32_t>(bytes, 11);
    packet.m_destination = get<std::uint32_t>(bytes, 15);
    packet.m_sourcePort = get<std::uint16_t>(bytes, 19);
    packet.m_sequence = get<std::uint32_t>(bytes, 21);
    packet.m_acknowledgment = get<std::uint32_t>(bytes, 25);
    packet.m_data.assign(reinterpret_cast<const char*>(bytes) + c_head, size - c_head);
    const std::uint32_t sum = get<std::uint32_t>(bytes, 0);
    packet.m_hasSum = sum != 0;
    packet.m_isIntact = sum == sumOf(bytes, size);
    return packet;
}

/// When the open connections of all machines went silent; those that were opened later work.
std::optional<steady_clock::time_point> g_silentSince;

bool isSilent(steady_clock::time_point openedAt)
{
    return g_silentSince && openedAt < *g_silentSince;
}

/// Keeps a silent connection open and answers nothing.
awaitable<void> staySilent(tcp::socket& socket)
{
    std::array<char, 4'096> bytes;
    for (;;) {
        const auto [error, size] = co_await socket.async_read_some(asio::buffer(bytes), c_tuple);
        if (error)
            co_return;
    }
}

// The store: lists and watches, as of a revision. Its content is written in this process.

class Store {
public:
    /// Each node has a way of its own to the store, 127.BLOCK.5.NODE.
    Store(asio::io_context& context, std::uint32_t nodes)
        : m_context(context)
    {
        for (std::uint32_t node = 1; node <= nodes; ++node) {
            m_acceptors.push_back(std::make_unique<tcp::acceptor>(
                context, tcp::endpoint { asio::ip::address_v4 { address(5, node) }, c_storePort }));
            asio::co_spawn(context, accept(*m_acceptors.back(), node), asio::detached);
        }
    }

    /// Partitions a node from the store, without a sign, until the end is called for.
    void cut(std::uint32_t node) { m_cut.insert(node); }
    void heal(std::uint32_t node) { m_cut.erase(node); }

    /// When the node's last watch of a kind began, if it still waits.
    std::optional<steady_clock::time_point> waitingSince(std::uint32_t node, const std::string& kind = "servers") const
    {
        const auto found = m_waiting.find({ node, kind });
        return found != m_waiting.end() ? std::optional { found->second } : std::nullopt;
    }

    /// An entry changes when more than its Seq changes.
    void put(const std::string& kind, const std::string& objectName, const std::string& spec, std::uint64_t sequence = 0)
    {
        std::string& last = m_compared[kind + "/" + objectName];
        const std::string stored = sequence > 0 ? text("%s,\"Seq\":%llu}", spec.substr(0, spec.size() - 1).c_str(),
                                                      static_cast<unsigned long long>(sequence))
                                                : spec;
        const bool isChanged = last != spec || !m_objects[kind].contains(objectName);
        last = spec;
        if (isChanged)
            ++m_revision;
        std::string& object = m_objects[kind][objectName];
        object = text("{\"meta\":{\"Name\":\"%s\",\"Revision\":%llu},\"spec\":", objectName.c_str(),
                     static_cast<unsigned long long>(m_revision))
            + stored + ",\"status\":null}";
        if (isChanged)
            addEvent(kind, false, object);
    }

    void remove(const std::string& kind, const std::string& objectName)
    {
        if (!m_objects[kind].contains(objectName))
            return;
        ++m_revision;
        addEvent(kind, true, m_objects[kind][objectName]);
        m_objects[kind].erase(objectName);
    }

    bool holds(const std::string& kind, const std::string& objectName) { return m_objects[kind].contains(objectName); }

private:
    struct Event {
        std::uint64_t m_revision;
        std::string m_kind;
        std::string m_text;
    };

    void addEvent(const std::string& kind, bool isRemoved, const std::string& object)
    {
        m_events.push_back(
            { m_revision, kind, std::string { "{\"Removed\":" } + (isRemoved ? "true" : "false") + ",\"Object\":" + object + "}" });
        for (asio::steady_timer* const waiter : std::set<asio::steady_timer*> { m_waiters })
            waiter->cancel();
    }

    awaitable<void> accept(tcp::acceptor& acceptor, std::uint32_t node)
    {
        for (;;) {
            auto [error, socket] = co_await acceptor.async_accept(c_tuple);
            if (!error)
                asio::co_spawn(m_context, serve(std::move(socket), node), asio::detached);
        }
    }

    awaitable<void> serve(tcp::socket socket, std::uint32_t node)
    {
        const steady_clock::time_point openedAt = steady_clock::now();
        beast::flat_buffer buffer;
        for (;;) {
            http::request<http::string_body> request;
            const auto [error, size] = co_await http::async_read(socket, buffer, request, c_tuple);
            if (error)
                co_return;
            const std::string target { request.target() };
            std::string body = co_await answer(target, node);
            if (isSilent(openedAt) || m_cut.contains(node)) {
                co_await staySilent(socket);
                co_return;
            }
            http::response<http::string_body> response { http::status::ok, 11 };
            response.set(http::field::content_type, "application/json");
            response.body() = std::move(body);
            response.prepare_payload();
            const auto [failure, written] = co_await http::async_write(socket, response, c_tuple);
            if (failure)
                co_return;
        }
    }

    static std::uint64_t number(const std::string& target, const std::string& key)
    {
        const std::size_t found = target.find(key);
        return found == std::string::npos ? 0 : std::stoull(target.substr(found + key.size()));
    }

    awaitable<std::string> answer(std::string target, std::uint32_t node)
    {
        co_await sleepFor(milliseconds { 4 });
        const std::string kind = target.substr(9, target.find('?') - 9);
        if (target.find("Watch=") == std::string::npos)
            co_return list(kind);
        const std::uint64_t after = number(target, "Watch=");
        const steady_clock::time_point until = steady_clock::now() + milliseconds { number(target, "WaitMs=") };
        asio::steady_timer timer { m_context };
        for (;;) {
            std::string events;
            for (const Event& event : m_events) {
                if (event.m_kind == kind && event.m_revision > after)
                    events += (events.empty() ? "" : ",") + event.m_text;
            }
            if (!events.empty() || steady_clock::now() >= until)
                co_return "{\"events\":[" + events + "],\"AsOf\":" + std::to_string(m_revision) + "}";
            timer.expires_at(until);
            m_waiters.insert(&timer);
            m_waiting.try_emplace({ node, kind }, steady_clock::now());
            co_await timer.async_wait(c_tuple);
            m_waiters.erase(&timer);
            m_waiting.erase({ node, kind });
        }
    }

    std::string list(const std::string& kind)
    {
        std::string items;
        for (const auto& [objectName, object] : m_objects[kind])
            items += (items.empty() ? "" : ",") + object;
        return "{\"items\":[" + items + "],\"Truncated\":false,\"AsOf\":" + std::to_string(m_revision) + "}";
    }

    asio::io_context& m_context;
    std::vector<std::unique_ptr<tcp::acceptor>> m_acceptors;
    std::set<std::uint32_t> m_cut;
    std::map<std::pair<std::uint32_t, std::string>, steady_clock::time_point> m_waiting; ///< by node and kind
    std::map<std::string, std::map<std::string, std::string>> m_objects;
    std::map<std::string, std::string> m_compared; ///< without Seq
    std::vector<Event> m_events;
    std::uint64_t m_revision = 100;
    std::set<asio::steady_timer*> m_waiters;
};

// Backend servers.

class Host {
public:
    Host(asio::io_context& context, Store& store, std::uint64_t identity, std::string service, std::string zone,
        std::uint32_t own)
        : m_context(context)
        , m_store(store)
        , m_identity(identity)
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_address(own)
        , m_born(unixMs())
        , m_packets(context, { asio::ip::address_v4 { own }, c_hostPort })
        , m_health(context, { asio::ip::address_v4 { own }, c_hostPort })
    {
        asio::co_spawn(context, serve(), asio::detached);
        asio::co_spawn(context, serveHealth(), asio::detached);
        asio::co_spawn(context, beat(), asio::detached);
    }

    std::string id() const { return text("i-%010llx", static_cast<unsigned long long>(m_identity)); }
    std::string addressText() const { return name(m_address) + ":" + std::to_string(c_hostPort); }
    const std::string& zone() const { return m_zone; }

    /// Reports the state draining; the store accepts it at once.
    void drain()
    {
        m_isDraining = true;
        writeEntry();
    }

    /// Called for each opening packet that is taken, with the caller's port.
    void onOpening(std::function<void(std::uint16_t)> listener) { m_openingListener = std::move(listener); }

    /// Asked for each SYN+ACK in answer to an opening packet, with the caller's port: whether the network loses it.
    void onAnswer(std::function<bool(std::uint16_t)> losesAnswer) { m_losesAnswer = std::move(losesAnswer); }

    /// Whether the flow is open here: it has the end of its handshake.
    bool holds(std::uint32_t caller, std::uint16_t port) const
    {
        const auto found = m_flows.find({ caller, port });
        return found != m_flows.end() && found->second.m_isOpen;
    }

private:
    struct Flow {
        std::uint32_t m_initial = 0;
        std::uint32_t m_next = 0; ///< own sequence number
        std::uint32_t m_expected = 0; ///< of the caller
        bool m_isOpen = false;
        std::string m_lastAnswer;
        std::uint32_t m_echo = 0; ///< the last one received
    };

    /// Sends the SYN+ACK again until the flow is open, eight times at most; then the host gives up.
    awaitable<void> repeatAnswer(Packet opening, std::uint32_t initial)
    {
        const std::pair<std::uint32_t, std::uint16_t> key { opening.m_source, opening.m_sourcePort };
        int wait = 200;
        for (int repeats = 0; repeats <= 8; ++repeats) {
            co_await sleepFor(milliseconds { wait });
            wait = std::min(2 * wait, 1'600);
            const auto found = m_flows.find(key);
            if (found == m_flows.end() || found->second.m_isOpen || found->second.m_initial != initial)
                co_return;
            if (repeats == 8) {
                record("host %s: gives up flow %u, which never opened here", id().c_str(), key.second);
                m_flows.erase(found);
                co_return;
            }
            opening.m_echo = found->second.m_echo;
            record("host %s: sends its SYN+ACK to flow %u again", id().c_str(), key.second);
            send(opening, initial, found->second.m_expected, c_syn | c_ack, {});
        }
    }

    awaitable<void> beat()
    {
        for (;;) {
            writeEntry();
            co_await sleepFor(c_heartbeat);
        }
    }

    void writeEntry()
    {
        m_store.put("servers", id(),
            text("{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\",\"Version\":\"v1\",\"Slots\":2,"
                 "\"State\":\"%s\",\"WarmupLeftMs\":0,\"born\":%llu}",
                m_service.c_str(), addressText().c_str(), m_zone.c_str(), m_isDraining ? "draining" : "ready",
                static_cast<unsigned long long>(m_born)),
            ++m_heartbeats);
    }

    awaitable<void> serve()
    {
        std::array<std::uint8_t, 2'048> bytes;
        for (;;) {
            udp::endpoint sender;
            const auto [error, size] = co_await m_packets.async_receive_from(asio::buffer(bytes), sender, c_tuple);
            if (error || size < 8)
                continue;
            std::uint64_t intended = 0;
            for (std::size_t i = 0; i < 8; ++i)
                intended = (intended << 8U) | bytes[i];
            const std::optional<Packet> packet = decode(bytes.data() + 8, size - 8);
            if (!packet || (intended != 0 && intended != m_identity))
                continue;
            if (!packet->m_isIntact)
                record("host %s UNASKED: a packet that its sender did not write", id().c_str());
            else
                accept(*packet);
        }
    }

    void accept(const Packet& packet)
    {
        const std::pair<std::uint32_t, std::uint16_t> key { packet.m_source, packet.m_sourcePort };
        const auto found = m_flows.find(key);
        if (packet.m_flags == c_syn) {
            Flow& flow = m_flows[key];
            if (flow.m_expected != packet.m_sequence + 1) {
                flow = Flow {};
                flow.m_initial = static_cast<std::uint32_t>((m_identity * 2'654'435'761U) ^ (packet.m_sequence * 40'503U));
                flow.m_next = flow.m_initial + 1;
                flow.m_expected = packet.m_sequence + 1;
                if (m_openingListener)
                    m_openingListener(packet.m_sourcePort);
                asio::co_spawn(m_context, repeatAnswer(packet, flow.m_initial), asio::detached);
            }
            flow.m_echo = packet.m_echo;
            if (m_losesAnswer && m_losesAnswer(packet.m_sourcePort)) {
                record("network: loses the SYN+ACK of host %s to flow %u", id().c_str(), packet.m_sourcePort);
                return;
            }
            send(packet, flow.m_initial, flow.m_expected, c_syn | c_ack, {});
            return;
        }
        if (found == m_flows.end()) {
            if ((packet.m_flags & c_rst) == 0) {
                record("host %s: does not hold flow %u and resets it", id().c_str(), packet.m_sourcePort);
                send(packet, packet.m_acknowledgment, 0, c_rst, {});
            }
            return;
        }
        Flow& flow = found->second;
        flow.m_echo = packet.m_echo;
        if ((packet.m_flags & c_rst) != 0) {
            record("host %s: the caller of flow %u resets it", id().c_str(), packet.m_sourcePort);
            m_flows.erase(found);
            return;
        }
        if (!flow.m_isOpen && packet.m_acknowledgment == flow.m_initial + 1) {
            flow.m_isOpen = true;
            record("host %s: flow %u is open", id().c_str(), packet.m_sourcePort);
        }
        if (!flow.m_isOpen)
            return;
        if (!packet.m_data.empty()) {
            if (packet.m_sequence == flow.m_expected) {
                flow.m_expected += static_cast<std::uint32_t>(packet.m_data.size());
                flow.m_lastAnswer = packet.m_data + " by " + id();
                record("host %s: runs %s", id().c_str(), packet.m_data.c_str());
                const std::uint32_t sequence = flow.m_next;
                flow.m_next += static_cast<std::uint32_t>(flow.m_lastAnswer.size());
                send(packet, sequence, flow.m_expected, c_ack, flow.m_lastAnswer);
            } else {
                send(packet, flow.m_next - static_cast<std::uint32_t>(flow.m_lastAnswer.size()), flow.m_expected, c_ack,
                    flow.m_lastAnswer);
            }
        }
        if ((packet.m_flags & c_fin) != 0) {
            send(packet, flow.m_next, flow.m_expected + 1, c_ack | c_fin, {});
            m_flows.erase(found);
        }
    }

    void send(const Packet& to, std::uint32_t sequence, std::uint32_t acknowledgment, std::uint8_t flags, std::string data)
    {
        Packet packet;
        packet.m_flags = flags;
        packet.m_echo = to.m_echo;
        packet.m_source = to.m_destination;
        packet.m_sourcePort = to.m_destinationPort;
        packet.m_destination = to.m_source;
        packet.m_destinationPort = to.m_sourcePort;
        packet.m_sequence = sequence;
        packet.m_acknowledgment = acknowledgment;
        packet.m_data = std::move(data);
        sendLater(m_packets, encode(packet), { asio::ip::address_v4 { to.m_source }, c_packetsPort });
    }

    awaitable<void> serveHealth()
    {
        for (;;) {
            auto [error, socket] = co_await m_health.async_accept(c_tuple);
            if (!error)
                asio::co_spawn(m_context, answerHealth(std::move(socket)), asio::detached);
        }
    }

    awaitable<void> answerHealth(tcp::socket socket)
    {
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        const auto [error, size] = co_await http::async_read(socket, buffer, request, c_tuple);
        if (error)
            co_return;
        http::response<http::string_body> response { http::status::ok, 11 };
        response.set("Cuminrelay-Instance-Id", id());
        response.set("Cuminrelay-Server-Load", "0,0,8");
        response.prepare_payload();
        co_await http::async_write(socket, response, c_tuple);
    }

    asio::io_context& m_context;
    Store& m_store;
    std::uint64_t m_identity;
    std::string m_service;
    std::string m_zone;
    std::uint32_t m_address;
    std::uint64_t m_born;
    bool m_isDraining = false;
    std::uint64_t m_heartbeats = 0;
    std::function<void(std::uint16_t)> m_openingListener;
    std::function<bool(std::uint16_t)> m_losesAnswer;
    udp::socket m_packets;
    tcp::acceptor m_health;
    std::map<std::pair<std::uint32_t, std::uint16_t>, Flow> m_flows;
};

// The routers: a node of the caller's zone by a hash over the nodes in rotation.

class Routers {
public:
    Routers(asio::io_context& context, std::vector<std::string> zones)
        : m_context(context)
    {
        for (std::size_t i = 0; i < zones.size(); ++i)
            m_nodes.push_back({ address(1, static_cast<std::uint32_t>(i + 1)), zones[i] });
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            asio::co_spawn(context, probe(i), asio::detached);
    }

    std::size_t inRotation() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_nodes.begin(), m_nodes.end(), [](const Node& node) { return node.m_isInRotation; }));
    }

    udp::endpoint select(const std::string& zone, std::uint32_t source, std::uint16_t port) const
    {
        std::vector<std::uint32_t> zoneNodes;
        std::vector<std::uint32_t> ready;
        std::vector<std::uint32_t> others;
        for (const Node& node : m_nodes) {
            if (node.m_zone != zone) {
                if (node.m_isInRotation)
                    others.push_back(node.m_address);
                continue;
            }
            zoneNodes.push_back(node.m_address);
            if (node.m_isInRotation)
                ready.push_back(node.m_address);
        }
        const std::vector<std::uint32_t>& used
            = ready.empty() ? (others.empty() ? zoneNodes : others) : 2 * ready.size() < zoneNodes.size() ? zoneNodes : ready;
        const std::uint64_t hash = (source * 0x9e3779b97f4a7c15ULL) ^ (port * 0xc2b2ae3d27d4eb4fULL);
        return { asio::ip::address_v4 { used[(hash >> 33U) % used.size()] }, c_packetsPort };
    }

private:
    struct Node {
        std::uint32_t m_address;
        std::string m_zone;
        bool m_isInRotation = false;
        int m_misses = 0;
    };

    awaitable<bool> isReady(std::uint32_t node)
    {
        beast::tcp_stream stream { m_context };
        stream.expires_after(milliseconds { 400 });
        const auto [unreachable]
            = co_await stream.async_connect(tcp::endpoint { asio::ip::address_v4 { node }, c_readyPort }, c_tuple);
        if (unreachable)
            co_return false;
        http::request<http::empty_body> request { http::verb::get, "/readiness", 11 };
        request.set(http::field::host, name(node));
        const auto [unsent, sent] = co_await http::async_write(stream, request, c_tuple);
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        const auto [unread, size] = co_await http::async_read(stream, buffer, response, c_tuple);
        co_return !unsent && !unread && response.result() == http::status::ok;
    }

    awaitable<void> probe(std::size_t index)
    {
        for (;;) {
            const bool ready = co_await isReady(m_nodes[index].m_address);
            Node& node = m_nodes[index];
            node.m_misses = ready ? 0 : node.m_misses + 1;
            const bool isIn = ready || (node.m_isInRotation && node.m_misses < 2);
            if (isIn != node.m_isInRotation)
                record("routers: node %s is %s rotation", name(node.m_address).c_str(), isIn ? "in" : "out of");
            node.m_isInRotation = isIn;
            co_await sleepFor(milliseconds { 500 });
        }
    }

    asio::io_context& m_context;
    std::vector<Node> m_nodes;
};

// Callers: each holds one flow open for many requests.

constexpr std::uint16_t c_feedsPort = 8'443;
constexpr std::uint16_t c_droppedPort = 8'444; ///< of the route that a configuration drops or adds

struct CallerFlow {
    std::uint16_t m_port = 0;
    std::uint16_t m_servicePort = c_feedsPort;
    std::string m_zone;
    std::uint32_t m_sequence = 0;
    std::uint32_t m_acknowledgment = 0;
    std::uint32_t m_echo = 0; ///< the last one received on the flow
    std::uint32_t m_hostSequence = 0; ///< of the SYN+ACK that opened the flow
    bool m_isOpen = false;
    bool m_isEnded = false;
    bool m_isSingle = false; ///< for one request
    steady_clock::time_point m_openedAt {}; ///< when the first opening packet was sent
    std::uint32_t m_node = 0; ///< that got the first opening packet
    std::uint32_t m_lastNode = 0; ///< that got the last packet
    std::string m_waitsFor; ///< request without an answer yet
    std::uint32_t m_answered = 0;
};

class Callers {
public:
    /// Called for each reset that a caller accepts; isOwn: of the system.
    using ResetListener = std::function<void(const CallerFlow&, bool isOwn)>;

    Callers(asio::io_context& context, const Routers& routers, std::uint32_t serviceAddress)
        : m_context(context)
        , m_routers(routers)
        , m_service(serviceAddress)
        , m_socket(context, { asio::ip::address_v4 { address(2, 1) }, c_packetsPort })
    {
        asio::co_spawn(context, receive(), asio::detached);
    }

    std::uint32_t own() const { return address(2, 1); }
    std::map<std::uint16_t, CallerFlow>& flows() { return m_flows; }
    void onReset(ResetListener listener) { m_listener = std::move(listener); }

    void open(std::uint16_t port, std::string zone, milliseconds pause, std::uint16_t servicePort = c_feedsPort)
    {
        CallerFlow& flow = m_flows[port];
        flow.m_servicePort = servicePort;
        flow.m_port = port;
        flow.m_zone = std::move(zone);
        flow.m_sequence = 1'000U * port;
        flow.m_openedAt = steady_clock::now();
        flow.m_node = m_routers.select(flow.m_zone, own(), port).address().to_v4().to_uint();
        asio::co_spawn(m_context, run(port, pause), asio::detached);
    }

    /// Opens a flow for one request.
    void openOnce(std::uint16_t port, std::string zone, std::uint16_t servicePort = c_feedsPort)
    {
        m_flows[port].m_isSingle = true;
        open(port, std::move(zone), milliseconds { 0 }, servicePort);
    }

    void stop() { m_isStopping = true; }

private:
    awaitable<void> run(std::uint16_t port, milliseconds pause)
    {
        CallerFlow& flow = m_flows[port];
        constexpr std::array<int, 3> waits { 200, 400, 800 };
        steady_clock::time_point deadline = steady_clock::now();
        for (std::uint32_t copy = 0; copy < waits.size() && !flow.m_isOpen && !flow.m_isEnded; ++copy) {
            send(flow, c_syn, flow.m_sequence, copy, {});
            deadline += milliseconds { waits[copy] };
            while (steady_clock::now() < deadline && !flow.m_isOpen && !flow.m_isEnded)
                co_await sleepUntil(std::min(deadline, steady_clock::now() + milliseconds { 5 }));
        }
        for (unsigned number = 0; flow.m_isOpen && !flow.m_isEnded && !m_isStopping; ++number) {
            const std::string request = text("request %u#%u", port, number);
            flow.m_waitsFor = request;
            record("caller: flow %u sends %s", port, request.c_str());
            int wait = 200;
            for (int tries = 0; tries < 5 && !flow.m_waitsFor.empty() && !flow.m_isEnded; ++tries) {
                send(flow, c_ack, flow.m_sequence, flow.m_acknowledgment, request);
                for (int waited = 0; waited < wait && !flow.m_waitsFor.empty() && !flow.m_isEnded; waited += 5)
                    co_await sleepFor(milliseconds { 5 });
                wait = std::min(2 * wait, 1'600);
            }
            if (!flow.m_waitsFor.empty()) {
                record("caller: flow %u has no answer to %s", port, request.c_str());
                co_return;
            }
            flow.m_sequence += static_cast<std::uint32_t>(request.size());
            if (flow.m_isSingle)
                break;
            send(flow, c_ack, flow.m_sequence, flow.m_acknowledgment, {});
            co_await sleepFor(pause);
        }
        if (flow.m_isOpen && !flow.m_isEnded)
            send(flow, c_ack | c_fin, flow.m_sequence, flow.m_acknowledgment, {});
    }

    awaitable<void> receive()
    {
        std::array<std::uint8_t, 2'048> bytes;
        for (;;) {
            udp::endpoint sender;
            const auto [error, size] = co_await m_socket.async_receive_from(asio::buffer(bytes), sender, c_tuple);
            if (error)
                continue;
            const std::optional<Packet> packet = decode(bytes.data(), size);
            if (!packet || !m_flows.contains(packet->m_destinationPort))
                continue;
            accept(m_flows[packet->m_destinationPort], *packet);
        }
    }

    void accept(CallerFlow& flow, const Packet& packet)
    {
        const bool isReset = (packet.m_flags & c_rst) != 0;
        const bool isOwn = isReset && !packet.m_hasSum;
        if (!isOwn && !packet.m_isIntact) {
            record("caller: flow %u MIXED: a packet that its sender did not write", flow.m_port);
            return;
        }
        if (flow.m_isEnded)
            return;
        if (isReset) {
            const std::int32_t distance = static_cast<std::int32_t>(packet.m_sequence - flow.m_acknowledgment);
            if (flow.m_isOpen && std::abs(distance) > static_cast<std::int32_t>(c_resetWindow))
                return;
            flow.m_isEnded = true;
            record("caller: flow %u gets a reset of %s", flow.m_port, isOwn ? "the system" : "a host");
            if (m_listener)
                m_listener(flow, isOwn);
            return;
        }
        flow.m_echo = packet.m_echo;
        if ((packet.m_flags & c_syn) != 0) {
            if (flow.m_isOpen) {
                // Its own host has not got the acknowledgement; another host's answer came too late.
                if (packet.m_sequence == flow.m_hostSequence)
                    send(flow, c_ack, flow.m_sequence, flow.m_acknowledgment, {});
                return;
            }
            flow.m_isOpen = true;
            flow.m_hostSequence = packet.m_sequence;
            ++flow.m_sequence;
            flow.m_acknowledgment = packet.m_sequence + 1;
            send(flow, c_ack, flow.m_sequence, flow.m_acknowledgment, {});
            return;
        }
        if (packet.m_data.empty() || packet.m_sequence != flow.m_acknowledgment)
            return;
        flow.m_acknowledgment += static_cast<std::uint32_t>(packet.m_data.size());
        record("caller: flow %u gets \"%s\"", flow.m_port, packet.m_data.c_str());
        if (!flow.m_waitsFor.empty() && packet.m_data.starts_with(flow.m_waitsFor + " by ")) {
            flow.m_waitsFor.clear();
            ++flow.m_answered;
        }
    }

    void send(CallerFlow& flow, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgment,
        std::string data)
    {
        Packet packet;
        packet.m_flags = flags;
        packet.m_echo = flags == c_syn ? 0 : flow.m_echo;
        packet.m_source = own();
        packet.m_sourcePort = flow.m_port;
        packet.m_destination = m_service;
        packet.m_destinationPort = flow.m_servicePort;
        packet.m_sequence = sequence;
        packet.m_acknowledgment = acknowledgment;
        packet.m_data = std::move(data);
        const udp::endpoint node = m_routers.select(flow.m_zone, own(), flow.m_port);
        flow.m_lastNode = node.address().to_v4().to_uint();
        sendLater(m_socket, encode(packet), node);
    }

    asio::io_context& m_context;
    const Routers& m_routers;
    std::uint32_t m_service;
    udp::socket m_socket;
    std::map<std::uint16_t, CallerFlow> m_flows;
    ResetListener m_listener;
    bool m_isStopping = false;
};

// The ways between the nodes: each node knows the others by their addresses 127.BLOCK.4.NODE.

class NodeWays {
public:
    NodeWays(asio::io_context& context, std::uint32_t nodes)
        : m_context(context)
    {
        for (std::uint32_t node = 1; node <= nodes; ++node) {
            const asio::ip::address_v4 alias { address(4, node) };
            m_datagrams.push_back(std::make_unique<udp::socket>(context, udp::endpoint { alias, c_exchangePort }));
            m_acceptors.push_back(std::make_unique<tcp::acceptor>(context, tcp::endpoint { alias, c_exchangePort }));
        }
        for (std::uint32_t node = 1; node <= nodes; ++node) {
            asio::co_spawn(context, forwardDatagrams(node), asio::detached);
            asio::co_spawn(context, accept(node), asio::detached);
        }
    }

private:
    awaitable<void> forwardDatagrams(std::uint32_t node)
    {
        std::array<char, 2'048> bytes;
        for (;;) {
            udp::endpoint sender;
            const auto [error, size]
                = co_await m_datagrams[node - 1]->async_receive_from(asio::buffer(bytes), sender, c_tuple);
            const std::uint32_t from = error ? 0 : sender.address().to_v4().to_uint() - address(1, 0);
            if (from < 1 || from > m_datagrams.size() || from == node)
                continue;
            boost::system::error_code ignored;
            m_datagrams[from - 1]->send_to(asio::buffer(bytes.data(), size),
                { asio::ip::address_v4 { address(1, node) }, c_exchangePort }, 0, ignored);
        }
    }

    awaitable<void> accept(std::uint32_t node)
    {
        for (;;) {
            auto [error, socket] = co_await m_acceptors[node - 1]->async_accept(c_tuple);
            if (!error)
                asio::co_spawn(m_context, connect(std::move(socket), node), asio::detached);
        }
    }

    awaitable<void> connect(tcp::socket from, std::uint32_t node)
    {
        const auto near = std::make_shared<tcp::socket>(std::move(from));
        const auto far = std::make_shared<tcp::socket>(m_context);
        const auto [error] = co_await far->async_connect(
            tcp::endpoint { asio::ip::address_v4 { address(1, node) }, c_exchangePort }, c_tuple);
        if (error)
            co_return;
        const steady_clock::time_point openedAt = steady_clock::now();
        asio::co_spawn(m_context, forward(far, near, openedAt), asio::detached);
        co_await forward(near, far, openedAt);
    }

    awaitable<void> forward(
        std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to, steady_clock::time_point openedAt)
    {
        std::array<char, 16'384> bytes;
        for (;;) {
            const auto [error, size] = co_await from->async_read_some(asio::buffer(bytes), c_tuple);
            if (error)
                break;
            if (isSilent(openedAt))
                continue;
            const auto [failure, written] = co_await asio::async_write(*to, asio::buffer(bytes.data(), size), c_tuple);
            if (failure)
                break;
        }
        boost::system::error_code ignored;
        to->close(ignored);
        from->close(ignored);
    }

    asio::io_context& m_context;
    std::vector<std::unique_ptr<udp::socket>> m_datagrams;
    std::vector<std::unique_ptr<tcp::acceptor>> m_acceptors;
};

// The scenarios.

constexpr const char* c_feeds = "198.18.0.1";
constexpr std::uint32_t c_feedsAddress = 0xc6120001;

void writeConfiguration(Store& store, unsigned version, bool withSecondRoute)
{
    const auto route = [](const char* routeName, std::uint16_t port, const char* type) {
        return text("{\"Name\":\"%s\",\"Host\":\"%s\",\"PathPrefix\":\"/%u/\",\"Type\":\"%s\",\"TimeoutMs\":%u,"
                    "\"TargetLatencyMs\":120,\"Priority\":2,\"Service\":\"feeds\",\"MaxAttempts\":2}",
            routeName, c_feeds, port, type, 1'000U);
    };
    std::string routes = route("r-feeds", c_feedsPort, "safe");
    if (withSecondRoute)
        routes += "," + route("r-second", c_droppedPort, "unsafe");
    store.put("config", "main",
        text("{\"Version\":%u,\"Routes\":[%s],\"Services\":[{\"Name\":\"feeds\",\"HealthPath\":\"/health\","
             "\"MaxConns\":2000,\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,"
             "\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}",
            version, routes.c_str()));
}

constexpr int c_otherBlock = 3; ///< exit status: the nodes' ranks don't fit, or an address is taken; another block may do

struct World {
    asio::io_context m_context { 1 };
    std::vector<std::string> m_zones; ///< of the nodes
    Store m_store;
    NodeWays m_ways;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::optional<Routers> m_routers;
    std::optional<Callers> m_callers;
    int m_status = 2;
    std::uint64_t m_breaks = 0;

    explicit World(std::vector<std::string> zones)
        : m_zones(std::move(zones))
        , m_store(m_context, static_cast<std::uint32_t>(m_zones.size()))
        , m_ways(m_context, static_cast<std::uint32_t>(m_zones.size()))
    {
    }
};

/// Another writer's entry, of a service that no configuration names, with the address of a live backend server.
awaitable<void> playStrayEntry(World& world, bool withTrouble)
{
    Callers& callers = *world.m_callers;
    callers.onReset([&world](const CallerFlow& flow, bool isOwn) {
        const bool isHeld = std::any_of(world.m_hosts.begin(), world.m_hosts.end(),
            [&](const auto& host) { return host->holds(world.m_callers->own(), flow.m_port); });
        if (!isOwn || !isHeld)
            return;
        ++world.m_breaks;
        record("FLOW broken: flow %u gets a reset that its host did not send; the host lives and holds the flow",
            flow.m_port);
    });
    const std::array<const char*, 3> zones { "a", "b", "c" };
    for (std::uint16_t i = 0; i < 24; ++i)
        callers.open(static_cast<std::uint16_t>(40'001 + i), zones[i % 3], milliseconds { 250 });
    co_await sleepFor(milliseconds { 6'000 });
    const auto answeredFlows = std::count_if(callers.flows().begin(), callers.flows().end(),
        [](const auto& flow) { return flow.second.m_answered > 0; });
    if (answeredFlows < 20) {
        record("only %d of 24 flows are open: the case cannot run", static_cast<int>(answeredFlows));
        world.m_context.stop();
        co_return;
    }
    if (withTrouble) {
        const Host& host = *world.m_hosts.front();
        record("another writer: entry i-00000051aa of the service \"staging\", at %s, the address of %s",
            host.addressText().c_str(), host.id().c_str());
        world.m_store.put("servers", "i-00000051aa",
            text("{\"Service\":\"staging\",\"Address\":\"%s\",\"Zone\":\"%s\",\"Version\":\"v1\",\"Slots\":2,"
                 "\"State\":\"ready\",\"WarmupLeftMs\":0,\"Seq\":1,\"born\":%llu}",
                host.addressText().c_str(), host.zone().c_str(), static_cast<unsigned long long>(unixMs())));
    }
    co_await sleepFor(milliseconds { 10'000 });
    callers.stop();
    co_await sleepFor(milliseconds { 500 });
    std::size_t served = 0;
    for (const auto& [port, flow] : callers.flows())
        served += flow.m_answered;
    record("%zu requests answered, %llu flows reset by the system while their host held them", served,
        static_cast<unsigned long long>(world.m_breaks));
    world.m_status = world.m_breaks > 0 ? 1 : 0;
    world.m_context.stop();
}

/// The network loses one datagram, the answer to an opening packet, of each of four flows that stay open with pauses.
awaitable<void> playLostAnswer(World& world, bool withTrouble)
{
    Callers& callers = *world.m_callers;
    callers.onReset([&world](const CallerFlow& flow, bool isOwn) {
        const auto holder = std::find_if(world.m_hosts.begin(), world.m_hosts.end(),
            [&](const auto& host) { return host->holds(world.m_callers->own(), flow.m_port); });
        if (holder == world.m_hosts.end())
            return;
        ++world.m_breaks;
        record("FLOW broken: flow %u is open at %s, which lives and has not sent the reset that its caller gets from %s",
            flow.m_port, (*holder)->id().c_str(), isOwn ? "the system" : "another host");
    });
    std::set<std::uint16_t> struck;
    if (withTrouble)
        struck = { 40'004, 40'008, 40'012, 40'016 };
    for (const auto& host : world.m_hosts)
        host->onAnswer([&struck](std::uint16_t port) { return struck.erase(port) > 0; });
    const std::array<const char*, 3> zones { "a", "b", "c" };
    for (std::uint16_t i = 1; i <= 18; ++i) {
        callers.open(static_cast<std::uint16_t>(40'000 + i), zones[i % 3], milliseconds { 11'000 });
        co_await sleepFor(milliseconds { 500 });
    }
    co_await sleepFor(milliseconds { 26'000 });
    callers.stop();
    std::size_t served = 0;
    for (const auto& [port, flow] : callers.flows())
        served += flow.m_answered;
    record("%llu datagrams of callers and backend servers, %zu lost", static_cast<unsigned long long>(g_datagrams),
        withTrouble ? 4 - struck.size() : 0);
    record("%zu requests answered on %zu flows, %llu flows broken", served, callers.flows().size(),
        static_cast<unsigned long long>(world.m_breaks));
    world.m_status = world.m_breaks > 0 ? 1 : 0;
    world.m_context.stop();
}

/// The open connections of all machines go silent while a backend server is replaced.
awaitable<void> playSilentConnections(World& world, bool withTrouble)
{
    // Nodes 1 and 2 are in zone a. One of them follows the store for both.
    std::array<int, 4> seen {};
    for (int i = 0; i < 100; ++i) {
        co_await sleepFor(milliseconds { 50 });
        for (std::uint32_t node = 1; node <= 3; ++node)
            seen[node] += world.m_store.waitingSince(node) ? 1 : 0;
    }
    record("of 100 looks, nodes 1, 2 and 3 watched the store at %d, %d and %d", seen[1], seen[2], seen[3]);
    const std::uint32_t reader = seen[1] > seen[2] ? 1 : 2;
    const std::uint32_t other = 3 - reader;
    if (seen[reader] < 90 || seen[other] > 0) {
        world.m_status = c_otherBlock;
        world.m_context.stop();
        co_return;
    }
    Callers& callers = *world.m_callers;
    asio::co_spawn(
        world.m_context,
        [&world]() -> awaitable<void> {
            for (std::uint16_t i = 0; i < 1'000; ++i) {
                world.m_callers->openOnce(static_cast<std::uint16_t>(41'000 + i), i % 5 == 4 ? "b" : "a");
                co_await sleepFor(milliseconds { 10 });
            }
        },
        asio::detached);
    co_await sleepFor(milliseconds { 1'000 });
    // A release: the new backend server starts first, then the old one drains.
    world.m_hosts.push_back(std::make_unique<Host>(
        world.m_context, world.m_store, 0x7f3a91ffffULL, "feeds", "a", address(3, 7)));
    record("release: %s starts in zone a", world.m_hosts.back()->id().c_str());
    co_await sleepFor(milliseconds { 200 });
    Host& old = *world.m_hosts.front();
    old.drain();
    const steady_clock::time_point drainedAt = steady_clock::now();
    record("release: the store has accepted that %s is draining", old.id().c_str());
    co_await sleepFor(milliseconds { 100 });
    const steady_clock::time_point silentAt = steady_clock::now();
    if (withTrouble) {
        g_silentSince = silentAt;
        record("all open connections go silent; new ones work");
    }
    old.onOpening([&world, silentAt, drainedAt, withTrouble](std::uint16_t port) {
        const CallerFlow& flow = world.m_callers->flows()[port];
        const double after = std::chrono::duration<double>(steady_clock::now() - drainedAt).count();
        const double sent = std::chrono::duration<double>(flow.m_openedAt - silentAt).count();
        const bool isInTouch = !withTrouble || sent > 4.0; // StableWindowMs
        record("draining host: takes the opening packet of flow %u, %.3f s after the store's acknowledgement, sent %.3f s "
               "after the silence began, through node %s",
            port, after, sent, name(flow.m_node).c_str());
        if (after > 3.0 && isInTouch) {
            ++world.m_breaks;
            record("DRAIN broken: flow %u", port);
        }
    });
    co_await sleepFor(milliseconds { 7'500 });
    callers.stop();
    std::size_t served = 0;
    for (const auto& [port, flow] : callers.flows())
        served += flow.m_answered;
    record("%zu requests answered, %llu flows reached the draining backend server too late", served,
        static_cast<unsigned long long>(world.m_breaks));
    world.m_status = world.m_breaks > 0 ? 1 : 0;
    world.m_context.stop();
}

/// The node that follows the store for its zone is partitioned from the store.
awaitable<void> playReaderCut(World& world, bool withTrouble)
{
    // Nodes 1 to 4 are in zone a, node 5 is alone in the quiet zone b.
    std::array<int, 5> seen {};
    for (int i = 0; i < 100; ++i) {
        co_await sleepFor(milliseconds { 50 });
        for (std::uint32_t node = 1; node <= 4; ++node)
            seen[node] += world.m_store.waitingSince(node) ? 1 : 0;
    }
    const std::uint32_t reader = static_cast<std::uint32_t>(std::max_element(seen.begin() + 1, seen.end()) - seen.begin());
    record("of 100 looks, nodes 1 to 4 watched the store at %d, %d, %d and %d", seen[1], seen[2], seen[3], seen[4]);
    if (seen[reader] < 90) {
        world.m_context.stop();
        co_return;
    }
    Callers& callers = *world.m_callers;
    asio::co_spawn(
        world.m_context,
        [&world]() -> awaitable<void> {
            for (std::uint16_t i = 0; i < 900; ++i) {
                world.m_callers->openOnce(
                    static_cast<std::uint16_t>(41'000 + i), "a", i % 2 == 0 ? c_feedsPort : c_droppedPort);
                co_await sleepFor(milliseconds { 10 });
            }
        },
        asio::detached);
    co_await sleepFor(milliseconds { 1'000 });
    // A release and two changes of the configuration, half a second apart.
    world.m_hosts.push_back(std::make_unique<Host>(
        world.m_context, world.m_store, 0x7f3a91ffffULL, "feeds", "a", address(3, 7)));
    writeConfiguration(world.m_store, 8, true);
    record("release: %s starts in zone a; version 8 of the configuration is accepted", world.m_hosts.back()->id().c_str());
    co_await sleepFor(milliseconds { 100 });
    for (int waited = 0; waited < 2'000; waited += 5) {
        if (world.m_store.waitingSince(reader, "servers") && world.m_store.waitingSince(reader, "config"))
            break;
        co_await sleepFor(milliseconds { 5 });
    }
    co_await sleepFor(milliseconds { 20 });
    if (withTrouble) {
        world.m_store.cut(reader);
        record("node %u is partitioned from the store", reader);
    }
    co_await sleepFor(milliseconds { 100 });
    Host& old = *world.m_hosts.front();
    old.drain();
    writeConfiguration(world.m_store, 9, false);
    const steady_clock::time_point acceptedAt = steady_clock::now();
    record("the store has accepted that %s is draining, and version 9, which drops the route of port %u", old.id().c_str(),
        c_droppedPort);
    for (const auto& host : world.m_hosts) {
        host->onOpening([&world, acceptedAt, reader, withTrouble, host = host.get(), old = &old](std::uint16_t port) {
            const CallerFlow& flow = world.m_callers->flows()[port];
            const double arrived = std::chrono::duration<double>(steady_clock::now() - acceptedAt).count();
            const double sent = std::chrono::duration<double>(flow.m_openedAt - acceptedAt).count();
            const bool isDropped = flow.m_servicePort == c_droppedPort;
            if (sent < 0 || (host != old && !isDropped))
                return;
            record("%s takes the opening packet of flow %u of the %s route, sent %.3f s and arrived %.3f s after the "
                   "acknowledgement, through node %s",
                host->id().c_str(), port, isDropped ? "dropped" : "kept", sent, arrived, name(flow.m_node).c_str());
            if (withTrouble && flow.m_node == address(1, reader))
                return; // not in touch
            if (host == old && arrived > 3.0)
                record("DRAIN broken: flow %u", port);
            if (isDropped && sent > 3.0)
                record("CONFIG broken: flow %u", port);
            if ((host == old && arrived > 3.0) || (isDropped && sent > 3.0))
                ++world.m_breaks;
        });
    }
    co_await sleepFor(milliseconds { 5'400 });
    world.m_store.heal(reader);
    co_await sleepFor(milliseconds { 1'000 });
    callers.stop();
    std::size_t served = 0;
    for (const auto& [port, flow] : callers.flows())
        served += flow.m_answered;
    record("%zu requests answered, %llu flows were handled too late as before", served,
        static_cast<unsigned long long>(world.m_breaks));
    world.m_status = world.m_breaks > 0 ? 1 : 0;
    world.m_context.stop();
}

/// Stops a node as the platform does; run-case.sh starts it again.
void terminate(std::uint32_t node)
{
    const char* const folder = std::getenv("CASE_FOLDER");
    std::FILE* const file = folder ? std::fopen(text("%s/vm-%u.pid", folder, node).c_str(), "r") : nullptr;
    int pid = 0;
    if (file && std::fscanf(file, "%d", &pid) == 1 && pid > 1)
        kill(pid, SIGTERM);
    if (file)
        std::fclose(file);
    record("node %u gets SIGTERM", node);
}

/// A route is added and the node of the second zone is restarted while the first zone's reader is partitioned.
awaitable<void> playNewRoute(World& world, bool withTrouble)
{
    std::array<int, 5> seen {};
    for (int i = 0; i < 100; ++i) {
        co_await sleepFor(milliseconds { 50 });
        for (std::uint32_t node = 1; node <= 4; ++node)
            seen[node] += world.m_store.waitingSince(node) ? 1 : 0;
    }
    const std::uint32_t reader = static_cast<std::uint32_t>(std::max_element(seen.begin() + 1, seen.end()) - seen.begin());
    record("of 100 looks, nodes 1 to 4 watched the store at %d, %d, %d and %d", seen[1], seen[2], seen[3], seen[4]);
    if (seen[reader] < 90) {
        world.m_context.stop();
        co_return;
    }
    Callers& callers = *world.m_callers;
    callers.onReset([&world, reader, withTrouble](const CallerFlow& flow, bool isOwn) {
        const bool isHeld = std::any_of(world.m_hosts.begin(), world.m_hosts.end(),
            [&](const auto& host) { return host->holds(world.m_callers->own(), flow.m_port); });
        if (!isOwn || !isHeld || (withTrouble && flow.m_lastNode == address(1, reader)))
            return;
        ++world.m_breaks;
        record("FLOW broken: flow %u, whose last packet went to node %s, gets a reset that its host did not send; the host "
               "lives and holds the flow",
            flow.m_port, name(flow.m_lastNode).c_str());
    });
    world.m_hosts.push_back(std::make_unique<Host>(
        world.m_context, world.m_store, 0x7f3a91ffffULL, "feeds", "a", address(3, 7)));
    writeConfiguration(world.m_store, 8, false);
    record("%s starts in zone a; version 8 of the configuration is accepted", world.m_hosts.back()->id().c_str());
    co_await sleepFor(milliseconds { 100 });
    for (int waited = 0; waited < 2'000; waited += 5) {
        if (world.m_store.waitingSince(reader, "servers") && world.m_store.waitingSince(reader, "config"))
            break;
        co_await sleepFor(milliseconds { 5 });
    }
    co_await sleepFor(milliseconds { 20 });
    if (withTrouble) {
        world.m_store.cut(reader);
        record("node %u is partitioned from the store", reader);
    }
    co_await sleepFor(milliseconds { 100 });
    writeConfiguration(world.m_store, 9, true);
    record("the store has accepted version 9, which adds the route of port %u", c_droppedPort);
    co_await sleepFor(milliseconds { 100 });
    for (std::uint16_t i = 1; i <= 8; ++i)
        callers.open(static_cast<std::uint16_t>(40'000 + i), "b", milliseconds { 400 }, c_droppedPort);
    co_await sleepFor(milliseconds { 200 });
    terminate(5);
    co_await sleepFor(milliseconds { 5'000 });
    world.m_store.heal(reader);
    co_await sleepFor(milliseconds { 2'000 });
    callers.stop();
    co_await sleepFor(milliseconds { 500 });
    std::size_t served = 0;
    for (const auto& [port, flow] : callers.flows())
        served += flow.m_answered;
    record("%zu requests answered on %zu flows, %llu flows broken", served, callers.flows().size(),
        static_cast<unsigned long long>(world.m_breaks));
    world.m_status = served < 8 ? 2 : world.m_breaks > 0 ? 1 : 0;
    world.m_context.stop();
}

awaitable<void> play(World& world, std::string scenario, bool withTrouble, std::size_t nodes)
{
    for (int waited = 0; world.m_routers->inRotation() < nodes; waited += 100) {
        if (waited > 15'000) {
            record("not all nodes are in rotation: the case cannot run");
            world.m_context.stop();
            co_return;
        }
        co_await sleepFor(milliseconds { 100 });
    }
    co_await sleepFor(milliseconds { 4'500 });
    if (scenario == "stray-entry")
        co_await playStrayEntry(world, withTrouble);
    if (scenario == "silent-connections")
        co_await playSilentConnections(world, withTrouble);
    if (scenario == "lost-answer")
        co_await playLostAnswer(world, withTrouble);
    if (scenario == "new-route")
        co_await playNewRoute(world, withTrouble);
    if (scenario == "reader-cut")
        co_await playReaderCut(world, withTrouble);
}

int main(int argc, char** argv)
{
    if (argc < 6) {
        std::fprintf(stderr, "usage: standin SCENARIO BLOCK TROUBLE RECORD ZONE-OF-NODE...\n");
        return 2;
    }
    const std::string scenario = argv[1];
    g_block = static_cast<std::uint32_t>(std::stoul(argv[2]));
    const bool withTrouble = std::string { argv[3] } != "0";
    g_record = std::fopen(argv[4], "w");
    if (!g_record)
        return 2;
    try {
        std::vector<std::string> zones;
        for (int i = 5; i < argc; ++i)
            zones.emplace_back(argv[i]);
        World world { zones };
        writeConfiguration(world.m_store, 7, scenario != "new-route");
        std::vector<std::string> hostZones = zones;
        hostZones.erase(std::unique(hostZones.begin(), hostZones.end()), hostZones.end());
        for (std::uint32_t i = 0; i < 6; ++i)
            world.m_hosts.push_back(std::make_unique<Host>(
                world.m_context, world.m_store, 0x7f3a910000ULL + 0x101 * i, "feeds",
                hostZones[i % hostZones.size()], address(3, i + 1)));
        world.m_routers.emplace(world.m_context, zones);
        world.m_callers.emplace(world.m_context, *world.m_routers, c_feedsAddress);
        asio::co_spawn(world.m_context, play(world, scenario, withTrouble, zones.size()), asio::detached);
        world.m_context.run();
        return world.m_status;
    } catch (const std::exception& failure) {
        record("%s", failure.what());
        return c_otherBlock; // an address is taken
    }
}
