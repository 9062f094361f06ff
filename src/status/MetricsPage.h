#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cuminrelay {

/// The values of a page of metrics in the Prometheus text format. What cannot be read is left out.
class MetricsPage {
public:
    explicit MetricsPage(std::string_view text);

    /// The value of a sample, by its name and, where it has one, the value of its only label.
    std::optional<double> find(std::string_view name, std::string_view label = {}) const;

private:
    void takeLine(std::string_view line);

    std::map<std::string, double, std::less<>> m_values; ///< by name, or "name label"
};

} // namespace cuminrelay
