#pragma once

#include "observe/Metrics.h"

#include <capnp/serialize-async.h>
#include <kj/async-io.h>
#include <vector>

namespace cuminrelay {

/// Packed Cap'n Proto messages on a byte stream, each preceded by its packed length in LEB128. Packing saves more than
/// half, because heartbeats are mostly zeros. Counts the bytes on the wire. Reading an oversized or malformed message
/// fails with kj::Exception, which closes the connection.
class PackedMessageStream final : public capnp::MessageStream {
public:
    /// Maximum size of a packed message; a complete configuration fits.
    static constexpr std::size_t s_maximumBytes = 8'000'000;

    PackedMessageStream(kj::AsyncIoStream& stream, Counter& sent, Counter& received);

    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fdSpace,
        capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> scratchSpace) override;
    kj::Promise<void> writeMessage(
        kj::ArrayPtr<const int> fds, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
    kj::Promise<void> writeMessages(
        kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override;
    kj::Maybe<int> getSendBufferSize() override { return nullptr; }
    kj::Promise<void> end() override;

private:
    using Bytes = std::vector<kj::byte>;

    static void appendPacked(Bytes& out, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments);
    kj::Promise<void> write(Bytes bytes);

    /// Removes a complete message from the buffer; null if more bytes are needed.
    kj::Maybe<kj::Own<capnp::MessageReader>> takeMessage(const capnp::ReaderOptions& options);

    kj::AsyncIoStream& m_stream;
    Counter& m_sent;
    Counter& m_received;
    Bytes m_buffer; ///< received, not yet parsed
};

} // namespace cuminrelay
