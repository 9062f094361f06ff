#pragma once

#include "base/Time.h"
#include "standins/HttpServer.h"
#include "standins/Signal.h"

#include <boost/json/value.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace cuminrelay::standins {

/// Calls counted by the platform; a waiting watch counts as one.
struct PlatformCalls {
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_watches = 0;
    std::uint64_t m_vmLists = 0;
    std::uint64_t m_refusedByRate = 0;
    std::uint64_t m_refusedByOutage = 0;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_lostAnswers = 0;
};

/// Faults that tests switch on.
struct PlatformSwitches {
    bool m_outage = false; ///< status 503 for every call
    bool m_staleReads = false; ///< reads return the previous version
    Duration m_callDelay {}; ///< added to the duration of each call
    Duration m_vmListLag {}; ///< delay until changes of the VM list become visible
    std::uint64_t m_answersToLose = 0; ///< number of next writes that take effect without an answer
};

struct PlatformOptions {
    std::string m_token;
    std::uint64_t m_writesPerSecond = 400;
    std::uint64_t m_readsPerSecond = 2000;
    PlatformSwitches m_switches {};
};

/// Test double of the platform: its object API and VM list over HTTP (protocol: docs/DESIGN.md), with the switches
/// above. Admin calls (/standin/...) need no token and are not counted. Pass it to serveHttp(). Single-threaded.
class FakePlatform final : public HttpHandler {
public:
    explicit FakePlatform(PlatformOptions options);

    boost::asio::awaitable<std::optional<HttpResponse>> handle(const HttpRequest& request) override;

    const PlatformCalls& calls() const { return m_calls; }

    /// Writes an object unconditionally, to set up a test.
    void seedObject(std::string_view kind, std::string_view name, std::string body);

private:
    /// An object with the body of its previous version, for stale reads.
    struct Object {
        std::uint64_t m_version = 0;
        std::string m_body;
        std::string m_previousBody;
        Signal m_changed;
    };

    /// A change of the VM list that is not visible yet; a null m_vm removes the VM.
    struct VmChange {
        Instant m_visibleFrom {};
        std::string m_name;
        boost::json::value m_vm;
    };

    /// Counts the calls of the current second against a limit.
    struct RateWindow {
        Deadline m_windowEnd {};
        std::uint64_t m_calls = 0;

        bool admit(std::uint64_t limit, Instant now);
    };

    boost::asio::awaitable<std::optional<HttpResponse>> handleObject(const HttpRequest& request, HttpTarget target);
    boost::asio::awaitable<HttpResponse> watch(Object& object, std::uint64_t above, Deadline deadline);
    std::optional<HttpResponse> write(const HttpRequest& request, Object& object);
    HttpResponse handleAdmin(const HttpRequest& request, std::string_view path);
    HttpResponse setSwitches(std::string_view body);
    HttpResponse read(const Object& object) const;
    HttpResponse listVms();
    std::uint64_t visibleVersion(const Object& object) const;
    std::string callsJson() const;

    PlatformOptions m_options;
    PlatformSwitches m_switches;
    PlatformCalls m_calls;
    RateWindow m_readWindow;
    RateWindow m_writeWindow;
    std::map<std::string, Object, std::less<>> m_objects;
    std::map<std::string, boost::json::value, std::less<>> m_vms;
    std::deque<VmChange> m_vmChanges;
};

} // namespace cuminrelay::standins
