#include "settings/JsonOutline.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <fmt/format.h>
#include <optional>

namespace cuminrelay {

namespace {

    constexpr std::string_view c_spaces = " \t\r\n";
    constexpr std::string_view c_endsOfScalar = " \t\r\n,:\"[]{}";

    /// Reads a text from left to right.
    class OutlineReader {
    public:
        explicit OutlineReader(std::string_view text)
            : m_text(text)
        {
        }

        bool take(char expected)
        {
            skipSpaces();
            if (m_position >= m_text.size() || m_text[m_position] != expected)
                return false;
            ++m_position;
            return true;
        }

        bool isAtEnd()
        {
            skipSpaces();
            return m_position >= m_text.size();
        }

        /// Takes a quoted string and returns it without its quotes.
        std::optional<std::string_view> takeString()
        {
            if (!take('"'))
                return std::nullopt;
            const std::size_t begin = m_position;
            if (!skipRestOfString())
                return std::nullopt;
            return m_text.substr(begin, m_position - 1 - begin);
        }

        /// Takes a value of any kind. An array or object ends with the bracket that closes its first one.
        std::optional<std::string_view> takeValue()
        {
            skipSpaces();
            const std::size_t begin = m_position;
            if (begin >= m_text.size())
                return std::nullopt;
            const char first = m_text[begin];
            const bool isComplete = first == '"' ? takeString().has_value()
                : first == '{' || first == '['   ? skipNested()
                                                 : skipScalar();
            return isComplete ? std::optional { m_text.substr(begin, m_position - begin) } : std::nullopt;
        }

        std::size_t position() const { return m_position; }

    private:
        void skipSpaces() { m_position = std::min(m_text.find_first_not_of(c_spaces, m_position), m_text.size()); }

        bool skipRestOfString()
        {
            for (;;) {
                m_position = m_text.find_first_of("\"\\", m_position);
                if (m_position == std::string_view::npos || m_position + 1 > m_text.size())
                    return fail();
                if (m_text[m_position++] == '"')
                    return true;
                if (m_position >= m_text.size())
                    return fail();
                ++m_position; // the escaped character
            }
        }

        /// Counts the open brackets, so that any nesting takes constant memory.
        bool skipNested()
        {
            std::size_t open = 0;
            do {
                m_position = m_text.find_first_of("\"{}[]", m_position);
                if (m_position == std::string_view::npos)
                    return fail();
                const char found = m_text[m_position++];
                if (found == '"') {
                    if (!skipRestOfString())
                        return false;
                } else if (found == '{' || found == '[') {
                    ++open;
                } else {
                    --open;
                }
            } while (open > 0);
            return true;
        }

        bool skipScalar()
        {
            const std::size_t begin = m_position;
            m_position = std::min(m_text.find_first_of(c_endsOfScalar, begin), m_text.size());
            return m_position > begin;
        }

        bool fail()
        {
            m_position = m_text.size();
            return false;
        }

        std::string_view m_text;
        std::size_t m_position = 0;
    };

    Error malformed(const OutlineReader& reader, std::string_view allowed)
    {
        return { ErrorKind::InvalidInput,
            fmt::format("malformed JSON at byte {}; allowed: {}", reader.position(), allowed) };
    }

} // namespace

Outcome<std::vector<JsonMember>> splitJsonObject(std::string_view text)
{
    OutlineReader reader { text };
    std::vector<JsonMember> members;
    if (!reader.take('{'))
        return malformed(reader, "an object {...}");
    if (!reader.take('}')) {
        do {
            const std::optional<std::string_view> key = reader.takeString();
            if (!key || !reader.take(':'))
                return malformed(reader, "a member \"key\": value");
            const std::optional<std::string_view> value = reader.takeValue();
            if (!value)
                return malformed(reader, "a complete value");
            members.push_back({ *key, *value });
        } while (reader.take(','));
        if (!reader.take('}'))
            return malformed(reader, "\",\" or \"}\"");
    }
    if (!reader.isAtEnd())
        return malformed(reader, "nothing after the object");
    return members;
}

Outcome<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    OutlineReader reader { text };
    std::vector<std::string_view> elements;
    if (!reader.take('['))
        return malformed(reader, "an array [...]");
    if (!reader.take(']')) {
        do {
            const std::optional<std::string_view> element = reader.takeValue();
            if (!element)
                return malformed(reader, "a complete value");
            elements.push_back(*element);
        } while (reader.take(','));
        if (!reader.take(']'))
            return malformed(reader, "\",\" or \"]\"");
    }
    if (!reader.isAtEnd())
        return malformed(reader, "nothing after the array");
    return elements;
}

Outcome<boost::json::value> parseJsonValue(std::string_view text)
{
    boost::json::parse_options options;
    options.max_depth = c_maxJsonNesting;
    boost::system::error_code failure;
    boost::json::value value = boost::json::parse({ text.data(), text.size() }, failure, {}, options);
    if (failure)
        return Error { ErrorKind::InvalidInput, failure.message() };
    return value;
}

} // namespace cuminrelay
