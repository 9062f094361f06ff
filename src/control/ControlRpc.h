#pragma once

#include "control/ControlOptions.h"
#include "control/FleetInbox.h"
#include "control/FleetListener.h"
#include "control/RpcMailbox.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <future>
#include <thread>
#include <vector>

namespace cuminrelay {

/// The RPC thread of a control process, with one fiber for each peer and one for the entry process of the same VM.
/// Inputs are posted to the thread; results go to the listener.
class ControlRpc final : public FleetInbox {
public:
    ControlRpc(ControlOptions options, const Clock& clock, Metrics& metrics, Log& log, FleetListener& listener);

    ~ControlRpc() noexcept override;

    /// Listens on the control endpoint of this VM and starts the thread. Returns the port. Errors: Unavailable, with
    /// the endpoint.
    Outcome<std::uint16_t> start();

    /// Ends the thread and all sessions; the entry process keeps its state.
    void stop();

    void offerConfiguration(Configuration configuration) override;
    void applyList(std::vector<Member> listed) override;
    void applyOwnReports(std::vector<BackendReport> reports) override;

private:
    void run(std::promise<Outcome<std::uint16_t>> started);

    ControlOptions m_options;
    const Clock& m_clock;
    Metrics& m_metrics;
    Log& m_log;
    FleetListener& m_listener;
    RpcMailbox m_mailbox;
    class ControlHub* m_hub = nullptr; ///< used on the RPC thread only
    std::thread m_thread;
};

} // namespace cuminrelay
