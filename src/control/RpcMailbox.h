#pragma once

#include <deque>
#include <functional>
#include <kj/async.h>
#include <mutex>

namespace cuminrelay {

/// Queue of work from other threads for the KJ event loop of the RPC thread. The loop sleeps while the queue is empty.
class RpcMailbox {
public:
    /// Posts work; discards it if the mailbox is closed. Thread-safe.
    void post(std::function<void()> work);

    /// Runs posted work on the calling thread until the mailbox is closed and empty.
    void run(kj::WaitScope& scope);

    /// Ends run() after the work posted so far. Thread-safe.
    void close();

private:
    void wake();

    std::mutex m_mutex;
    std::deque<std::function<void()>> m_work;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wakeFulfiller; ///< null unless run() sleeps
    bool m_closed = false;
};

} // namespace cuminrelay
