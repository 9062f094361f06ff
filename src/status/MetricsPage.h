#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cuminrelay {

/// Samples of a metrics page in the Prometheus text format. Malformed lines are skipped.
class MetricsPage {
public:
    explicit MetricsPage(std::string_view text);

    /// The value of a sample, by its name and the value of its only label, if any.
    std::optional<double> find(std::string_view name, std::string_view label = {}) const;

    /// The values of a name's samples, by the value of their label.
    std::map<std::string, double> findAll(std::string_view name) const;

private:
    void parseLine(std::string_view line);

    std::map<std::string, double, std::less<>> m_values; ///< by name, or "name label"
};

} // namespace cuminrelay
