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

/// A monotonic counter. One relaxed atomic addition per update, which suits the packet path.
class Counter {
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/// A value that can rise and fall, such as the number of backend servers in a state.
class Gauge {
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value { 0 };
};

/// Value of a counter at one point in time.
struct CounterSample {
    std::string m_name;
    std::string m_reason;
    std::uint64_t m_value = 0;
};

/// The counters, gauges and histograms of one process, exported as Prometheus text. Returned references stay valid for
/// the lifetime of this object. Names are snake_case. A reason is a label value, so that each refusal, retry and drop
/// reason has a separate counter: cuminrelay_drops_total{reason="hop_limit"}.
class Metrics {
public:
    Counter& counter(std::string_view name, std::string_view reason = {});

    /// A gauge; state is a label value: cuminrelay_backends{state="ready"}.
    Gauge& gauge(std::string_view name, std::string_view state = {});

    /// Adds a sample to a histogram with logarithmic bins from 1 microsecond to 100 seconds.
    void observeSeconds(std::string_view name, double seconds);

    /// The sum of a counter over all reasons; 0 for an unknown name.
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
        std::string m_label; ///< reason of a counter, state of a gauge
        friend auto operator<=>(const LabelledName&, const LabelledName&) = default;
    };

    template <typename Value>
    static void appendSeries(
        std::string& text, std::string_view type, std::string_view label, const std::map<LabelledName, Value>& values);

    mutable std::mutex m_mutex;
    std::map<LabelledName, Counter> m_counters;
    std::map<LabelledName, Gauge> m_gauges;
    std::map<std::string, SecondsHistogram, std::less<>> m_histograms;
};

} // namespace cuminrelay
