#include "control/RpcMailbox.h"

namespace cuminrelay {

void RpcMailbox::post(std::function<void()> work)
{
    const std::lock_guard<std::mutex> lock { m_mutex };
    if (m_closed)
        return;
    m_work.push_back(std::move(work));
    wake();
}

void RpcMailbox::close()
{
    const std::lock_guard<std::mutex> lock { m_mutex };
    m_closed = true;
    wake();
}

void RpcMailbox::wake()
{
    if (m_wakeFulfiller.get())
        m_wakeFulfiller->fulfill();
    m_wakeFulfiller = nullptr;
}

void RpcMailbox::run(kj::WaitScope& scope)
{
    while (true) {
        kj::PromiseCrossThreadFulfillerPair<void> sleep = kj::newPromiseAndCrossThreadFulfiller<void>();
        std::deque<std::function<void()>> work;
        {
            const std::lock_guard<std::mutex> lock { m_mutex };
            work.swap(m_work);
            if (work.empty() && m_closed)
                return;
            if (work.empty())
                m_wakeFulfiller = kj::mv(sleep.fulfiller);
        }
        for (const std::function<void()>& item : work)
            item();
        if (work.empty())
            sleep.promise.wait(scope);
    }
}

} // namespace cuminrelay
