#include "exchange/ContestedFlowsMessage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>

namespace cuminrelay {
namespace {

    RC_GTEST_PROP(ContestedFlowsMessageTest, decodingReturnsTheEncodedMessage, ())
    {
        ContestedFlowsMessage message;
        message.m_knownFor = std::chrono::milliseconds { *rc::gen::inRange(0, 60'001) };
        for (int i = *rc::gen::inRange(0, 50); i > 0; --i)
            message.m_flows.push_back(
                { { { *rc::gen::arbitrary<std::uint64_t>() }, *rc::gen::arbitrary<std::uint32_t>(),
                      { *rc::gen::arbitrary<std::uint32_t>() } },
                    std::chrono::milliseconds { *rc::gen::inRange(0, 60'001) } });
        const Outcome<ContestedFlowsMessage> decoded = decodeContestedFlows(encodeContestedFlows(message));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value() == message);
    }

    TEST(ContestedFlowsMessageTest, aFullTableIsDecodedAndALongerListIsRefused)
    {
        ContestedFlowsMessage message;
        for (std::uint64_t i = 0; i < ContestedFlows::s_maxFlows; ++i)
            message.m_flows.push_back({ { { i << 32U }, 7, { 1'000'000 } }, std::chrono::seconds { 30 } });
        const std::string encoded = encodeContestedFlows(message);
        EXPECT_EQ(decodeContestedFlows(encoded).value().m_flows.size(), ContestedFlows::s_maxFlows);
        message.m_flows.push_back({});
        EXPECT_FALSE(decodeContestedFlows(encodeContestedFlows(message)).has_value());
    }

    RC_GTEST_PROP(ContestedFlowsMessageTest, arbitraryBytesAreRefusedOrDecoded, (const std::string& bytes))
    {
        static_cast<void>(decodeContestedFlows(bytes));
    }

} // namespace
} // namespace cuminrelay
