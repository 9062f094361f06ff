#include "control/PackedMessageStream.h"

#include <algorithm>
#include <array>
#include <capnp/serialize-packed.h>
#include <kj/debug.h>
#include <kj/io.h>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_readBytes = 16'384;
    constexpr std::size_t c_maxPrefixBytes = 4;
    constexpr unsigned c_prefixBits = 7;
    constexpr kj::byte c_continuationBit = 0x80;

    void appendPrefix(std::vector<kj::byte>& out, std::size_t value)
    {
        while (value >= c_continuationBit) {
            out.push_back(static_cast<kj::byte>(value) | c_continuationBit);
            value >>= c_prefixBits;
        }
        out.push_back(static_cast<kj::byte>(value));
    }

    /// Reader of a received message; owns its bytes.
    class OwnedMessageReader final : private kj::ArrayInputStream, public capnp::PackedMessageReader {
    public:
        OwnedMessageReader(kj::Array<kj::byte> bytes, const capnp::ReaderOptions& options)
            : kj::ArrayInputStream(bytes)
            , capnp::PackedMessageReader(static_cast<kj::BufferedInputStream&>(*this), options)
            , m_bytes(kj::mv(bytes))
        {
        }

    private:
        kj::Array<kj::byte> m_bytes;
    };

} // namespace

PackedMessageStream::PackedMessageStream(kj::AsyncIoStream& stream, Counter& sent, Counter& received)
    : m_stream(stream)
    , m_sent(sent)
    , m_received(received)
{
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> PackedMessageStream::tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd> fdSpace, capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> scratchSpace)
{
    KJ_IF_MAYBE (reader, takeMessage(options))
        return kj::Maybe<capnp::MessageReaderAndFds> { capnp::MessageReaderAndFds { kj::mv(*reader), nullptr } };
    const std::size_t held = m_buffer.size();
    m_buffer.resize(held + c_readBytes);
    return m_stream.tryRead(m_buffer.data() + held, 1, c_readBytes)
        .then([this, held, fdSpace, options, scratchSpace](
                  std::size_t read) -> kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> {
            m_received.add(read);
            m_buffer.resize(held + read);
            if (read > 0)
                return tryReadMessage(fdSpace, options, scratchSpace);
            if (held > 0)
                return KJ_EXCEPTION(DISCONNECTED, "connection closed within a message");
            return kj::Maybe<capnp::MessageReaderAndFds> {};
        });
}

kj::Maybe<kj::Own<capnp::MessageReader>> PackedMessageStream::takeMessage(const capnp::ReaderOptions& options)
{
    std::size_t length = 0;
    std::size_t prefix = 0;
    bool complete = false;
    while (!complete && prefix < m_buffer.size() && prefix < c_maxPrefixBytes) {
        const kj::byte next = m_buffer[prefix];
        length |= std::size_t { next & (c_continuationBit - 1U) } << (c_prefixBits * prefix);
        complete = (next & c_continuationBit) == 0;
        ++prefix;
    }
    KJ_REQUIRE(complete || prefix < c_maxPrefixBytes, "malformed message length");
    KJ_REQUIRE(length <= s_maximumBytes, "message too large", length);
    if (!complete || m_buffer.size() - prefix < length)
        return nullptr;
    const auto begin = m_buffer.begin() + static_cast<std::ptrdiff_t>(prefix);
    const auto end = begin + static_cast<std::ptrdiff_t>(length);
    kj::Array<kj::byte> message = kj::heapArray<kj::byte>(length);
    std::copy(begin, end, message.begin());
    m_buffer.erase(m_buffer.begin(), end);
    return kj::Own<capnp::MessageReader> { kj::heap<OwnedMessageReader>(kj::mv(message), options) };
}

void PackedMessageStream::appendPacked(Bytes& out, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
{
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, segments);
    const kj::ArrayPtr<kj::byte> bytes = packed.getArray();
    appendPrefix(out, bytes.size());
    out.insert(out.end(), bytes.begin(), bytes.end());
}

kj::Promise<void> PackedMessageStream::write(Bytes bytes)
{
    kj::Own<Bytes> owned = kj::heap<Bytes>(kj::mv(bytes));
    m_sent.add(owned->size());
    kj::Promise<void> written = m_stream.write(owned->data(), owned->size());
    return written.attach(kj::mv(owned));
}

kj::Promise<void> PackedMessageStream::writeMessage(
    kj::ArrayPtr<const int>, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
{
    Bytes bytes;
    appendPacked(bytes, segments);
    return write(kj::mv(bytes));
}

kj::Promise<void> PackedMessageStream::writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages)
{
    Bytes bytes;
    for (const kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments : messages)
        appendPacked(bytes, segments);
    return write(kj::mv(bytes));
}

kj::Promise<void> PackedMessageStream::end()
{
    m_stream.shutdownWrite();
    return kj::READY_NOW;
}

} // namespace cuminrelay
