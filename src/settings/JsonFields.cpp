#include "settings/JsonFields.h"

#include "settings/JsonText.h"
#include "settings/NearestName.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <fmt/format.h>

namespace cuminrelay {

namespace {

    const boost::json::object& emptyObject()
    {
        static const boost::json::object s_object;
        return s_object;
    }

    const boost::json::array& emptyArray()
    {
        static const boost::json::array s_array;
        return s_array;
    }

} // namespace

JsonFields::JsonFields(const boost::json::value& value, std::string_view location, UnknownMembers unknownMembers)
    : m_location(location)
    , m_object(value.if_object())
    , m_unknownMembers(unknownMembers)
{
    if (m_object)
        return;
    m_object = &emptyObject();
    m_firstError = fmt::format("{}: found {}; allowed: an object {{...}}", location, describeJsonKind(value));
}

bool JsonFields::has(std::string_view key) const
{
    return m_object->contains(key);
}

std::string JsonFields::requiredText(std::string_view key)
{
    const boost::json::value* const value = lookUpRequired(key, "a text that is not empty");
    if (!value)
        return {};
    if (value->is_string() && !value->get_string().empty())
        return std::string { std::string_view { value->get_string() } };
    failType(key, *value, "a text that is not empty");
    return {};
}

std::string JsonFields::text(std::string_view key)
{
    const boost::json::value* const value = lookUp(key);
    if (!value)
        return {};
    if (value->is_string())
        return std::string { std::string_view { value->get_string() } };
    failType(key, *value, "a text");
    return {};
}

bool JsonFields::boolean(std::string_view key, bool fallback)
{
    const boost::json::value* const value = lookUp(key);
    if (!value)
        return fallback;
    if (value->is_bool())
        return value->get_bool();
    failType(key, *value, "true or false");
    return fallback;
}

std::uint64_t JsonFields::requiredInteger(std::string_view key, std::uint64_t minimum, std::uint64_t maximum)
{
    if (!has(key)) {
        lookUpRequired(key, fmt::format("an integer from {} to {}", minimum, maximum));
        return minimum;
    }
    return integer(key, minimum, minimum, maximum);
}

std::uint64_t JsonFields::integer(
    std::string_view key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum)
{
    const boost::json::value* const value = lookUp(key);
    if (!value)
        return fallback;
    boost::system::error_code failure;
    const std::uint64_t number = value->to_number<std::uint64_t>(failure);
    if (!failure && !value->is_double() && number >= minimum && number <= maximum)
        return number;
    failType(key, *value, fmt::format("an integer from {} to {}", minimum, maximum));
    return fallback;
}

double JsonFields::number(std::string_view key, double fallback, double minimum, double maximum)
{
    const boost::json::value* const value = lookUp(key);
    if (!value)
        return fallback;
    if (value->is_number()) {
        const double number = value->to_number<double>();
        if (number >= minimum && number <= maximum)
            return number;
    }
    failType(key, *value, fmt::format("a number from {} to {}", minimum, maximum));
    return fallback;
}

Endpoint JsonFields::requiredEndpoint(std::string_view key)
{
    const std::string found = requiredText(key);
    if (found.empty())
        return {};
    const Outcome<Endpoint> parsed = parseEndpoint(found);
    if (parsed)
        return parsed.value();
    fail(key, parsed.error().m_message);
    return {};
}

std::map<std::string, std::string, std::less<>> JsonFields::textMap(std::string_view key)
{
    const boost::json::value* const value = lookUp(key);
    if (!value)
        return {};
    if (!value->is_object()) {
        failType(key, *value, "an object of texts");
        return {};
    }
    std::map<std::string, std::string, std::less<>> result;
    for (const boost::json::key_value_pair& pair : value->get_object()) {
        if (!pair.value().is_string())
            failType(key, pair.value(), "an object of texts");
        else
            result.emplace(std::string_view { pair.key() }, std::string_view { pair.value().get_string() });
    }
    return result;
}

std::vector<std::string> JsonFields::texts(std::string_view key)
{
    std::vector<std::string> result;
    for (const boost::json::value& element : array(key)) {
        if (element.is_string())
            result.emplace_back(std::string_view { element.get_string() });
        else
            failType(key, element, "an array of texts");
    }
    return result;
}

const boost::json::array& JsonFields::array(std::string_view key)
{
    const boost::json::value* const value = lookUp(key);
    if (!value)
        return emptyArray();
    if (value->is_array())
        return value->get_array();
    failType(key, *value, "an array [...]");
    return emptyArray();
}

void JsonFields::fail(std::string_view key, std::string_view message)
{
    if (!m_firstError)
        m_firstError = fmt::format("{}: \"{}\": {}", m_location, key, message);
}

Outcome<void> JsonFields::finish()
{
    if (m_unknownMembers == UnknownMembers::Refuse && !m_firstError && m_object->size() > 0) {
        for (const boost::json::key_value_pair& pair : *m_object) {
            const std::string_view key = pair.key();
            if (std::ranges::find(m_allowedKeys, key) != m_allowedKeys.end())
                continue;
            const std::vector<std::string> allowedKeys { m_allowedKeys.begin(), m_allowedKeys.end() };
            fail(key, fmt::format("unknown key; allowed: {}", allowedNamesText(key, allowedKeys)));
        }
    }
    if (m_firstError)
        return Error { ErrorKind::InvalidInput, *m_firstError };
    return boost::outcome_v2::success();
}

const boost::json::value* JsonFields::lookUp(std::string_view key)
{
    m_allowedKeys.push_back(key);
    return m_object->if_contains(key);
}

const boost::json::value* JsonFields::lookUpRequired(std::string_view key, std::string_view allowed)
{
    const boost::json::value* const value = lookUp(key);
    if (!value)
        fail(key, fmt::format("is missing; allowed: {}", allowed));
    return value;
}

void JsonFields::failType(std::string_view key, const boost::json::value& found, std::string_view allowed)
{
    if (!m_firstError)
        fail(key, fmt::format("found {}; allowed: {}", quotedJson(found), allowed));
}

} // namespace cuminrelay
