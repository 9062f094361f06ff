#include "standins/TcpConnection.h"

#include <gtest/gtest.h>
#include <optional>
#include <random>
#include <rapidcheck/gtest.h>

namespace cuminrelay::standins {
namespace {

    /// A network that loses, duplicates and reorders packets by a seeded random generator, on a clock set by the test.
    class FaultyNetwork {
    public:
        FaultyNetwork(std::uint64_t seed, unsigned lossPercent, unsigned duplicatePercent)
            : m_random(seed)
            , m_lossPercent(lossPercent)
            , m_duplicatePercent(duplicatePercent)
        {
        }

        void send(const Segment& segment, bool toServer, Instant now)
        {
            if (randomBelow(100) < m_lossPercent)
                return;
            const unsigned copies = randomBelow(100) < m_duplicatePercent ? 2 : 1;
            for (unsigned copy = 0; copy < copies; ++copy)
                m_inFlight.emplace(
                    now + std::chrono::microseconds { 200 + randomBelow(3000) }, PacketInFlight { segment, toServer });
        }

        struct PacketInFlight {
            Segment m_segment;
            bool m_toServer = false;
        };

        std::optional<PacketInFlight> take(Instant now)
        {
            if (m_inFlight.empty() || m_inFlight.begin()->first > now)
                return std::nullopt;
            PacketInFlight first = std::move(m_inFlight.begin()->second);
            m_inFlight.erase(m_inFlight.begin());
            return first;
        }

        Instant next() const { return m_inFlight.empty() ? Instant::max() : m_inFlight.begin()->first; }

    private:
        unsigned randomBelow(unsigned below) { return static_cast<unsigned>(m_random() % below); }

        std::mt19937_64 m_random;
        unsigned m_lossPercent;
        unsigned m_duplicatePercent;
        std::multimap<Instant, PacketInFlight> m_inFlight;
    };

    std::string pattern(std::size_t bytes, unsigned salt)
    {
        std::string text;
        for (std::size_t i = 0; i < bytes; ++i)
            text += static_cast<char>('a' + (i * 7 + i / 251 + salt) % 26);
        return text;
    }

    /// Both ends of a connection; run() returns when nothing is due or after the given number of steps.
    struct ConnectionPair {
        TcpConnection m_client;
        std::optional<TcpConnection> m_server;
        Instant m_now { std::chrono::seconds { 1 } };

        void run(FaultyNetwork& network, std::string_view answer, unsigned steps)
        {
            for (unsigned step = 0; step < steps; ++step) {
                for (const Segment& segment : m_client.takeSegments(m_now))
                    network.send(segment, true, m_now);
                if (m_server) {
                    for (const Segment& segment : m_server->takeSegments(m_now))
                        network.send(segment, false, m_now);
                }
                const std::optional<FaultyNetwork::PacketInFlight> arrived = network.take(m_now);
                if (arrived) {
                    deliver(*arrived, answer);
                    continue;
                }
                Instant next = std::min(network.next(), m_client.nextDeadline());
                if (m_server)
                    next = std::min(next, m_server->nextDeadline());
                if (next == Instant::max())
                    return;
                m_now = std::max(next, m_now);
            }
        }

        void deliver(const FaultyNetwork::PacketInFlight& arrived, std::string_view answer)
        {
            if (!arrived.m_toServer) {
                m_client.receive(arrived.m_segment, m_now);
                return;
            }
            if (!m_server) {
                if (!arrived.m_segment.m_syn)
                    return;
                m_server = TcpConnection::passive(0xfffffff0U, arrived.m_segment);
                m_server->write(answer);
                m_server->finish();
                return;
            }
            m_server->receive(arrived.m_segment, m_now);
        }
    };

