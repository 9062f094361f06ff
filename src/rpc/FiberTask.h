#pragma once

#include <cstddef>
#include <kj/async.h>
#include <utility>

namespace cuminrelay {

/// Stack size of a fiber. Untouched pages use no physical memory.
inline constexpr std::size_t c_fiberStackBytes = 262'144;

/// Implements startFiberTask: runs a function on a fiber and fulfils a promise when the function returns.
///
/// KJ 0.9 runs the function of a fiber that is destroyed before its first turn, and aborts the process if that function
/// waits. This class skips the function in that case.
template <typename Function> class FiberTask {
public:
    FiberTask(kj::PromiseFulfiller<void>& fulfiller, Function function)
        : m_function(std::move(function))
        , m_fiber(start(fulfiller))
    {
    }
    FiberTask(const FiberTask&) = delete;
    FiberTask& operator=(const FiberTask&) = delete;
    ~FiberTask() { m_isDestroyed = true; }

private:
    kj::Promise<void> start(kj::PromiseFulfiller<void>& fulfiller)
    {
        return kj::startFiber(c_fiberStackBytes,
            [this](kj::WaitScope& scope) {
                if (!m_isDestroyed)
                    m_function(scope);
            })
            .then([&fulfiller] { fulfiller.fulfill(); },
                [&fulfiller](kj::Exception&& failure) { fulfiller.reject(kj::mv(failure)); })
            .eagerlyEvaluate(nullptr);
    }

    bool m_isDestroyed = false;
    Function m_function;
    kj::Promise<void> m_fiber; ///< last member, so that the fiber is destroyed before the members that it uses
};

/// Calls function(kj::WaitScope&) on a separate fiber. Destroying the returned promise cancels the fiber. A
/// kj::Exception thrown by the function rejects the promise.
template <typename Function> kj::Promise<void> startFiberTask(Function&& function)
{
    return kj::newAdaptedPromise<void, FiberTask<std::decay_t<Function>>>(std::forward<Function>(function));
}

} // namespace cuminrelay
