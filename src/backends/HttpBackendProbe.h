#pragma once

#include "backends/BackendProbe.h"
#include "observe/Metrics.h"

#include <boost/asio/any_io_executor.hpp>

namespace cuminrelay {

/// Probes over HTTP/1.1: GET /load on a persistent connection. Status 200 with a valid body is healthy, 503 is
/// unhealthy; everything else counts as no answer. Counts bytes in cuminrelay_control_bytes_total and failures by
/// reason in cuminrelay_probe_failures_total.
class HttpBackendProbeFactory final : public BackendProbeFactory {
public:
    HttpBackendProbeFactory(boost::asio::any_io_executor executor, const Clock& clock, Metrics& metrics);

    std::unique_ptr<BackendProbe> open(Endpoint loadEndpoint) override;

private:
    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    Metrics& m_metrics;
};

} // namespace cuminrelay
