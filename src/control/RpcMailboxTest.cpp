#include "control/RpcMailbox.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>
#include <thread>
#include <vector>

namespace cuminrelay {
namespace {

    TEST(RpcMailbox, workOfOtherThreadsRunsInOrderUntilClosed)
    {
        const int items = 1000;
        RpcMailbox mailbox;
        std::vector<int> seen;
        std::thread poster { [&] {
            for (int i = 0; i < items; ++i)
                mailbox.post([&seen, i] { seen.push_back(i); });
            mailbox.close();
            mailbox.post([&seen] { seen.push_back(-1); });
        } };
        kj::AsyncIoContext io = kj::setupAsyncIo();
        mailbox.run(io.waitScope);
        poster.join();
        ASSERT_EQ(seen.size(), static_cast<std::size_t>(items));
        for (int i = 0; i < items; ++i)
            EXPECT_EQ(seen[static_cast<std::size_t>(i)], i);
    }

} // namespace
} // namespace cuminrelay
