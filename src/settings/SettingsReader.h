#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "observe/Log.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// Reads a settings file (JSON with comments). Each getter names a key, its range and its default. After a problem,
/// getters return the fallback or an empty value, so that one run reports all problems. After the last getter, finish()
/// returns the problems, with a suggestion for each unknown key. effectiveText() is printed by --check.
class SettingsReader {
public:
    /// Loads and parses a file. Errors: NotFound if it cannot be read, and those of parse.
    static Outcome<SettingsReader> load(std::string_view path);

    /// Parses a text; name is the file name in messages. Errors: InvalidInput, with the line of a syntax error.
    static Outcome<SettingsReader> parse(std::string name, std::string_view text);

    /// Reads from an object, not a file.
    SettingsReader(std::string name, boost::json::object object);

    /// Tests for a key without adding it to the allowed keys.
    bool has(std::string_view key) const;

    /// A required text that is not empty.
    std::string requiredText(std::string_view key);
    std::string text(std::string_view key, std::string_view fallback);

    /// A text that must be one of the allowed values.
    std::string choice(std::string_view key, std::string_view fallback, std::span<const std::string_view> allowed);

    /// A log level, given by its name; info if absent.
    LogLevel logLevel(std::string_view key);

    bool boolean(std::string_view key, bool fallback);
    std::uint64_t integer(std::string_view key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum);
    double real(std::string_view key, double fallback, double minimum, double maximum);

    /// A required "a.b.c.d:port".
    Endpoint requiredEndpoint(std::string_view key);

    /// An "a.b.c.d:port"; the fallback if absent.
    Endpoint endpoint(std::string_view key, Endpoint fallback);

    /// An optional array of "a.b.c.d:port".
    std::vector<Endpoint> endpoints(std::string_view key);

    /// An optional array of texts.
    std::vector<std::string> texts(std::string_view key);

    /// A reader of a nested object, which is empty if absent. finish() and effectiveText() of this reader include it.
    /// The reference stays valid for the lifetime of this reader, also after a move.
    SettingsReader& section(std::string_view key);

    /// Readers of an optional array of nested objects. The references are valid as for section().
    std::vector<std::reference_wrapper<SettingsReader>> sections(std::string_view key);

    /// Records a problem found by the caller, such as two contradictory keys.
    void addProblem(std::string_view key, std::string_view message);

    /// Errors: InvalidInput if there are problems, with one line per problem.
    Outcome<void> finish();

    /// The effective settings, including defaults, as indented JSON.
    std::string effectiveText() const;

private:
    struct Child {
        std::string m_key;
        bool m_inArray = false;
        std::unique_ptr<SettingsReader> m_reader;
    };

    SettingsReader(std::string name, std::string path, boost::json::object object);

    const boost::json::value* lookUp(std::string_view key);
    void addTypeProblem(std::string_view key, const boost::json::value& found, std::string_view allowed);
    void addMissingProblem(std::string_view key, std::string_view allowed);
    SettingsReader& addChild(std::string_view key, std::string path, bool inArray, boost::json::object object);
    void collectProblems(std::vector<std::string>& problems) const;
    boost::json::object effective() const;

    std::string m_name; ///< file name in messages
    std::string m_path; ///< path of this object in the file, with a trailing dot; empty for the top level
    boost::json::object m_object;
    boost::json::object m_effective;
    std::vector<std::string> m_allowedKeys;
    std::vector<std::string> m_problems;
    std::vector<Child> m_children;
};

} // namespace cuminrelay
