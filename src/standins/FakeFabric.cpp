#include "standins/FakeFabric.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace cuminrelay::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

    constexpr std::string_view c_entriesPath = "/standin/entries/";
    constexpr Duration c_maxHoldTime = std::chrono::milliseconds { 5 };
    constexpr std::int64_t c_hundredPercent = 100;

} // namespace

Outcome<std::shared_ptr<FakeFabric>> FakeFabric::start(asio::io_context& context, FabricOptions options)
{
    std::shared_ptr<FakeFabric> fabric = std::make_shared<FakeFabric>(context, std::move(options));
    const Outcome<std::shared_ptr<Tunnel>> callers = Tunnel::open(context, fabric->m_options.m_callers);
    if (!callers)
        return callers.error();
    const Outcome<std::shared_ptr<Tunnel>> answers = Tunnel::open(context, fabric->m_options.m_answers);
    if (!answers)
        return answers.error();
    const Outcome<Endpoint> admin = serveHttp(context, fabric->m_options.m_admin, fabric);
    if (!admin)
        return admin.error();
    fabric->m_callersTunnel = callers.value();
    fabric->m_answersTunnel = answers.value();
    fabric->m_options.m_callers = callers.value()->endpoint();
    fabric->m_options.m_answers = answers.value()->endpoint();
    fabric->m_options.m_admin = admin.value();
    fabric->m_callersTunnel->startReceiving(fabric->m_towardsEntries);
    fabric->m_answersTunnel->startReceiving(fabric->m_towardsCallers);
    return fabric;
}

FakeFabric::FakeFabric(asio::io_context& context, FabricOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_switches(m_options.m_switches)
    , m_random(m_options.m_seed)
{
}

void FakeFabric::Direction::handleDatagram(std::span<const std::byte> datagram, Endpoint)
{
    m_fabric.route(datagram, m_towardsEntries);
}

bool FakeFabric::withProbability(std::uint64_t percent)
{
    return percent > 0 && m_random() % c_hundredPercent < percent;
}

void FakeFabric::route(std::span<const std::byte> datagram, bool towardsEntries)
{
    if (towardsEntries && m_options.m_entries.empty()) {
        ++m_droppedWithoutEntry;
        return;
    }
    const Endpoint target
        = towardsEntries ? m_options.m_entries[m_random() % m_options.m_entries.size()] : m_options.m_callersTunnel;
    ++m_routed;
    if (withProbability(m_switches.m_lossPercent)) {
        ++m_lost;
        return;
    }
    if (!m_held && withProbability(m_switches.m_reorderPercent)) {
        ++m_reordered;
        m_held = HeldPacket { { datagram.begin(), datagram.end() }, target };
        asio::co_spawn(m_context, releaseAfterDelay(), asio::detached);
        return;
    }
    forward(datagram, target);
    if (withProbability(m_switches.m_duplicatePercent)) {
        ++m_duplicated;
        forward(datagram, target);
    }
    releaseHeld();
}

void FakeFabric::forward(std::span<const std::byte> datagram, Endpoint target)
{
    m_answersTunnel->send(datagram, target);
}

void FakeFabric::releaseHeld()
{
    if (!m_held)
        return;
    const HeldPacket held = std::move(*m_held);
    m_held.reset();
    forward(held.m_datagram, held.m_target);
}

asio::awaitable<void> FakeFabric::releaseAfterDelay()
{
    co_await sleepUntil(now() + c_maxHoldTime);
    releaseHeld();
}

asio::awaitable<std::optional<HttpResponse>> FakeFabric::handle(const HttpRequest& request)
{
    const HttpTarget target = parseTarget({ request.target().data(), request.target().size() });
    if (target.m_path.starts_with(c_entriesPath))
        co_return changeEntry(request, target.m_path.substr(c_entriesPath.size()));
    if (target.m_path == "/standin/switches" && request.method() == http::verb::post)
        co_return setSwitches(request.body());
    if (target.m_path == "/standin/counts" && request.method() == http::verb::get) {
        co_return jsonResponse(http::status::ok,
            json::serialize(json::object {
                { "carried", m_routed },
                { "lost", m_lost },
                { "doubled", m_duplicated },
                { "reordered", m_reordered },
                { "without_entry", m_droppedWithoutEntry },
                { "entries", m_options.m_entries.size() },
            }));
    }
    co_return errorResponse(http::status::not_found, "no such path");
}

HttpResponse FakeFabric::changeEntry(const HttpRequest& request, std::string_view text)
{
    const Outcome<Endpoint> entry = parseEndpoint(text);
    if (!entry)
        return errorResponse(http::status::bad_request, entry.error().m_message);
    std::erase(m_options.m_entries, entry.value());
    if (request.method() == http::verb::put)
        m_options.m_entries.push_back(entry.value());
    else if (request.method() != http::verb::delete_)
        return errorResponse(http::status::method_not_allowed, "expected PUT or DELETE");
    return jsonResponse(http::status::ok, "{}");
}

HttpResponse FakeFabric::setSwitches(std::string_view body)
{
    json::error_code error;
    const json::value parsed = json::parse({ body.data(), body.size() }, error);
    if (error || !parsed.is_object())
        return errorResponse(http::status::bad_request, "expected a JSON object");
    FabricSwitches switches = m_switches;
    for (const json::key_value_pair& entry : parsed.as_object()) {
        const std::string_view key { entry.key().data(), entry.key().size() };
        const std::int64_t percent = entry.value().is_int64() ? entry.value().as_int64() : -1;
        if (percent < 0 || percent > c_hundredPercent)
            return errorResponse(http::status::bad_request, fmt::format("\"{}\" must be 0 to 100", key));
        if (key == "lose_percent")
            switches.m_lossPercent = static_cast<std::uint64_t>(percent);
        else if (key == "double_percent")
            switches.m_duplicatePercent = static_cast<std::uint64_t>(percent);
        else if (key == "reorder_percent")
            switches.m_reorderPercent = static_cast<std::uint64_t>(percent);
        else
            return errorResponse(http::status::bad_request, fmt::format("unknown switch \"{}\"", key));
    }
    m_switches = switches;
    return jsonResponse(http::status::ok, "{}");
}

} // namespace cuminrelay::standins
