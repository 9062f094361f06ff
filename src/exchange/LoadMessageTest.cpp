#include "exchange/LoadMessage.h"

#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace cuminrelay {
namespace {

    struct alignas(8) Buffer {
        std::array<std::byte, c_maxLoadMessageBytes> m_bytes {};
    };

    class LongestLoadMessageTest : public testing::TestWithParam<std::size_t> { };

    // The loads make room for the evacuated zones, so that the datagram is not fragmented.
    TEST_P(LongestLoadMessageTest, fitsIntoADatagram)
    {
        LoadMessage message;
        message.m_storeVersions = { { 1, 2 }, { 3 }, { 4, 5 } };
        for (std::uint32_t i = 0; i < GetParam(); ++i)
            (i % 3 == 0 ? message.m_evacuated.m_retained : message.m_evacuated.m_zones).push_back({ i });
        if (!message.m_evacuated.m_retained.empty())
            message.m_evacuated.m_retainedFor = std::chrono::seconds { 10 };
        for (std::uint32_t i = 0; i < maxLoadsBeside(message.m_evacuated); ++i)
            message.m_loads.push_back({ { i }, { i, i } });
        for (std::uint32_t i = 0; i < c_maxDead; ++i)
            message.m_dead.push_back({ i });
        for (std::uint32_t i = 0; i < c_maxPeers; ++i)
            message.m_peers.push_back({ { i, 7720 }, { i } });
        for (std::uint32_t i = 0; i < c_maxContestedFlows; ++i)
            message.m_contestedFlows.push_back({ { { i }, i, { i } }, std::chrono::milliseconds { 1'000 * i } });
        message.m_contestedKnownFor = std::chrono::seconds { 60 };
        Buffer buffer;
        const Outcome<LoadMessage> decoded = decodeLoadMessage(encodeLoadMessage(message, buffer.m_bytes));
        ASSERT_TRUE(decoded.has_value());
        EXPECT_EQ(decoded.value(), message);
    }

    TEST_P(LongestLoadMessageTest, aNoticeFitsIntoADatagramToo)
    {
        LoadMessage message;
        message.m_isNotice = true;
        message.m_storeVersions = { { 1, 2 }, { 3 }, { 4, 5 } };
        for (std::uint32_t i = 0; i < GetParam(); ++i)
            (i % 3 == 0 ? message.m_evacuated.m_retained : message.m_evacuated.m_zones).push_back({ i });
        if (!message.m_evacuated.m_retained.empty())
            message.m_evacuated.m_retainedFor = std::chrono::seconds { 10 };
        for (std::uint32_t i = 0; i < c_maxNoticedFlows; ++i)
            message.m_contestedFlows.push_back({ { { i }, i, { i } }, std::chrono::milliseconds { 1'000 * i } });
        for (std::uint32_t i = 0; i < c_maxQuestions; ++i)
            message.m_questions.push_back({ i });
        ASSERT_TRUE(fitsIntoDatagram(message));
        Buffer buffer;
        const Outcome<LoadMessage> decoded = decodeLoadMessage(encodeLoadMessage(message, buffer.m_bytes));
        ASSERT_TRUE(decoded.has_value());
        EXPECT_EQ(decoded.value(), message);
        message.m_loads.push_back({});
        EXPECT_FALSE(fitsIntoDatagram(message));
    }

    INSTANTIATE_TEST_SUITE_P(
        EvacuatedZones, LongestLoadMessageTest, testing::Values(0, 1, 7, EvacuatedZones::s_maxZones));

    RC_GTEST_PROP(LoadMessageTest, decodingReturnsTheEncodedMessage, ())
    {
        LoadMessage message;
        message.m_zone = { *rc::gen::arbitrary<std::uint32_t>() };
        message.m_leaving = *rc::gen::arbitrary<bool>();
        message.m_isReading = *rc::gen::arbitrary<bool>();
        message.m_storeVersions = { { *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint32_t>() },
            { *rc::gen::arbitrary<std::uint64_t>() },
            { *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint32_t>() } };
        for (int i = *rc::gen::inRange(0, 8); i > 0; --i)
            message.m_evacuated.m_zones.push_back({ *rc::gen::arbitrary<std::uint32_t>() });
        for (std::size_t i = *rc::gen::inRange<std::size_t>(0, c_maxContestedFlows); i > 0; --i)
            message.m_contestedFlows.push_back(
                { { { *rc::gen::arbitrary<std::uint64_t>() }, *rc::gen::arbitrary<std::uint32_t>(),
                      { *rc::gen::arbitrary<std::uint32_t>() } },
                    std::chrono::milliseconds { *rc::gen::inRange(0, 60'001) } });
        message.m_contestedKnownFor = std::chrono::milliseconds { *rc::gen::inRange(0, 60'001) };
        if (*rc::gen::arbitrary<bool>())
            message.m_stateAge = std::chrono::milliseconds { *rc::gen::arbitrary<std::uint16_t>() };
        for (int i = *rc::gen::inRange(0, 20); i > 0; --i)
            message.m_loads.push_back({ { *rc::gen::arbitrary<std::uint32_t>() },
                { *rc::gen::arbitrary<std::uint16_t>(), *rc::gen::arbitrary<std::uint16_t>() } });
        Buffer buffer;
        const Outcome<LoadMessage> decoded = decodeLoadMessage(encodeLoadMessage(message, buffer.m_bytes));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value() == message);
    }

    RC_GTEST_PROP(LoadMessageTest, arbitraryBytesAreRefusedOrDecoded, (const std::vector<std::uint8_t>& bytes))
    {
        Buffer buffer;
        const std::size_t count = std::min(bytes.size(), buffer.m_bytes.size());
        for (std::size_t i = 0; i < count; ++i)
            buffer.m_bytes[i] = std::byte { bytes[i] };
        static_cast<void>(decodeLoadMessage(std::span { buffer.m_bytes }.first(count)));
    }

} // namespace
} // namespace cuminrelay
