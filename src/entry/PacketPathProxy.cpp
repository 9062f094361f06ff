#include "entry/PacketPathProxy.h"

#include <memory>

namespace cuminrelay {

namespace {

    class CrossThreadReceiver final : public BatchReceiver {
    public:
        explicit CrossThreadReceiver(kj::Own<kj::CrossThreadPromiseFulfiller<ReplicaBatch>> fulfiller)
            : m_fulfiller(kj::mv(fulfiller))
        {
        }

        CrossThreadReceiver(const CrossThreadReceiver&) = delete;
        CrossThreadReceiver& operator=(const CrossThreadReceiver&) = delete;
        ~CrossThreadReceiver() noexcept override = default;

        void deliver(ReplicaBatch batch) override { m_fulfiller->fulfill(kj::mv(batch)); }

    private:
        kj::Own<kj::CrossThreadPromiseFulfiller<ReplicaBatch>> m_fulfiller;
    };

} // namespace

kj::Promise<ReplicaBatch> PacketPathProxy::nextBatch(Endpoint peer)
{
    auto promisePair = kj::newPromiseAndCrossThreadFulfiller<ReplicaBatch>();
    std::unique_ptr<BatchReceiver> receiver = std::make_unique<CrossThreadReceiver>(kj::mv(promisePair.fulfiller));
    boost::asio::post(m_context, [&path = m_path, peer, receiver = std::move(receiver)]() mutable {
        path.requestBatch(peer, std::move(receiver));
    });
    return kj::mv(promisePair.promise);
}

} // namespace cuminrelay
