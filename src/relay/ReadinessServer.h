#pragma once

#include "observe/HttpGetServer.h"

#include <string>

namespace cuminrelay {

/// Serves the readiness of this entry VM, which the fabric queries before it sends packets here.
class ReadinessServer final : public HttpGetServer {
public:
    ReadinessServer(const boost::asio::any_io_executor& executor, std::string path, Metrics& metrics, Log& log);

    void setReady(bool ready);
    bool isReady() const { return m_isReady; }

    /// Number of "not ready" answers since the last setReady(true).
    unsigned notReadyAnswers() const { return m_notReadyAnswers; }

private:
    HttpGetResponse answer(std::string_view target) override;

    std::string m_path;
    Counter& m_readyCounter;
    Counter& m_notReadyCounter;
    bool m_isReady = false;
    unsigned m_notReadyAnswers = 0;
};

} // namespace cuminrelay
