#include "entry/PacketThread.h"

#include <memory>

namespace cuminrelay {

namespace {

    /// Passes a batch to the RPC thread.
    class CrossingTaker final : public BatchTaker {
    public:
        explicit CrossingTaker(kj::Own<kj::CrossThreadPromiseFulfiller<ReplicaBatch>> fulfiller)
            : m_fulfiller(kj::mv(fulfiller))
        {
        }

        CrossingTaker(const CrossingTaker&) = delete;
        CrossingTaker& operator=(const CrossingTaker&) = delete;
        ~CrossingTaker() noexcept override = default;

        void take(ReplicaBatch batch) override { m_fulfiller->fulfill(kj::mv(batch)); }

    private:
        kj::Own<kj::CrossThreadPromiseFulfiller<ReplicaBatch>> m_fulfiller;
    };

} // namespace

kj::Promise<ReplicaBatch> PacketThread::nextBatch(Endpoint peer)
{
    auto crossing = kj::newPromiseAndCrossThreadFulfiller<ReplicaBatch>();
    std::unique_ptr<BatchTaker> taker = std::make_unique<CrossingTaker>(kj::mv(crossing.fulfiller));
    boost::asio::post(m_context,
        [&path = m_path, peer, taker = std::move(taker)]() mutable { path.awaitBatch(peer, std::move(taker)); });
    return kj::mv(crossing.promise);
}

} // namespace cuminrelay
