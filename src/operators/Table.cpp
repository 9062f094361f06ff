#include "operators/Table.h"

#include "base/Assert.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace cuminrelay::operators {

Table::Table(std::vector<std::string> headings)
{
    m_rows.push_back(std::move(headings));
}

void Table::addRow(std::vector<std::string> cells)
{
    CR_ASSERT(cells.size() == m_rows.front().size(), "a row has one cell for each heading");
    m_rows.push_back(std::move(cells));
}

std::string Table::text() const
{
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const std::vector<std::string>& row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string out;
    for (const std::vector<std::string>& row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += fmt::format("{:<{}}  ", row[i], widths[i]);
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + '\n';
    }
    return out;
}

} // namespace cuminrelay::operators
