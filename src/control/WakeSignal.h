#pragma once

#include <cstdint>
#include <kj/async.h>

namespace cuminrelay {

/// Wakes fibers on an event. A fiber keeps the last revision that it has processed, so that it misses no event that
/// occurs while it runs. One thread only.
class WakeSignal {
public:
    WakeSignal() { renew(); }

    std::uint64_t revision() const { return m_revision; }

    /// Resolves once the revision is above the seen one.
    kj::Promise<void> wait(std::uint64_t seen)
    {
        if (m_revision > seen)
            return kj::READY_NOW;
        return m_promise.addBranch();
    }

    void wake()
    {
        ++m_revision;
        kj::Own<kj::PromiseFulfiller<void>> fulfiller = kj::mv(m_fulfiller);
        renew();
        fulfiller->fulfill();
    }

private:
    void renew()
    {
        kj::PromiseFulfillerPair<void> pair = kj::newPromiseAndFulfiller<void>();
        m_fulfiller = kj::mv(pair.fulfiller);
        m_promise = pair.promise.fork();
    }

    kj::Own<kj::PromiseFulfiller<void>> m_fulfiller;
    kj::ForkedPromise<void> m_promise = nullptr;
    std::uint64_t m_revision = 0;
};

} // namespace cuminrelay
