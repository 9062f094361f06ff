#pragma once

#include "observe/GetServer.h"

namespace cuminrelay {

/// Serves the metrics of a process at GET /metrics in the Prometheus text format.
class MetricsServer final : public GetServer {
public:
    MetricsServer(const boost::asio::any_io_executor& executor, Metrics& metrics, Log& log);

private:
    GetAnswer answer(std::string_view target) override;

    const Metrics& m_metrics;
};

} // namespace cuminrelay
