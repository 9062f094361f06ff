#pragma once

#include <deque>
#include <functional>
#include <kj/async.h>
#include <mutex>

namespace cuminrelay {

/// Carries work from other threads to the KJ event loop of the RPC thread. The loop sleeps until something is posted.
class RpcMailbox {
public:
    /// Posts work from any thread; dropped once the mailbox is closed.
    void post(std::function<void()> work);

    /// Runs posted work on the calling fiber until close() was called.
    void run(kj::WaitScope& scope);

    /// Ends run() after the work posted so far; from any thread.
    void close();

private:
    void wake();

    std::mutex m_mutex;
    std::deque<std::function<void()>> m_work;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_sleeper; ///< null while run() does not sleep
    bool m_closed = false;
};

} // namespace cuminrelay
