#include "relay/ReadinessServer.h"

#include <utility>

namespace cuminrelay {

ReadinessServer::ReadinessServer(
    const boost::asio::any_io_executor& executor, std::string path, Metrics& metrics, Log& log)
    : HttpGetServer(executor, "readiness", metrics, log)
    , m_path(std::move(path))
    , m_readyCounter(metrics.counter("cuminrelay_readiness_answers_total", "ready"))
    , m_notReadyCounter(metrics.counter("cuminrelay_readiness_answers_total", "not_ready"))
{
}

void ReadinessServer::setReady(bool ready)
{
    if (ready)
        m_notReadyAnswers = 0;
    m_isReady = ready;
}

HttpGetResponse ReadinessServer::answer(std::string_view target)
{
    if (target != m_path)
        return { 404, "only readiness is served\n" };
    if (m_isReady) {
        m_readyCounter.add();
        return { 200, "ready\n" };
    }
    m_notReadyCounter.add();
    ++m_notReadyAnswers;
    return { 503, "not ready\n" };
}

} // namespace cuminrelay
