#include "configuration/Selector.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_maximumNameBytes = 63;
    constexpr std::size_t c_maximumPrefixBytes = 253;

    bool isAlphanumeric(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    }

    bool isNameByte(char c)
    {
        return isAlphanumeric(c) || c == '-' || c == '_' || c == '.';
    }

    bool isWordByte(char c)
    {
        return isNameByte(c) || c == '/';
    }

    bool isSpace(char c)
    {
        return c == ' ' || c == '\t';
    }

    bool isValidName(std::string_view name, std::size_t maximumBytes)
    {
        return !name.empty() && name.size() <= maximumBytes && isAlphanumeric(name.front())
            && isAlphanumeric(name.back()) && std::ranges::all_of(name, isNameByte);
    }

    Error invalid(std::string message)
    {
        return { ErrorKind::InvalidInput, std::move(message) };
    }

    /// Recursive descent parser.
    class SelectorParser {
    public:
        explicit SelectorParser(std::string_view text)
            : m_text(text)
        {
        }

        Outcome<Selector> parse()
        {
            Selector selector;
            do {
                Outcome<SelectorRequirement> requirement = parseRequirement();
                if (!requirement)
                    return requirement.error();
                selector.m_requirements.push_back(std::move(requirement.value()));
            } while (takeSymbol(","));
            skipSpaces();
            if (m_position < m_text.size())
                return unexpected("\",\" or the end");
            return selector;
        }

    private:
        Outcome<SelectorRequirement> parseRequirement()
        {
            if (takeSymbol("!"))
                return parseExistence(SelectorOperator::DoesNotExist);
            const std::size_t start = m_position;
            const std::string_view key = takeWord();
            if (const Outcome<void> checked = checkLabelKey(key); !checked) {
                m_position = start;
                return unexpected("a label key");
            }
            SelectorRequirement requirement { std::string { key }, SelectorOperator::Exists, {} };
            if (takeSymbol("!="))
                return parseEquality(std::move(requirement), SelectorOperator::NotEquals);
            if (takeSymbol("==") || takeSymbol("="))
                return parseEquality(std::move(requirement), SelectorOperator::Equals);
            if (takeKeyword("notin"))
                return parseSet(std::move(requirement), SelectorOperator::NotIn);
            if (takeKeyword("in"))
                return parseSet(std::move(requirement), SelectorOperator::In);
            return requirement;
        }

        Outcome<SelectorRequirement> parseExistence(SelectorOperator op)
        {
            const std::string_view key = takeWord();
            if (const Outcome<void> checked = checkLabelKey(key); !checked)
                return checked.error();
            return SelectorRequirement { std::string { key }, op, {} };
        }

        Outcome<SelectorRequirement> parseEquality(SelectorRequirement requirement, SelectorOperator op)
        {
            const std::string_view value = takeWord();
            if (const Outcome<void> checked = checkLabelValue(value); !checked)
                return checked.error();
            requirement.m_operator = op;
            requirement.m_values.emplace_back(value);
            return requirement;
        }

        Outcome<SelectorRequirement> parseSet(SelectorRequirement requirement, SelectorOperator op)
        {
            if (!takeSymbol("("))
                return unexpected("\"(\"");
            do {
                const std::string_view value = takeWord();
                if (const Outcome<void> checked = checkLabelValue(value); !checked)
                    return checked.error();
                requirement.m_values.emplace_back(value);
            } while (takeSymbol(","));
            if (!takeSymbol(")"))
                return unexpected("\",\" or \")\"");
            requirement.m_operator = op;
            std::ranges::sort(requirement.m_values);
            requirement.m_values.erase(
                std::unique(requirement.m_values.begin(), requirement.m_values.end()), requirement.m_values.end());
            return requirement;
        }

        void skipSpaces()
        {
            while (m_position < m_text.size() && isSpace(m_text[m_position]))
                ++m_position;
        }

        bool takeSymbol(std::string_view symbol)
        {
            skipSpaces();
            if (!m_text.substr(m_position).starts_with(symbol))
                return false;
            m_position += symbol.size();
            return true;
        }

        bool takeKeyword(std::string_view keyword)
        {
            const std::size_t start = m_position;
            if (takeWord() == keyword)
                return true;
            m_position = start;
            return false;
        }

        std::string_view takeWord()
        {
            skipSpaces();
            const std::size_t start = m_position;
            while (m_position < m_text.size() && isWordByte(m_text[m_position]))
                ++m_position;
            return m_text.substr(start, m_position - start);
        }

        Error unexpected(std::string_view allowed)
        {
            skipSpaces();
            const std::string_view rest = m_text.substr(m_position, c_maximumNameBytes);
            return invalid(
                fmt::format("selector: found \"{}\" at position {}; allowed: {}", rest, m_position, allowed));
        }

        std::string_view m_text;
        std::size_t m_position = 0;
    };

    std::string formatRequirement(const SelectorRequirement& requirement)
    {
        switch (requirement.m_operator) {
        case SelectorOperator::Equals:
            return fmt::format("{}={}", requirement.m_key, requirement.m_values.front());
        case SelectorOperator::NotEquals:
            return fmt::format("{}!={}", requirement.m_key, requirement.m_values.front());
        case SelectorOperator::In:
            return fmt::format("{} in ({})", requirement.m_key, fmt::join(requirement.m_values, ","));
        case SelectorOperator::NotIn:
            return fmt::format("{} notin ({})", requirement.m_key, fmt::join(requirement.m_values, ","));
        case SelectorOperator::Exists:
            return requirement.m_key;
        case SelectorOperator::DoesNotExist:
            return fmt::format("!{}", requirement.m_key);
        }
        return {};
    }

} // namespace

