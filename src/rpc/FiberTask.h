#pragma once

#include <cstddef>
#include <kj/async.h>
#include <utility>

namespace cuminrelay {

/// Stack of a fiber. Pages that are never touched cost nothing.
inline constexpr std::size_t c_fiberStackBytes = 262'144;

/// Runs a function on a fiber of its own, and fulfils a promise when it returns. Used through startFiberTask.
///
/// KJ 0.9 runs the function of a fiber that is destroyed before its first turn, and aborts the process when that
/// function then waits. Such a function is not run here.
template <typename Function> class FiberTask {
public:
    FiberTask(kj::PromiseFulfiller<void>& fulfiller, Function function)
        : m_function(std::move(function))
        , m_fiber(start(fulfiller))
    {
    }
    FiberTask(const FiberTask&) = delete;
    FiberTask& operator=(const FiberTask&) = delete;
    ~FiberTask() { m_ending = true; }

private:
    kj::Promise<void> start(kj::PromiseFulfiller<void>& fulfiller)
    {
        return kj::startFiber(c_fiberStackBytes,
            [this](kj::WaitScope& scope) {
                if (!m_ending)
                    m_function(scope);
            })
            .then([&fulfiller] { fulfiller.fulfill(); },
                [&fulfiller](kj::Exception&& failure) { fulfiller.reject(kj::mv(failure)); })
            .eagerlyEvaluate(nullptr);
    }

    bool m_ending = false;
    Function m_function;
    kj::Promise<void> m_fiber; ///< last, so that the fiber ends before what it uses
};

/// Starts a task that is written straight down as a function of a kj::WaitScope. It runs as long as the returned
/// promise lives; a kj::Exception that it throws rejects the promise.
template <typename Function> kj::Promise<void> startFiberTask(Function&& function)
{
    return kj::newAdaptedPromise<void, FiberTask<std::decay_t<Function>>>(std::forward<Function>(function));
}

} // namespace cuminrelay
