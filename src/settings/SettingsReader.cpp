#include "settings/SettingsReader.h"

#include "settings/JsonText.h"
#include "settings/NearestName.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <utility>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_maximumFileBytes = 1'000'000;

} // namespace

Outcome<SettingsReader> SettingsReader::load(std::string_view path)
{
    const std::string name { path };
    std::ifstream file { name, std::ios::binary };
    if (!file)
        return Error { ErrorKind::NotFound, fmt::format("{}: cannot be opened", name) };
    std::string text(c_maximumFileBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || (file.gcount() == 0 && !file.eof()))
        return Error { ErrorKind::NotFound, fmt::format("{}: cannot be read", name) };
    text.resize(static_cast<std::size_t>(file.gcount()));
    return parse(name, text);
}

Outcome<SettingsReader> SettingsReader::parse(std::string name, std::string_view text)
{
    if (text.size() > c_maximumFileBytes) {
        return Error { ErrorKind::InvalidInput,
            fmt::format("{}: file exceeds the maximum of {} bytes", name, c_maximumFileBytes) };
    }
    Outcome<boost::json::value> value = parseJsonText(name, text);
    if (!value)
        return value.error();
    if (!value.value().is_object()) {
        return Error { ErrorKind::InvalidInput,
            fmt::format("{}: found {}; allowed: an object {{...}}", name, describeJsonKind(value.value())) };
    }
    return SettingsReader { std::move(name), std::move(value.value().get_object()) };
}

SettingsReader::SettingsReader(std::string name, boost::json::object object)
    : SettingsReader(std::move(name), {}, std::move(object))
{
}

SettingsReader::SettingsReader(std::string name, std::string path, boost::json::object object)
    : m_name(std::move(name))
    , m_path(std::move(path))
    , m_object(std::move(object))
{
}

bool SettingsReader::has(std::string_view key) const
{
    return m_object.contains(key);
}

std::string SettingsReader::requiredText(std::string_view key)
{
    const boost::json::value* const value = lookUp(key);
    if (!value) {
        addMissingProblem(key, "a text that is not empty");
        return {};
    }
    if (!value->is_string() || value->get_string().empty()) {
        addTypeProblem(key, *value, "a text that is not empty");
        return {};
    }
    m_effective[key] = *value;
    return std::string { std::string_view { value->get_string() } };
}

std::string SettingsReader::text(std::string_view key, std::string_view fallback)
{
    m_effective[key] = fallback;
    const boost::json::value* const value = lookUp(key);
    if (!value)
        return std::string { fallback };
    if (!value->is_string()) {
        addTypeProblem(key, *value, "a text");
        return std::string { fallback };
    }
    m_effective[key] = *value;
    return std::string { std::string_view { value->get_string() } };
}

std::string SettingsReader::choice(
    std::string_view key, std::string_view fallback, std::span<const std::string_view> allowed)
{
    const std::size_t problemsBefore = m_problems.size();
    std::string found = text(key, fallback);
    if (m_problems.size() != problemsBefore || std::ranges::find(allowed, found) != allowed.end())
        return found;
    addTypeProblem(key, boost::json::value(found), fmt::format("one of \"{}\"", fmt::join(allowed, "\", \"")));
    return std::string { fallback };
}

LogLevel SettingsReader::logLevel(std::string_view key)
{
    const std::string name = choice(key, c_logLevelNames[static_cast<std::size_t>(LogLevel::Info)], c_logLevelNames);
    const auto found = std::ranges::find(c_logLevelNames, name);
    return found == c_logLevelNames.end() ? LogLevel::Info : static_cast<LogLevel>(found - c_logLevelNames.begin());
}

bool SettingsReader::boolean(std::string_view key, bool fallback)
{
    m_effective[key] = fallback;
    const boost::json::value* const value = lookUp(key);
    if (!value)
        return fallback;
    if (!value->is_bool()) {
        addTypeProblem(key, *value, "true or false");
        return fallback;
    }
    m_effective[key] = *value;
    return value->get_bool();
}

std::uint64_t SettingsReader::integer(
    std::string_view key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum)
{
    m_effective[key] = fallback;
    const boost::json::value* const value = lookUp(key);
    if (!value)
        return fallback;
    boost::system::error_code failure;
    const std::uint64_t number = value->to_number<std::uint64_t>(failure);
    if (failure || value->is_double() || number < minimum || number > maximum) {
        addTypeProblem(key, *value, fmt::format("an integer from {} to {}", minimum, maximum));
        return fallback;
    }
    m_effective[key] = number;
    return number;
}

double SettingsReader::real(std::string_view key, double fallback, double minimum, double maximum)
{
    m_effective[key] = fallback;
    const boost::json::value* const value = lookUp(key);
    if (!value)
        return fallback;
    boost::system::error_code failure;
    const double number = value->is_number() ? value->to_number<double>(failure) : std::nan("");
    if (failure || !(number >= minimum && number <= maximum)) {
        addTypeProblem(key, *value, fmt::format("a number from {} to {}", minimum, maximum));
        return fallback;
    }
    m_effective[key] = number;
    return number;
}

Endpoint SettingsReader::requiredEndpoint(std::string_view key)
{
    if (!has(key)) {
        lookUp(key);
        addMissingProblem(key, "an endpoint \"a.b.c.d:port\"");
        return {};
    }
    return endpoint(key, {});
}

