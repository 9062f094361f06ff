#pragma once

#include "Loop.h"

#include <memory>
#include <optional>

namespace review {

/// The platform's store: objects by kind and name, pages, watches, eras. It serves GET only; the relay makes no other
/// call. Hosts and the operator write by put and remove.
class Store {
public:
    Store(Loop& loop, Address address)
        : m_loop(loop)
        , m_listener(openSocket(SOCK_STREAM, address))
    {
        m_loop.watch(m_listener, [this] { accept(); });
    }

    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const auto known = m_content.m_objects[kind].find(name);
        if (known != m_content.m_objects[kind].end() && known->second.m_spec == spec)
            return; // changes nothing
        const std::uint64_t revision = ++m_content.m_revision;
        m_content.m_objects[kind][name] = { spec, revision };
        record(kind, false, objectText(name, { spec, revision }));
    }

    void remove(const std::string& kind, const std::string& name)
    {
        const auto known = m_content.m_objects[kind].find(name);
        if (known == m_content.m_objects[kind].end())
            return;
        ++m_content.m_revision;
        record(kind, true, objectText(name, known->second));
        m_content.m_objects[kind].erase(known);
    }

    bool has(const std::string& kind, const std::string& name) { return m_content.m_objects[kind].contains(name); }

    /// Down: connections are closed and new ones refused by a close.
    void setDown(bool down)
    {
        m_isDown = down;
        if (down)
            closeAll();
    }
    bool isDown() const { return m_isDown; }

    /// Answers leave this much later.
    void setDelay(double milliseconds) { m_delay = milliseconds; }

    void takeCopy() { m_copy = m_content; }

    /// Comes back from the copy, in a new era.
    void restoreCopy()
    {
        m_content = *m_copy;
        ++m_era;
        closeAll();
    }

private:
    struct Object {
        std::string m_spec;
        std::uint64_t m_revision = 0;
    };
    struct Event {
        std::uint64_t m_revision = 0;
        std::string m_kind;
        std::string m_text;
    };
    struct Content {
        std::map<std::string, std::map<std::string, Object>> m_objects;
        std::vector<Event> m_events;
        std::uint64_t m_revision = 100;
    };
    struct Connection {
        int m_fd = -1;
        std::string m_input;
        bool m_isWaiting = false;
        std::string m_kind;
        std::uint64_t m_afterRevision = 0;
        bool m_isClosed = false;
    };

    static std::string objectText(const std::string& name, const Object& object)
    {
        return "{\"meta\":{\"Name\":\"" + name + "\",\"Revision\":" + std::to_string(object.m_revision)
            + ",\"CreateRevision\":1,\"Finalizers\":[],\"Deleting\":false},\"spec\":" + object.m_spec
            + ",\"status\":null}";
    }

    void record(const std::string& kind, bool isRemoved, const std::string& object)
    {
        m_content.m_events.push_back({ m_content.m_revision, kind,
            std::string { "{\"Removed\":" } + (isRemoved ? "true" : "false") + ",\"Object\":" + object + "}" });
        for (const std::shared_ptr<Connection>& connection : std::vector { m_connections }) {
            if (connection->m_isWaiting && connection->m_kind == kind)
                answerWatch(connection);
        }
    }

    void closeAll()
    {
        for (const std::shared_ptr<Connection>& connection : std::vector { m_connections })
            close(connection);
    }

    void close(const std::shared_ptr<Connection>& connection)
    {
        if (connection->m_isClosed)
            return;
        connection->m_isClosed = true;
        m_loop.forget(connection->m_fd);
        ::close(connection->m_fd);
        std::erase(m_connections, connection);
    }

    void accept()
    {
        const int fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        if (m_isDown) {
            ::close(fd);
            return;
        }
        const auto connection = std::make_shared<Connection>();
        connection->m_fd = fd;
        m_connections.push_back(connection);
        m_loop.watch(fd, [this, connection] { read(connection); });
    }

