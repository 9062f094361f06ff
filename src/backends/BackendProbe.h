#pragma once

#include "backends/HealthTracker.h"
#include "backends/LoadMessage.h"
#include "base/Endpoint.h"
#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace cuminrelay {

/// Result of one probe; m_load is valid with ProbeSignal::Good and Slow.
struct ProbeResult {
    ProbeSignal m_signal = ProbeSignal::NoAnswer;
    BackendLoad m_load;
};

/// Probes the health and the load of one backend server.
class BackendProbe {
public:
    BackendProbe() = default;
    BackendProbe(const BackendProbe&) = delete;
    BackendProbe& operator=(const BackendProbe&) = delete;
    virtual ~BackendProbe() = default;

    /// Probes once; completes by the deadline. Throws only when the coroutine is cancelled.
    virtual boost::asio::awaitable<ProbeResult> probe(Deadline deadline) = 0;
};

/// Creates the probes of backend servers.
class BackendProbeFactory {
public:
    BackendProbeFactory() = default;
    BackendProbeFactory(const BackendProbeFactory&) = delete;
    BackendProbeFactory& operator=(const BackendProbeFactory&) = delete;
    virtual ~BackendProbeFactory() = default;

    /// Creates the probe of the backend server at a load endpoint.
    virtual std::unique_ptr<BackendProbe> open(Endpoint loadEndpoint) = 0;
};

/// Receives the results of probe tasks.
class ProbeSink {
public:
    ProbeSink() = default;
    ProbeSink(const ProbeSink&) = delete;
    ProbeSink& operator=(const ProbeSink&) = delete;
    virtual ~ProbeSink() = default;

    virtual void recordProbe(Endpoint backend, const ProbeResult& result) = 0;
};

/// Probes one backend server at each interval until cancelled. The first probe is delayed by a part of the interval
/// that depends on the backend server, so that probes are spread over time.
boost::asio::awaitable<void> probeRepeatedly(
    Endpoint backend, std::unique_ptr<BackendProbe> probe, Duration interval, const Clock& clock, ProbeSink& sink);

} // namespace cuminrelay
