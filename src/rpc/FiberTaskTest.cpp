#include "rpc/FiberTask.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>
#include <kj/debug.h>

namespace cuminrelay {
namespace {

    /// Sets a flag on destruction.
    class DestructionRecorder {
    public:
        explicit DestructionRecorder(bool& destroyed)
            : m_destroyed(destroyed)
        {
        }
        DestructionRecorder(const DestructionRecorder&) = delete;
        DestructionRecorder& operator=(const DestructionRecorder&) = delete;
        ~DestructionRecorder() { m_destroyed = true; }

    private:
        bool& m_destroyed;
    };

    TEST(FiberTask, aTaskDestroyedBeforeItsFirstTurnDoesNotRun)
    {
        const kj::AsyncIoContext io = kj::setupAsyncIo();
        bool hasRun = false;
        {
            const kj::Promise<void> task = startFiberTask([&](kj::WaitScope& scope) {
                hasRun = true;
                kj::Promise<void>(kj::NEVER_DONE).wait(scope);
            });
        }
        EXPECT_FALSE(hasRun);
    }

    TEST(FiberTask, destroyingAWaitingTaskUnwindsItsStack)
    {
        kj::AsyncIoContext io = kj::setupAsyncIo();
        bool unwound = false;
        {
            const kj::Promise<void> task = startFiberTask([&](kj::WaitScope& scope) {
                const DestructionRecorder recorder { unwound };
                kj::Promise<void>(kj::NEVER_DONE).wait(scope);
            });
            kj::evalLater([] {}).wait(io.waitScope);
            EXPECT_FALSE(unwound);
        }
        EXPECT_TRUE(unwound);
    }

    TEST(FiberTask, thePromiseIsFulfilledWhenTheFunctionReturns)
    {
        kj::AsyncIoContext io = kj::setupAsyncIo();
        int value = 0;
        startFiberTask([&](kj::WaitScope& scope) {
            value = kj::evalLater([] { return 3; }).wait(scope);
        }).wait(io.waitScope);
        EXPECT_EQ(value, 3);
    }

    TEST(FiberTask, thePromiseIsRejectedWithTheThrownException)
    {
        kj::AsyncIoContext io = kj::setupAsyncIo();
        kj::Promise<void> task
            = startFiberTask([](kj::WaitScope&) { kj::throwFatalException(KJ_EXCEPTION(OVERLOADED, "no room")); });
        const kj::Maybe<kj::Exception> failed = kj::runCatchingExceptions([&] { task.wait(io.waitScope); });
        KJ_IF_MAYBE (failure, failed)
            EXPECT_EQ(failure->getType(), kj::Exception::Type::OVERLOADED);
        else
            ADD_FAILURE() << "nothing was thrown";
    }

} // namespace
} // namespace cuminrelay
