#pragma once

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

/// Milliseconds since the start of the program.
inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

inline std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

/// An address and a port in host order.
struct Address {
    std::uint32_t m_ip = 0;
    std::uint16_t m_port = 0;

    friend auto operator<=>(const Address&, const Address&) = default;
};

inline std::string ipText(std::uint32_t ip)
{
    char text[32];
    std::snprintf(text, sizeof text, "%u.%u.%u.%u", ip >> 24, (ip >> 16) & 255, (ip >> 8) & 255, ip & 255);
    return text;
}

inline std::string text(Address address)
{
    return ipText(address.m_ip) + ":" + std::to_string(address.m_port);
}

inline sockaddr_in systemAddress(Address address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address.m_ip);
    result.sin_port = htons(address.m_port);
    return result;
}

/// A case that cannot run ends the program with 2.
[[noreturn]] inline void cannotRun(const std::string& why)
{
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::exit(2);
}

inline int openSocket(int type, Address address)
{
    const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM)
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in system = systemAddress(address);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&system), sizeof system) != 0)
        cannotRun("bind " + text(address) + ": " + std::strerror(errno));
    if (type == SOCK_STREAM && listen(fd, 256) != 0)
        cannotRun("listen " + text(address));
    return fd;
}

/// One thread: sockets and timers.
class Loop {
public:
    void watch(int fd, std::function<void()> onReadable) { m_readers[fd] = std::move(onReadable); }
    void forget(int fd) { m_readers.erase(fd); }

    void at(double time, std::function<void()> action) { m_timers.emplace(time, std::move(action)); }
    void after(double milliseconds, std::function<void()> action) { at(now() + milliseconds, std::move(action)); }

    void runUntil(double end)
    {
        while (now() < end) {
            while (!m_timers.empty() && m_timers.begin()->first <= now()) {
                std::function<void()> action = std::move(m_timers.begin()->second);
                m_timers.erase(m_timers.begin());
                action();
            }
            std::vector<pollfd> polled;
            for (const auto& [fd, reader] : m_readers)
                polled.push_back({ fd, POLLIN, 0 });
            double wait = end - now();
            if (!m_timers.empty())
                wait = std::min(wait, m_timers.begin()->first - now());
            if (poll(polled.data(), polled.size(), wait <= 0 ? 0 : static_cast<int>(wait) + 1) <= 0)
                continue;
            for (const pollfd& entry : polled) {
                if (entry.revents == 0)
                    continue;
                const auto reader = m_readers.find(entry.fd);
                if (reader != m_readers.end()) {
                    const std::function<void()> action = reader->second;
                    action();
                }
            }
        }
    }

private:
    std::map<int, std::function<void()>> m_readers;
    std::multimap<double, std::function<void()>> m_timers;
};

} // namespace review
