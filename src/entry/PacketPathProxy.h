#pragma once

#include "entry/PacketPath.h"
#include "flows/FlowRecord.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <kj/async.h>
#include <type_traits>
#include <utility>

namespace cuminrelay {

/// Calls the packet path from the RPC thread: posts work to the packet thread and returns its result as a promise.
/// Neither thread blocks on the other. The context and the path must outlive the RPC thread's event loop.
class PacketPathProxy {
public:
    PacketPathProxy(boost::asio::io_context& context, PacketPath& path)
        : m_context(context)
        , m_path(path)
    {
    }

    /// Runs work(PacketPath&) on the packet thread. Calls run in the order in which they were made.
    template <typename Work> kj::Promise<std::invoke_result_t<Work&, PacketPath&>> call(Work work)
    {
        using Result = std::invoke_result_t<Work&, PacketPath&>;
        auto promisePair = kj::newPromiseAndCrossThreadFulfiller<Result>();
        boost::asio::post(
            m_context, [&path = m_path, fulfiller = kj::mv(promisePair.fulfiller), work = std::move(work)]() mutable {
                if constexpr (std::is_void_v<Result>) {
                    work(path);
                    fulfiller->fulfill();
                } else {
                    fulfiller->fulfill(work(path));
                }
            });
        return kj::mv(promisePair.promise);
    }

    /// Resolves with the next batch for a peer; see PacketPath::requestBatch.
    kj::Promise<ReplicaBatch> nextBatch(Endpoint peer);

private:
    boost::asio::io_context& m_context;
    PacketPath& m_path;
};

} // namespace cuminrelay
