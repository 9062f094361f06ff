#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// Reads one settings file: JSON with comments. Each getter names a key, its range and its default; problems are
/// gathered, one line each, and unknown keys are reported with the nearest known one. After the last getter, finish()
/// says whether the file is good. The effective settings, defaults included, can be printed for --check.
class SettingsReader {
public:
    /// Loads and parses the file. Errors: NotFound, InvalidInput with the line.
    static Outcome<SettingsReader> load(std::string_view path);

    /// For tests and nested objects: reads from an object; name stands for the file in messages.
    SettingsReader(std::string name, boost::json::object object);

    /// A text that must be present and not empty.
    std::string requiredText(std::string_view key);
    std::string text(std::string_view key, std::string_view fallback);
    bool boolean(std::string_view key, bool fallback);
    std::uint64_t integer(std::string_view key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum);
    double real(std::string_view key, double fallback, double minimum, double maximum);

    /// An "a.b.c.d:port" that must be present.
    Endpoint requiredEndpoint(std::string_view key);

    /// An array of "a.b.c.d:port"; may be absent.
    std::vector<Endpoint> endpoints(std::string_view key);

    /// An array of texts; may be absent.
    std::vector<std::string> texts(std::string_view key);

    /// Records a problem that only the program can see, such as two keys that contradict each other.
    void addProblem(std::string_view key, std::string_view message);

    /// Fails with InvalidInput when anything was wrong; the message has one line for each problem.
    Outcome<void> finish();

    /// The settings in effect, defaults included, as indented JSON.
    std::string effectiveText() const;

private:
    const boost::json::value* take(std::string_view key);

    std::string m_name;
    boost::json::object m_object;
    boost::json::object m_effective;
    std::vector<std::string> m_known;
    std::vector<std::string> m_problems;
};

} // namespace cuminrelay
