#include "observe/Metrics.h"

#include <fmt/format.h>

namespace cuminrelay {

namespace {

    namespace histogram = boost::histogram;

    constexpr unsigned c_bins = 40;
    constexpr double c_minimumSeconds = 1e-6;
    constexpr double c_maximumSeconds = 100;

} // namespace

Counter& Metrics::counter(std::string_view name, std::string_view reason)
{
    const std::lock_guard<std::mutex> lock { m_mutex };
    return m_counters[LabelledName { std::string { name }, std::string { reason } }];
}

Gauge& Metrics::gauge(std::string_view name, std::string_view state)
{
    const std::lock_guard<std::mutex> lock { m_mutex };
    return m_gauges[LabelledName { std::string { name }, std::string { state } }];
}

void Metrics::observeSeconds(std::string_view name, double seconds)
{
    const std::lock_guard<std::mutex> lock { m_mutex };
    auto found = m_histograms.find(name);
    if (found == m_histograms.end()) {
        using LogarithmicAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
        found = m_histograms
                    .emplace(std::string { name },
                        SecondsHistogram {
                            histogram::make_histogram(LogarithmicAxis { c_bins, c_minimumSeconds, c_maximumSeconds }),
                            {} })
                    .first;
    }
    found->second.m_bins(seconds);
    found->second.m_sum += seconds;
}

std::uint64_t Metrics::total(std::string_view name) const
{
    const std::lock_guard<std::mutex> lock { m_mutex };
    std::uint64_t sum = 0;
    for (const auto& [key, counter] : m_counters) {
        if (key.m_name == name)
            sum += counter.value();
    }
    return sum;
}

std::vector<CounterSample> Metrics::samples() const
{
    const std::lock_guard<std::mutex> lock { m_mutex };
    std::vector<CounterSample> samples;
    samples.reserve(m_counters.size());
    for (const auto& [key, counter] : m_counters)
        samples.push_back({ key.m_name, key.m_label, counter.value() });
    return samples;
}

template <typename Value>
void Metrics::appendSeries(
    std::string& text, std::string_view type, std::string_view label, const std::map<LabelledName, Value>& values)
{
    std::string_view previousName;
    for (const auto& [key, value] : values) {
        if (key.m_name != previousName)
            text += fmt::format("# TYPE {} {}\n", key.m_name, type);
        previousName = key.m_name;
        if (key.m_label.empty())
            text += fmt::format("{} {}\n", key.m_name, value.value());
        else
            text += fmt::format("{}{{{}=\"{}\"}} {}\n", key.m_name, label, key.m_label, value.value());
    }
}

std::string Metrics::prometheusText() const
{
    const std::lock_guard<std::mutex> lock { m_mutex };
    std::string text;
    appendSeries(text, "counter", "reason", m_counters);
    appendSeries(text, "gauge", "state", m_gauges);
    for (const auto& [name, entry] : m_histograms) {
        text += fmt::format("# TYPE {} histogram\n", name);
        double cumulative = entry.m_bins.at(-1);
        text += fmt::format("{}_bucket{{le=\"{:.3g}\"}} {}\n", name, c_minimumSeconds, cumulative);
        for (const auto& bin : histogram::indexed(entry.m_bins)) {
            cumulative += *bin;
            text += fmt::format("{}_bucket{{le=\"{:.3g}\"}} {}\n", name, bin.bin().upper(), cumulative);
        }
        cumulative += entry.m_bins.at(static_cast<int>(c_bins));
        text += fmt::format("{}_bucket{{le=\"+Inf\"}} {}\n", name, cumulative);
        text += fmt::format("{}_sum {}\n{}_count {}\n", name, entry.m_sum.value(), name, cumulative);
    }
    return text;
}

} // namespace cuminrelay
