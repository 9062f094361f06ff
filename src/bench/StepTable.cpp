#include "bench/StepTable.h"

#include <fmt/format.h>

namespace cuminrelay {

std::string formatStepTable(std::span<const std::string_view> faults, std::span<const std::string_view> steps,
    const std::function<StepCell(std::size_t fault, std::size_t step)>& cell)
{
    std::string text = fmt::format("{:<22}", "broke a promise/runs");
    for (const std::string_view step : steps)
        text += fmt::format(" {:>11}", step);
    text += '\n';
    for (std::size_t fault = 0; fault < faults.size(); ++fault) {
        text += fmt::format("{:<22}", faults[fault]);
        for (std::size_t step = 0; step < steps.size(); ++step) {
            const StepCell counted = cell(fault, step);
            text += fmt::format(" {:>11}", fmt::format("{}/{}", counted.m_violating, counted.m_runs));
        }
        text += '\n';
    }
    return text;
}

} // namespace cuminrelay