Outcome<Selector> parseSelector(std::string_view text)
{
    return SelectorParser { text }.parse();
}

std::string formatSelector(const Selector& selector)
{
    std::string out;
    for (const SelectorRequirement& requirement : selector.m_requirements) {
        if (!out.empty())
            out += ',';
        out += formatRequirement(requirement);
    }
    return out;
}

bool matches(const SelectorRequirement& requirement, const Labels& labels)
{
    const auto found = labels.find(requirement.m_key);
    const bool present = found != labels.end();
    const bool listed = present && std::ranges::find(requirement.m_values, found->second) != requirement.m_values.end();
    switch (requirement.m_operator) {
    case SelectorOperator::Equals:
    case SelectorOperator::In:
        return listed;
    case SelectorOperator::NotEquals:
    case SelectorOperator::NotIn:
        return !listed;
    case SelectorOperator::Exists:
        return present;
    case SelectorOperator::DoesNotExist:
        return !present;
    }
    return false;
}

bool matches(const Selector& selector, const Labels& labels)
{
    return !selector.m_requirements.empty()
        && std::ranges::all_of(selector.m_requirements,
            [&labels](const SelectorRequirement& requirement) { return matches(requirement, labels); });
}

Outcome<void> checkLabelKey(std::string_view key)
{
    const std::size_t slash = key.find('/');
    const std::string_view prefix = slash == std::string_view::npos ? std::string_view {} : key.substr(0, slash);
    const std::string_view name = slash == std::string_view::npos ? key : key.substr(slash + 1);
    const bool prefixValid = slash == std::string_view::npos || isValidName(prefix, c_maximumPrefixBytes);
    if (prefixValid && isValidName(name, c_maximumNameBytes))
        return boost::outcome_v2::success();
    return invalid(
        fmt::format("found label key \"{}\"; allowed: at most {} letters, digits, '-', '_', '.', beginning and "
                    "ending with a letter or digit, optionally after a prefix and '/'",
            key.substr(0, c_maximumPrefixBytes), c_maximumNameBytes));
}

Outcome<void> checkLabelValue(std::string_view value)
{
    if (value.empty() || isValidName(value, c_maximumNameBytes))
        return boost::outcome_v2::success();
    return invalid(
        fmt::format("found label value \"{}\"; allowed: empty, or at most {} letters, digits, '-', '_', '.', "
                    "beginning and ending with a letter or digit",
            value.substr(0, c_maximumPrefixBytes), c_maximumNameBytes));
}

Outcome<void> checkName(std::string_view name)
{
    if (isValidName(name, c_maximumNameBytes))
        return boost::outcome_v2::success();
    return invalid(
        fmt::format("found name \"{}\"; allowed: 1 to {} letters, digits, '-', '_', '.', beginning and ending "
                    "with a letter or digit",
            name.substr(0, c_maximumPrefixBytes), c_maximumNameBytes));
}

} // namespace cuminrelay
