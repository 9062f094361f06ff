#include "backends/LoadMessage.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/system/error_code.hpp>
#include <fmt/format.h>
#include <limits>

namespace cuminrelay {

namespace {

    template <typename Number> Outcome<Number> readNumber(const boost::json::object& object, std::string_view key)
    {
        const boost::json::value* const value = object.if_contains(key);
        if (!value)
            return Number {};
        const std::int64_t number = value->is_int64() ? value->get_int64() : -1;
        if (value->is_uint64())
            return std::numeric_limits<Number>::max();
        if (number < 0)
            return Error { ErrorKind::InvalidInput, fmt::format("\"{}\" must be a whole number from 0", key) };
        return static_cast<Number>(std::min<std::int64_t>(number, std::numeric_limits<Number>::max()));
    }

} // namespace

Outcome<BackendLoad> parseLoad(std::string_view body)
{
    boost::system::error_code error;
    const boost::json::value parsed = boost::json::parse(body, error);
    if (error || !parsed.is_object())
        return Error { ErrorKind::InvalidInput, "a load report must be a JSON object" };
    const boost::json::object& object = parsed.get_object();
    const Outcome<std::uint32_t> connections = readNumber<std::uint32_t>(object, "connections");
    if (!connections)
        return connections.error();
    const Outcome<std::uint16_t> busySlots = readNumber<std::uint16_t>(object, "busy_slots");
    if (!busySlots)
        return busySlots.error();
    const Outcome<std::uint16_t> queued = readNumber<std::uint16_t>(object, "queued");
    if (!queued)
        return queued.error();
    const boost::json::value* const shedding = object.if_contains("shedding");
    if (shedding && !shedding->is_bool())
        return Error { ErrorKind::InvalidInput, "\"shedding\" must be true or false" };
    return BackendLoad { connections.value(), busySlots.value(), queued.value(), shedding && shedding->get_bool() };
}

} // namespace cuminrelay