    void read(const std::shared_ptr<Connection>& connection)
    {
        char bytes[8192];
        const ssize_t size = recv(connection->m_fd, bytes, sizeof bytes, 0);
        if (size < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (size <= 0) {
            close(connection);
            return;
        }
        connection->m_input.append(bytes, static_cast<std::size_t>(size));
        const std::size_t end = connection->m_input.find("\r\n\r\n");
        if (end == std::string::npos)
            return;
        const std::string line = connection->m_input.substr(0, connection->m_input.find("\r\n"));
        connection->m_input.erase(0, end + 4);
        const std::size_t first = line.find(' ');
        serve(connection, line.substr(first + 1, line.rfind(' ') - first - 1));
    }

    static std::string parameter(const std::string& target, const std::string& key)
    {
        const std::size_t found = target.find(key + "=");
        if (found == std::string::npos)
            return {};
        const std::size_t begin = found + key.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    void serve(const std::shared_ptr<Connection>& connection, const std::string& target)
    {
        const std::string prefix = "/objects/";
        const std::string kind = target.substr(prefix.size(), target.find('?') - prefix.size());
        const std::string watched = parameter(target, "Watch");
        if (watched.empty()) {
            respond(connection, 200, page(kind, parameter(target, "after")));
            return;
        }
        connection->m_kind = kind;
        connection->m_afterRevision = std::stoull(watched);
        if (connection->m_afterRevision > m_content.m_revision) {
            respond(connection, 410, "{}");
            return;
        }
        const std::string wait = parameter(target, "WaitMs");
        connection->m_isWaiting = true;
        if (hasEvents(*connection) || wait.empty() || wait == "0") {
            answerWatch(connection);
            return;
        }
        const std::uint64_t call = ++m_calls;
        m_waits[connection.get()] = call;
        m_loop.after(std::stod(wait), [this, connection, call] {
            if (connection->m_isWaiting && !connection->m_isClosed && m_waits[connection.get()] == call)
                answerWatch(connection);
        });
    }

    bool hasEvents(const Connection& connection) const
    {
        for (const Event& event : m_content.m_events) {
            if (event.m_kind == connection.m_kind && event.m_revision > connection.m_afterRevision)
                return true;
        }
        return false;
    }

    void answerWatch(const std::shared_ptr<Connection>& connection)
    {
        connection->m_isWaiting = false;
        std::string events;
        for (const Event& event : m_content.m_events) {
            if (event.m_kind == connection->m_kind && event.m_revision > connection->m_afterRevision)
                events += (events.empty() ? "" : ",") + event.m_text;
        }
        respond(connection, 200,
            "{\"events\":[" + events + "],\"AsOf\":" + std::to_string(m_content.m_revision) + "}");
    }

    std::string page(const std::string& kind, const std::string& after)
    {
        constexpr std::size_t limit = 50;
        std::string items;
        std::size_t count = 0;
        bool isTruncated = false;
        const auto& objects = m_content.m_objects[kind];
        for (auto object = objects.upper_bound(after); object != objects.end(); ++object) {
            if (count++ == limit) {
                isTruncated = true;
                break;
            }
            items += (items.empty() ? "" : ",") + objectText(object->first, object->second);
        }
        return "{\"items\":[" + items + "],\"Truncated\":" + (isTruncated ? "true" : "false")
            + ",\"AsOf\":" + std::to_string(m_content.m_revision) + "}";
    }

    void respond(const std::shared_ptr<Connection>& connection, int status, const std::string& body)
    {
        std::string response = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Gone")
            + "\r\nContent-Type: application/json\r\n";
        if (m_era > 0)
            response += "Store-Era: " + std::to_string(m_era) + "\r\n";
        response += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        m_loop.after(m_delay, [this, connection, response] { write(connection, response, 0); });
    }

    void write(const std::shared_ptr<Connection>& connection, const std::string& response, std::size_t written)
    {
        if (connection->m_isClosed)
            return;
        while (written < response.size()) {
            const ssize_t size
                = send(connection->m_fd, response.data() + written, response.size() - written, MSG_NOSIGNAL);
            if (size > 0) {
                written += static_cast<std::size_t>(size);
                continue;
            }
            if (errno == EAGAIN)
                m_loop.after(1, [this, connection, response, written] { write(connection, response, written); });
            else
                close(connection);
            return;
        }
    }

    Loop& m_loop;
    int m_listener;
    Content m_content;
    std::optional<Content> m_copy;
    std::uint32_t m_era = 0;
    bool m_isDown = false;
    double m_delay = 4;
    std::uint64_t m_calls = 0;
    std::map<Connection*, std::uint64_t> m_waits;
    std::vector<std::shared_ptr<Connection>> m_connections;
};

} // namespace review
