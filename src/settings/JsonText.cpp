#include "settings/JsonText.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parser.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_indentWidth = 2;
    constexpr std::size_t c_maximumLineWidth = 100;
    constexpr std::size_t c_maximumQuotedBytes = 60;

    void appendIndented(std::string& out, const boost::json::value& value, std::size_t indent);

    void appendMembers(std::string& out, const boost::json::object& object, std::size_t indent)
    {
        std::string_view separator = "\n";
        for (const boost::json::key_value_pair& pair : object) {
            out += separator;
            out.append(indent + c_indentWidth, ' ');
            out += boost::json::serialize(boost::json::string_view { pair.key() });
            out += ": ";
            appendIndented(out, pair.value(), indent + c_indentWidth);
            separator = ",\n";
        }
    }

    void appendElements(std::string& out, const boost::json::array& array, std::size_t indent)
    {
        std::string_view separator = "\n";
        for (const boost::json::value& element : array) {
            out += separator;
            out.append(indent + c_indentWidth, ' ');
            appendIndented(out, element, indent + c_indentWidth);
            separator = ",\n";
        }
    }

    void appendIndented(std::string& out, const boost::json::value& value, std::size_t indent)
    {
        const bool structured = value.is_object() || value.is_array();
        std::string flat = boost::json::serialize(value);
        if (!structured || (indent > 0 && indent + flat.size() <= c_maximumLineWidth) || flat.size() == 2) {
            out += flat;
            return;
        }
        out += value.is_object() ? '{' : '[';
        if (value.is_object())
            appendMembers(out, value.get_object(), indent);
        else
            appendElements(out, value.get_array(), indent);
        out += '\n';
        out.append(indent, ' ');
        out += value.is_object() ? '}' : ']';
    }

} // namespace

Outcome<boost::json::value> parseJsonText(std::string_view name, std::string_view text)
{
    boost::json::parse_options options;
    options.allow_comments = true;
    boost::json::parser parser { {}, options };
    boost::system::error_code failure;
    const std::size_t consumed = parser.write_some(text.data(), text.size(), failure);
    if (!failure && consumed < text.size())
        failure = boost::json::make_error_code(boost::json::error::extra_data);
    if (failure) {
        const std::string_view before = text.substr(0, consumed);
        const std::ptrdiff_t line = std::ranges::count(before, '\n') + 1;
        return Error { ErrorKind::InvalidInput,
            fmt::format("{}: line {}: {}; allowed: JSON with comments", name, line, failure.message()) };
    }
    return parser.release();
}

std::string_view describeJsonKind(const boost::json::value& value)
{
    switch (value.kind()) {
    case boost::json::kind::null:
        return "null";
    case boost::json::kind::bool_:
        return "a truth value";
    case boost::json::kind::int64:
    case boost::json::kind::uint64:
    case boost::json::kind::double_:
        return "a number";
    case boost::json::kind::string:
        return "a text";
    case boost::json::kind::array:
        return "an array";
    case boost::json::kind::object:
        return "an object";
    }
    return "an unknown kind";
}

std::string quotedJson(const boost::json::value& value)
{
    std::string text = boost::json::serialize(value);
    if (text.size() > c_maximumQuotedBytes) {
        text.resize(c_maximumQuotedBytes);
        text += "...";
    }
    return text;
}

std::string indentedJsonText(const boost::json::value& value)
{
    std::string out;
    appendIndented(out, value, 0);
    out += '\n';
    return out;
}

} // namespace cuminrelay
