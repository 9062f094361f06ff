#pragma once

#include "observe/GetServer.h"

#include <string>

namespace cuminrelay {

/// Tells the fabric whether packets may be sent to this entry VM.
class ReadinessServer final : public GetServer {
public:
    ReadinessServer(const boost::asio::any_io_executor& executor, std::string path, Metrics& metrics, Log& log);

    void setReady(bool ready);
    bool isReady() const { return m_isReady; }

    /// How often the fabric was told "no" since the last "yes".
    unsigned refusals() const { return m_refusals; }

private:
    GetAnswer answer(std::string_view target) override;

    std::string m_path;
    Counter& m_yes;
    Counter& m_no;
    bool m_isReady = false;
    unsigned m_refusals = 0;
};

} // namespace cuminrelay
