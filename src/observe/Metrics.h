#pragma once

#include <atomic>
#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/sum.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// A count that only grows. Cheap enough for the packet path: one relaxed addition.
class Counter {
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/// A value that goes up and down: what a process believes now.
class Gauge {
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value { 0 };
};

/// One counter at one moment.
struct CounterSample {
    std::string m_name;
    std::string m_reason;
    std::uint64_t m_value = 0;
};

/// The counters, gauges and histograms of one process, served as Prometheus text. References that it hands out stay
/// valid as long as it lives. Names are snake_case; a reason is a label value, so that each refusal, retry and drop
/// reason has a counter of its own: cuminrelay_drops_total{reason="hop_limit"}.
class Metrics {
public:
    Counter& counter(std::string_view name, std::string_view reason = {});

    /// A gauge; state tells several of one name apart: cuminrelay_backends{state="ready"}.
    Gauge& gauge(std::string_view name, std::string_view state = {});

    /// Adds a sample to a histogram with logarithmic bins from 1 microsecond to 100 seconds.
    void observeSeconds(std::string_view name, double seconds);

    /// The sum of a counter over its reasons; 0 for an unknown name.
    std::uint64_t total(std::string_view name) const;

    /// All counters, sorted by name and reason.
    std::vector<CounterSample> samples() const;

    std::string prometheusText() const;

private:
    using SecondsBins = decltype(boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(1, 1e-6, 1.0)));

    struct SecondsHistogram {
        SecondsBins m_bins;
        boost::histogram::accumulators::sum<double> m_sum;
    };

    struct LabelledName {
        std::string m_name;
        std::string m_label; ///< a counter's reason, a gauge's state
        friend auto operator<=>(const LabelledName&, const LabelledName&) = default;
    };

    template <typename Value>
    static void appendAll(
        std::string& text, std::string_view type, std::string_view label, const std::map<LabelledName, Value>& values);

    mutable std::mutex m_mutex;
    std::map<LabelledName, Counter> m_counters;
    std::map<LabelledName, Gauge> m_gauges;
    std::map<std::string, SecondsHistogram, std::less<>> m_histograms;
};

} // namespace cuminrelay
