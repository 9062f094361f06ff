#pragma once

#include "observe/HttpGetServer.h"

namespace cuminrelay {

/// Serves the metrics of a process at GET /metrics in the Prometheus text format.
class MetricsServer final : public HttpGetServer {
public:
    MetricsServer(const boost::asio::any_io_executor& executor, Metrics& metrics, Log& log);

private:
    HttpGetResponse answer(std::string_view target) override;

    const Metrics& m_metrics;
};

} // namespace cuminrelay
