#pragma once

#include <string>
#include <vector>

namespace cuminrelay::operators {

/// Text table with aligned columns for a terminal.
class Table {
public:
    explicit Table(std::vector<std::string> headings);

    /// Precondition: as many cells as headings.
    void addRow(std::vector<std::string> cells);

    bool empty() const { return m_rows.size() == 1; }

    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows; ///< headings first
};

} // namespace cuminrelay::operators
