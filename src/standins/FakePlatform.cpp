#include "standins/FakePlatform.h"

#include "objectapi/PlatformClient.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <fmt/format.h>

namespace cuminrelay::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

    constexpr std::string_view c_objectsPath = "/v1/objects/";
    constexpr std::string_view c_vmsPath = "/v1/vms";
    constexpr std::string_view c_adminPath = "/standin/";
    constexpr std::string_view c_adminVmsPath = "/standin/vms/";
    constexpr Duration c_rateWindow = std::chrono::seconds { 1 };
    constexpr std::uint64_t c_maximumWatchMs = 60'000;

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        if (text.empty() || parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    std::optional<std::uint64_t> queryNumber(const HttpTarget& target, std::string_view name)
    {
        const auto found = target.m_query.find(name);
        return found == target.m_query.end() ? std::nullopt : parseNumber(found->second);
    }

    std::string_view toStringView(boost::beast::string_view text)
    {
        return { text.data(), text.size() };
    }

    Duration milliseconds(std::uint64_t count)
    {
        return std::chrono::milliseconds { count };
    }

} // namespace

bool FakePlatform::RateWindow::admit(std::uint64_t limit, Instant now)
{
    if (now >= m_windowEnd) {
        m_windowEnd = now + c_rateWindow;
        m_calls = 0;
    }
    return ++m_calls <= limit;
}

FakePlatform::FakePlatform(PlatformOptions options)
    : m_options(std::move(options))
    , m_switches(m_options.m_switches)
{
}

void FakePlatform::seedObject(std::string_view kind, std::string_view name, std::string body)
{
    Object& object = m_objects[fmt::format("{}/{}", kind, name)];
    object.m_previousBody = std::exchange(object.m_body, std::move(body));
    ++object.m_version;
    object.m_changed.notify();
}

asio::awaitable<std::optional<HttpResponse>> FakePlatform::handle(const HttpRequest& request)
{
    HttpTarget target = parseTarget(toStringView(request.target()));
    if (target.m_path.starts_with(c_adminPath))
        co_return handleAdmin(request, target.m_path);
    if (m_switches.m_callDelay > Duration::zero())
        co_await sleepUntil(now() + m_switches.m_callDelay);
    if (toStringView(request[http::field::authorization]) != fmt::format("Bearer {}", m_options.m_token))
        co_return errorResponse(http::status::unauthorized, "the bearer token is missing or wrong");
    if (m_switches.m_outage) {
        ++m_calls.m_refusedByOutage;
        co_return errorResponse(http::status::service_unavailable, "the store is down");
    }
    const bool isWrite = request.method() == http::verb::put;
    RateWindow& window = isWrite ? m_writeWindow : m_readWindow;
    if (!window.admit(isWrite ? m_options.m_writesPerSecond : m_options.m_readsPerSecond, now())) {
        ++m_calls.m_refusedByRate;
        co_return errorResponse(http::status::too_many_requests, "call rate limit exceeded");
    }
    if (target.m_path == c_vmsPath && request.method() == http::verb::get) {
        ++m_calls.m_vmLists;
        co_return listVms();
    }
    if (target.m_path.starts_with(c_objectsPath))
        co_return co_await handleObject(request, std::move(target));
    co_return errorResponse(http::status::not_found, "no such path");
}

asio::awaitable<std::optional<HttpResponse>> FakePlatform::handleObject(const HttpRequest& request, HttpTarget target)
{
    const std::string key = target.m_path.substr(c_objectsPath.size());
    const std::size_t slash = key.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == key.size()
        || key.find('/', slash + 1) != std::string::npos)
        co_return errorResponse(http::status::not_found, "expected /v1/objects/KIND/NAME");
    if (request.method() == http::verb::put) {
        ++m_calls.m_writes;
        co_return write(request, m_objects[key]);
    }
    if (request.method() != http::verb::get)
        co_return errorResponse(http::status::method_not_allowed, "expected GET or PUT");
    if (!target.m_query.contains("above")) {
        ++m_calls.m_reads;
        co_return read(m_objects[key]);
    }
    const std::optional<std::uint64_t> above = queryNumber(target, "above");
    const std::optional<std::uint64_t> timeout = queryNumber(target, "timeout_ms");
    if (!above || !timeout || *timeout > c_maximumWatchMs)
        co_return errorResponse(http::status::bad_request, "above and timeout_ms (0 to 60000) must be numbers");
    ++m_calls.m_watches;
    co_return co_await watch(m_objects[key], *above, now() + milliseconds(*timeout));
}

asio::awaitable<HttpResponse> FakePlatform::watch(Object& object, std::uint64_t above, Deadline deadline)
{
    while (!m_switches.m_outage && visibleVersion(object) <= above && now() < deadline)
        co_await object.m_changed.waitUntil(deadline);
    if (m_switches.m_outage)
        co_return errorResponse(http::status::service_unavailable, "the store is down");
    co_return read(object);
}

