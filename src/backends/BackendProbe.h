#pragma once

#include "backends/HealthTracker.h"
#include "backends/LoadMessage.h"
#include "base/Endpoint.h"
#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace cuminrelay {

/// The result of one probe; the load is meaningful with ProbeSignal::Good and Slow.
struct ProbeResult {
    ProbeSignal m_signal = ProbeSignal::NoAnswer;
    BackendLoad m_load;
};

/// Asks one backend server how it is.
class BackendProbe {
public:
    BackendProbe() = default;
    BackendProbe(const BackendProbe&) = delete;
    BackendProbe& operator=(const BackendProbe&) = delete;
    virtual ~BackendProbe() = default;

    /// Asks once; done by the deadline. Never throws, except when the coroutine is cancelled.
    virtual boost::asio::awaitable<ProbeResult> probe(Deadline deadline) = 0;
};

/// Makes a probe for each backend server.
class BackendProbeFactory {
public:
    BackendProbeFactory() = default;
    BackendProbeFactory(const BackendProbeFactory&) = delete;
    BackendProbeFactory& operator=(const BackendProbeFactory&) = delete;
    virtual ~BackendProbeFactory() = default;

    /// report: the backend server's health and load endpoint.
    virtual std::unique_ptr<BackendProbe> open(Endpoint report) = 0;
};

/// Takes the results of a probe task.
class ProbeSink {
public:
    ProbeSink() = default;
    ProbeSink(const ProbeSink&) = delete;
    ProbeSink& operator=(const ProbeSink&) = delete;
    virtual ~ProbeSink() = default;

    virtual void noteProbe(Endpoint backend, const ProbeResult& result) = 0;
};

/// The task of one probed backend server: probes it at each interval until it is cancelled. The first probe comes at a
/// part of the interval that depends on the backend server, so that probes spread out.
boost::asio::awaitable<void> probeRepeatedly(
    Endpoint backend, std::unique_ptr<BackendProbe> probe, Duration interval, const Clock& clock, ProbeSink& sink);

} // namespace cuminrelay