Endpoint SettingsReader::endpoint(std::string_view key, Endpoint fallback)
{
    m_effective[key] = formatEndpoint(fallback);
    const boost::json::value* const value = lookUp(key);
    if (!value)
        return fallback;
    const Outcome<Endpoint> parsed = value->is_string()
        ? parseEndpoint(value->get_string())
        : Outcome<Endpoint> { Error { ErrorKind::InvalidInput, "not a text" } };
    if (!parsed) {
        addTypeProblem(key, *value, "an endpoint \"a.b.c.d:port\" with a port from 1 to 65535");
        return fallback;
    }
    m_effective[key] = *value;
    return parsed.value();
}

std::vector<Endpoint> SettingsReader::endpoints(std::string_view key)
{
    std::vector<Endpoint> result;
    for (const std::string& text : texts(key)) {
        const Outcome<Endpoint> parsed = parseEndpoint(text);
        if (parsed)
            result.push_back(parsed.value());
        else
            addProblem(key, parsed.error().m_message);
    }
    return result;
}

std::vector<std::string> SettingsReader::texts(std::string_view key)
{
    m_effective[key] = boost::json::array {};
    const boost::json::value* const value = lookUp(key);
    if (!value)
        return {};
    if (!value->is_array()) {
        addTypeProblem(key, *value, "an array of texts");
        return {};
    }
    std::vector<std::string> result;
    for (const boost::json::value& element : value->get_array()) {
        if (!element.is_string()) {
            addTypeProblem(fmt::format("{}[{}]", key, result.size()), element, "a text");
            return {};
        }
        result.emplace_back(std::string_view { element.get_string() });
    }
    m_effective[key] = *value;
    return result;
}

SettingsReader& SettingsReader::section(std::string_view key)
{
    const boost::json::value* const value = lookUp(key);
    std::string path = fmt::format("{}{}.", m_path, key);
    if (!value)
        return addChild(key, std::move(path), false, {});
    if (!value->is_object()) {
        addTypeProblem(key, *value, "an object {...}");
        return addChild(key, std::move(path), false, {});
    }
    return addChild(key, std::move(path), false, value->get_object());
}

std::vector<std::reference_wrapper<SettingsReader>> SettingsReader::sections(std::string_view key)
{
    m_effective[key] = boost::json::array {};
    const boost::json::value* const value = lookUp(key);
    if (!value)
        return {};
    if (!value->is_array()) {
        addTypeProblem(key, *value, "an array of objects");
        return {};
    }
    std::vector<std::reference_wrapper<SettingsReader>> result;
    std::size_t index = 0;
    for (const boost::json::value& element : value->get_array()) {
        const std::string elementPath = fmt::format("{}[{}]", key, index++);
        if (!element.is_object()) {
            addTypeProblem(elementPath, element, "an object {...}");
            continue;
        }
        result.emplace_back(addChild(key, fmt::format("{}{}.", m_path, elementPath), true, element.get_object()));
    }
    return result;
}

void SettingsReader::addProblem(std::string_view key, std::string_view message)
{
    m_problems.push_back(fmt::format("{}: \"{}{}\": {}", m_name, m_path, key, message));
}

Outcome<void> SettingsReader::finish()
{
    std::vector<std::string> problems;
    collectProblems(problems);
    if (problems.empty())
        return boost::outcome_v2::success();
    return Error { ErrorKind::InvalidInput, fmt::format("{}", fmt::join(problems, "\n")) };
}

std::string SettingsReader::effectiveText() const
{
    return indentedJsonText(effective());
}

const boost::json::value* SettingsReader::lookUp(std::string_view key)
{
    m_allowedKeys.emplace_back(key);
    return m_object.if_contains(key);
}

void SettingsReader::addTypeProblem(std::string_view key, const boost::json::value& found, std::string_view allowed)
{
    addProblem(key, fmt::format("found {}; allowed: {}", quotedJson(found), allowed));
}

void SettingsReader::addMissingProblem(std::string_view key, std::string_view allowed)
{
    addProblem(key, fmt::format("is missing; allowed: {}", allowed));
}

SettingsReader& SettingsReader::addChild(
    std::string_view key, std::string path, bool inArray, boost::json::object object)
{
    std::unique_ptr<SettingsReader> reader { new SettingsReader { m_name, std::move(path), std::move(object) } };
    m_children.push_back({ std::string { key }, inArray, std::move(reader) });
    return *m_children.back().m_reader;
}

void SettingsReader::collectProblems(std::vector<std::string>& problems) const
{
    problems.insert(problems.end(), m_problems.begin(), m_problems.end());
    for (const boost::json::key_value_pair& pair : m_object) {
        if (std::ranges::find(m_allowedKeys, std::string_view { pair.key() }) != m_allowedKeys.end())
            continue;
        problems.push_back(fmt::format("{}: \"{}{}\": unknown key; allowed: {}", m_name, m_path,
            std::string_view { pair.key() }, allowedNamesText(pair.key(), m_allowedKeys)));
    }
    for (const Child& child : m_children)
        child.m_reader->collectProblems(problems);
}

boost::json::object SettingsReader::effective() const
{
    boost::json::object result = m_effective;
    for (const Child& child : m_children) {
        if (child.m_inArray)
            result[child.m_key].as_array().emplace_back(child.m_reader->effective());
        else
            result[child.m_key] = child.m_reader->effective();
    }
    return result;
}

} // namespace cuminrelay