    RC_GTEST_PROP(TcpConnection, bothStreamsArriveCompletelyUnderLossDuplicationAndReordering,
        (std::uint64_t seed, std::uint32_t initialSequence))
    {
        const unsigned loss = *rc::gen::inRange(0U, 15U);
        const unsigned duplicated = *rc::gen::inRange(0U, 30U);
        const std::string request = pattern(*rc::gen::inRange<std::size_t>(0, 60'000), 1);
        const std::string answer = pattern(*rc::gen::inRange<std::size_t>(0, 60'000), 2);
        FaultyNetwork network { seed, loss, duplicated };
        ConnectionPair connectionPair { TcpConnection::active(initialSequence), std::nullopt };
        connectionPair.m_client.write(request);
        connectionPair.m_client.finish();
        connectionPair.run(network, answer, 200'000);
        RC_ASSERT(connectionPair.m_server.has_value());
        RC_ASSERT(connectionPair.m_server->readable() == request);
        RC_ASSERT(connectionPair.m_client.readable() == answer);
        RC_ASSERT(connectionPair.m_client.state() == TcpState::Closed);
        RC_ASSERT(connectionPair.m_server->peerFinished());
    }

    TEST(TcpConnection, unansweredSynTimesOut)
    {
        FaultyNetwork network { 1, 100, 0 };
        ConnectionPair connectionPair { TcpConnection::active(7), std::nullopt };
        connectionPair.run(network, "", 1000);
        EXPECT_EQ(connectionPair.m_client.state(), TcpState::TimedOut);
    }

    TEST(TcpConnection, resetInAnswerToASynRefusesTheConnection)
    {
        TcpConnection client = TcpConnection::active(7);
        const Instant start { std::chrono::seconds { 1 } };
        const std::vector<Segment> syn = client.takeSegments(start);
        ASSERT_EQ(syn.size(), 1U);
        client.receive(resetFor(syn.front()), start);
        EXPECT_EQ(client.state(), TcpState::Reset);
    }

    TEST(TcpConnection, resetOutsideTheWindowIsIgnored)
    {
        const Instant start { std::chrono::seconds { 1 } };
        Segment syn;
        syn.m_syn = true;
        syn.m_sequence = 100;
        TcpConnection server = TcpConnection::passive(5, syn);
        Segment reset;
        reset.m_reset = true;
        reset.m_sequence = 99;
        server.receive(reset, start);
        EXPECT_EQ(server.state(), TcpState::Opening);
        reset.m_sequence = 101;
        server.receive(reset, start);
        EXPECT_EQ(server.state(), TcpState::Reset);
    }

    TEST(TcpConnection, dataOfAnEarlierConnectionIsResetUntilTheHandshakeIsComplete)
    {
        const Instant start { std::chrono::seconds { 1 } };
        Segment syn;
        syn.m_syn = true;
        syn.m_sequence = 100;
        TcpConnection server = TcpConnection::passive(5, syn);
        server.takeSegments(start);
        Segment data;
        data.m_ack = true;
        data.m_sequence = 101;
        data.m_acknowledgment = 4711;
        data.m_payload = "again";
        server.receive(data, start);
        EXPECT_EQ(server.readable(), "");
        EXPECT_EQ(server.state(), TcpState::Opening);
        const std::vector<Segment> resetSegments = server.takeSegments(start);
        ASSERT_EQ(resetSegments.size(), 1U);
        EXPECT_TRUE(resetSegments.front().m_reset);
        EXPECT_EQ(resetSegments.front().m_sequence, 4711U);
        data.m_acknowledgment = 6;
        server.receive(data, start);
        EXPECT_EQ(server.readable(), "again");
        EXPECT_EQ(server.state(), TcpState::Established);
    }

    TEST(TcpConnection, segmentOfAnUnknownConnectionIsAnsweredWithAReset)
    {
        Segment data;
        data.m_ack = true;
        data.m_sequence = 10;
        data.m_acknowledgment = 77;
        const Segment reset = resetFor(data);
        EXPECT_TRUE(reset.m_reset);
        EXPECT_FALSE(reset.m_ack);
        EXPECT_EQ(reset.m_sequence, 77U);
    }

} // namespace
} // namespace cuminrelay::standins
