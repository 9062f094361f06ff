#include "observe/MetricsServer.h"

namespace cuminrelay {

MetricsServer::MetricsServer(const boost::asio::any_io_executor& executor, Metrics& metrics, Log& log)
    : HttpGetServer(executor, "metrics", metrics, log)
    , m_metrics(metrics)
{
}

HttpGetResponse MetricsServer::answer(std::string_view target)
{
    if (target != "/metrics")
        return { 404, "only /metrics is served\n" };
    return { 200, m_metrics.prometheusText() };
}

} // namespace cuminrelay
