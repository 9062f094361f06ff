#include "exchange/StoreUpdateServer.h"

#include "exchange/ContestedFlowsMessage.h"
#include "exchange/StoreUpdateMessage.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <limits>

namespace cuminrelay {

namespace {

    constexpr std::string_view c_path = "/news?backends=";
    constexpr std::string_view c_declarations = "&declarations=";
    constexpr std::string_view c_era = "&era=";

    Outcome<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        if (text.empty() || parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size())
            return Error { ErrorKind::InvalidInput, fmt::format("found version \"{}\"; allowed: a number", text) };
        return number;
    }

} // namespace

StoreUpdateServer::StoreUpdateServer(const boost::asio::any_io_executor& executor, const StoreCache& storeCache,
    const ContestedFlows& contestedFlows, const Clock& clock, Metrics& metrics, Log& log)
    : HttpGetServer(executor, "news", metrics, log)
    , m_storeCache(storeCache)
    , m_contestedFlows(contestedFlows)
    , m_clock(clock)
{
}

HttpGetResponse StoreUpdateServer::answer(std::string_view target)
{
    if (target == c_contestedFlowsTarget) {
        const Instant now = m_clock.now();
        return { 200, encodeContestedFlows({ m_contestedFlows.reports(now), m_contestedFlows.knownFor(now) }) };
    }
    const Outcome<StoreVersions> held = parseStoreUpdateTarget(target);
    if (!held)
        return { 400, held.error().m_message };
    return { 200, encodeStoreUpdate(m_storeCache.updateSince(held.value()), m_clock.now()) };
}

std::string storeUpdateTarget(const StoreVersions& held)
{
    std::string target
        = fmt::format("{}{}{}{}", c_path, held.m_backends.m_number, c_declarations, held.m_declarations.m_number);
    if (held.m_backends.m_era != 0)
        target += fmt::format("{}{}", c_era, held.m_backends.m_era);
    return target;
}

Outcome<StoreVersions> parseStoreUpdateTarget(std::string_view target)
{
    const std::size_t second = target.find(c_declarations);
    if (!target.starts_with(c_path) || second == std::string_view::npos)
        return Error { ErrorKind::InvalidInput,
            "allowed: GET /news?backends=REVISION&declarations=VERSION[&era=ERA]\n" };
    const std::size_t third = std::min(target.find(c_era, second), target.size());
    const std::size_t secondValue = second + c_declarations.size();
    const Outcome<std::uint64_t> backends = parseNumber(target.substr(c_path.size(), second - c_path.size()));
    const Outcome<std::uint64_t> declarations
        = parseNumber(target.substr(secondValue, std::max(third, secondValue) - secondValue));
    const Outcome<std::uint64_t> era
        = third < target.size() ? parseNumber(target.substr(third + c_era.size())) : std::uint64_t { 0 };
    if (!backends)
        return backends.error();
    if (!declarations)
        return declarations.error();
    if (!era)
        return era.error();
    if (era.value() > std::numeric_limits<std::uint32_t>::max())
        return Error { ErrorKind::InvalidInput,
            fmt::format("found era {}; allowed: up to {}\n", era.value(), std::numeric_limits<std::uint32_t>::max()) };
    return StoreVersions { { backends.value(), static_cast<std::uint32_t>(era.value()) }, { declarations.value() } };
}

} // namespace cuminrelay
