#include "control/PackedMessageStream.h"

#include "members/Members.capnp.h"

#include <array>
#include <capnp/message.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <span>
#include <vector>

namespace cuminrelay {
namespace {

    /// A connection with a stream on each end.
    struct PackedPipe {
        kj::AsyncIoContext m_io = kj::setupAsyncIo();
        kj::TwoWayPipe m_pipe = m_io.provider->newTwoWayPipe();
        Counter m_sent;
        Counter m_received;
        PackedMessageStream m_sender { *m_pipe.ends[0], m_sent, m_received };
        PackedMessageStream m_receiver { *m_pipe.ends[1], m_sent, m_received };

        void sendRaw(std::span<const kj::byte> bytes)
        {
            m_pipe.ends[0]->write(bytes.data(), bytes.size()).wait(m_io.waitScope);
            m_pipe.ends[0]->shutdownWrite();
        }

        /// Whether reading fails. A message or the end of the stream is no failure.
        bool readFails()
        {
            const kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions([&] {
                kj::Maybe<capnp::MessageReaderAndFds> message
                    = m_receiver.tryReadMessage(nullptr, {}, nullptr).wait(m_io.waitScope);
                KJ_IF_MAYBE (some, message)
                    (void)some->reader->getRoot<wire::Heartbeat>().totalSize();
            });
            return failure != nullptr;
        }
    };

    void writeName(capnp::MessageBuilder& message, const std::string& name)
    {
        message.initRoot<wire::Member>().setName(name);
    }

    TEST(PackedMessageStream, messagesArriveInOrderAndTheirBytesAreCounted)
    {
        PackedPipe pipe;
        capnp::MallocMessageBuilder first;
        capnp::MallocMessageBuilder second;
        writeName(first, "first");
        writeName(second, std::string(100'000, 'x'));
        std::array<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>, 2> both { first.getSegmentsForOutput(),
            second.getSegmentsForOutput() };
        kj::Promise<void> sent = pipe.m_sender.writeMessages(kj::arrayPtr(both.data(), both.size()));
        kj::Promise<kj::Own<capnp::MessageReader>> reading
            = static_cast<capnp::MessageStream&>(pipe.m_receiver).readMessage();
        const kj::Own<capnp::MessageReader> readFirst = reading.wait(pipe.m_io.waitScope);
        EXPECT_EQ(const_cast<capnp::MessageReader&>(*readFirst).getRoot<wire::Member>().getName(), "first");
        reading = static_cast<capnp::MessageStream&>(pipe.m_receiver).readMessage();
        const kj::Own<capnp::MessageReader> readSecond = reading.wait(pipe.m_io.waitScope);
        EXPECT_EQ(const_cast<capnp::MessageReader&>(*readSecond).getRoot<wire::Member>().getName().size(), 100'000U);
        sent.wait(pipe.m_io.waitScope);
        EXPECT_EQ(pipe.m_sent.value(), pipe.m_received.value());
        EXPECT_GT(pipe.m_sent.value(), 100'000U);
    }

    TEST(PackedMessageStream, endOfStreamBetweenMessagesIsNoFailure)
    {
        PackedPipe pipe;
        pipe.sendRaw({});
        EXPECT_FALSE(pipe.readFails());
    }

    TEST(PackedMessageStream, anOversizedOrTruncatedMessageFails)
    {
        const std::array<kj::byte, 4> tooLarge { 0xff, 0xff, 0xff, 0x7f };
        const std::array<kj::byte, 4> endlessLength { 0x80, 0x80, 0x80, 0x80 };
        const std::array<kj::byte, 2> truncated { 0x05, 0x00 };
        for (const std::span<const kj::byte> bytes : { std::span<const kj::byte> { tooLarge },
                 std::span<const kj::byte> { endlessLength }, std::span<const kj::byte> { truncated } }) {
            PackedPipe pipe;
            pipe.sendRaw(bytes);
            EXPECT_TRUE(pipe.readFails());
        }
    }

    RC_GTEST_PROP(PackedMessageStream, arbitraryBytesNeverCrash, (const std::vector<std::uint8_t>& bytes))
    {
        PackedPipe pipe;
        pipe.sendRaw(bytes);
        (void)pipe.readFails();
    }

} // namespace
} // namespace cuminrelay