std::optional<HttpResponse> FakePlatform::write(const HttpRequest& request, Object& object)
{
    const std::optional<std::uint64_t> expected = parseNumber(toStringView(request["If-Version"]));
    if (!expected)
        return errorResponse(http::status::bad_request, "the header If-Version must be a number");
    if (request.body().size() > c_maximumObjectBytes)
        return errorResponse(http::status::payload_too_large, "an object holds at most 1000000 bytes");
    json::error_code error;
    json::parse(request.body(), error);
    if (error)
        return errorResponse(http::status::bad_request, "the body is not valid JSON");
    if (*expected != object.m_version) {
        ++m_calls.m_conflicts;
        HttpResponse conflict = errorResponse(http::status::conflict, "If-Version differs from the object's version");
        conflict.set("Object-Version", fmt::format("{}", object.m_version));
        return conflict;
    }
    object.m_previousBody = std::exchange(object.m_body, request.body());
    ++object.m_version;
    object.m_changed.notify();
    if (m_switches.m_answersToLose > 0) {
        --m_switches.m_answersToLose;
        ++m_calls.m_lostAnswers;
        return std::nullopt;
    }
    HttpResponse written = jsonResponse(http::status::ok, "{}");
    written.set("Object-Version", fmt::format("{}", object.m_version));
    return written;
}

std::uint64_t FakePlatform::visibleVersion(const Object& object) const
{
    return m_switches.m_staleReads && object.m_version > 0 ? object.m_version - 1 : object.m_version;
}

HttpResponse FakePlatform::read(const Object& object) const
{
    const std::uint64_t version = visibleVersion(object);
    if (version == 0)
        return errorResponse(http::status::not_found, "no such object");
    HttpResponse found
        = jsonResponse(http::status::ok, version == object.m_version ? object.m_body : object.m_previousBody);
    found.set("Object-Version", fmt::format("{}", version));
    return found;
}

HttpResponse FakePlatform::listVms()
{
    const Instant current = now();
    while (!m_vmChanges.empty() && m_vmChanges.front().m_visibleFrom <= current) {
        VmChange change = std::move(m_vmChanges.front());
        m_vmChanges.pop_front();
        if (change.m_vm.is_null())
            m_vms.erase(change.m_name);
        else
            m_vms[change.m_name] = std::move(change.m_vm);
    }
    json::array list;
    for (const auto& [name, vm] : m_vms)
        list.push_back(vm);
    return jsonResponse(http::status::ok, json::serialize(list));
}

HttpResponse FakePlatform::handleAdmin(const HttpRequest& request, std::string_view path)
{
    if (path == "/standin/calls" && request.method() == http::verb::get)
        return jsonResponse(http::status::ok, callsJson());
    if (path == "/standin/switches" && request.method() == http::verb::post)
        return setSwitches(request.body());
    if (!path.starts_with(c_adminVmsPath))
        return errorResponse(http::status::not_found, "no such path");
    const std::string name { path.substr(c_adminVmsPath.size()) };
    const Instant visibleFrom = now() + m_switches.m_vmListLag;
    if (request.method() == http::verb::delete_) {
        m_vmChanges.push_back({ visibleFrom, name, nullptr });
        return jsonResponse(http::status::ok, "{}");
    }
    json::error_code error;
    json::value vm = json::parse(request.body(), error);
    if (request.method() != http::verb::put || error || !vm.is_object())
        return errorResponse(http::status::bad_request, "expected PUT with a JSON object, or DELETE");
    vm.as_object()["name"] = name;
    m_vmChanges.push_back({ visibleFrom, name, std::move(vm) });
    return jsonResponse(http::status::ok, "{}");
}

HttpResponse FakePlatform::setSwitches(std::string_view body)
{
    json::error_code error;
    const json::value parsed = json::parse({ body.data(), body.size() }, error);
    if (error || !parsed.is_object())
        return errorResponse(http::status::bad_request, "expected a JSON object");
    PlatformSwitches switches = m_switches;
    for (const json::key_value_pair& entry : parsed.as_object()) {
        const std::string_view key { entry.key().data(), entry.key().size() };
        const json::value& value = entry.value();
        if (key == "outage" && value.is_bool())
            switches.m_outage = value.as_bool();
        else if (key == "stale_reads" && value.is_bool())
            switches.m_staleReads = value.as_bool();
        else if (key == "slow_ms" && value.is_int64() && value.as_int64() >= 0)
            switches.m_callDelay = milliseconds(static_cast<std::uint64_t>(value.as_int64()));
        else if (key == "vm_list_lag_ms" && value.is_int64() && value.as_int64() >= 0)
            switches.m_vmListLag = milliseconds(static_cast<std::uint64_t>(value.as_int64()));
        else if (key == "lose_answers" && value.is_int64() && value.as_int64() >= 0)
            switches.m_answersToLose = static_cast<std::uint64_t>(value.as_int64());
        else
            return errorResponse(
                http::status::bad_request, fmt::format("\"{}\" is not a switch or its value has the wrong type", key));
    }
    m_switches = switches;
    for (auto& [key, object] : m_objects)
        object.m_changed.notify();
    return jsonResponse(http::status::ok, "{}");
}

std::string FakePlatform::callsJson() const
{
    return json::serialize(json::object {
        { "reads", m_calls.m_reads },
        { "writes", m_calls.m_writes },
        { "watches", m_calls.m_watches },
        { "vm_lists", m_calls.m_vmLists },
        { "refused_by_rate", m_calls.m_refusedByRate },
        { "refused_by_outage", m_calls.m_refusedByOutage },
        { "conflicts", m_calls.m_conflicts },
        { "lost_answers", m_calls.m_lostAnswers },
    });
}

} // namespace cuminrelay::standins
