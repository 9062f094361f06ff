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

/// Reads one settings file: JSON with comments. Each getter names a key, its range and its default; problems are
/// gathered, one line each, and unknown keys are reported with the nearest known one. After the last getter, finish()
/// says whether the file is good. The effective settings, defaults included, can be printed for --check.
///
/// Getters go on after a problem and return the fallback (or an empty value), so that one run reports all problems.
class SettingsReader {
public:
    /// Loads and parses the file. Errors: NotFound, InvalidInput with the line.
    static Outcome<SettingsReader> load(std::string_view path);

    /// Parses the text; name stands for the file in messages. Errors: InvalidInput with the line.
    static Outcome<SettingsReader> parse(std::string name, std::string_view text);

    /// For tests and nested objects: reads from an object; name stands for the file in messages.
    SettingsReader(std::string name, boost::json::object object);

    /// Whether the key is present; does not make it known.
    bool has(std::string_view key) const;

    /// A text that must be present and not empty.
    std::string requiredText(std::string_view key);
    std::string text(std::string_view key, std::string_view fallback);

    /// A text that is one of the allowed ones.
    std::string choice(std::string_view key, std::string_view fallback, std::span<const std::string_view> allowed);

    /// The name of a log level; info when it is not given.
    LogLevel logLevel(std::string_view key);

    bool boolean(std::string_view key, bool fallback);
    std::uint64_t integer(std::string_view key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum);
    double real(std::string_view key, double fallback, double minimum, double maximum);

    /// An "a.b.c.d:port" that must be present.
    Endpoint requiredEndpoint(std::string_view key);

    /// An "a.b.c.d:port"; the fallback when absent.
    Endpoint endpoint(std::string_view key, Endpoint fallback);

    /// An array of "a.b.c.d:port"; may be absent.
    std::vector<Endpoint> endpoints(std::string_view key);

    /// An array of texts; may be absent.
    std::vector<std::string> texts(std::string_view key);

    /// A nested object with getters of its own; an empty one when absent. Its problems are reported and its effective
    /// settings printed by this reader. The reference stays valid as long as this reader, moved or not, lives.
    SettingsReader& section(std::string_view key);

    /// An array of nested objects; may be absent. References as with section.
    std::vector<std::reference_wrapper<SettingsReader>> sections(std::string_view key);

    /// Records a problem that only the program can see, such as two keys that contradict each other.
    void addProblem(std::string_view key, std::string_view message);

    /// Fails with InvalidInput when anything was wrong; the message has one line for each problem.
    Outcome<void> finish();

    /// The settings in effect, defaults included, as indented JSON.
    std::string effectiveText() const;

private:
    struct Child {
        std::string m_key;
        bool m_inArray = false;
        std::unique_ptr<SettingsReader> m_reader;
    };

    SettingsReader(std::string name, std::string path, boost::json::object object);

    const boost::json::value* take(std::string_view key);
    void addTypeProblem(std::string_view key, const boost::json::value& found, std::string_view allowed);
    void addMissingProblem(std::string_view key, std::string_view allowed);
    SettingsReader& addChild(std::string_view key, std::string path, bool inArray, boost::json::object object);
    void gatherProblems(std::vector<std::string>& problems) const;
    boost::json::object effective() const;

    std::string m_name; ///< the file, in messages
    std::string m_path; ///< where in the file this object stands, with a trailing dot; empty for the whole file
    boost::json::object m_object;
    boost::json::object m_effective;
    std::vector<std::string> m_known;
    std::vector<std::string> m_problems;
    std::vector<Child> m_children;
};

} // namespace cuminrelay
