#pragma once

#include "affinity/CarriedRouter.h"

#include <boost/asio/awaitable.hpp>

namespace cuminrelay {

/// Asks a backend server itself whether it lives.
class BackendInquiry {
public:
    BackendInquiry() = default;
    BackendInquiry(const BackendInquiry&) = delete;
    BackendInquiry& operator=(const BackendInquiry&) = delete;
    virtual ~BackendInquiry() = default;

    virtual boost::asio::awaitable<ProbeOutcome> ask(LifeProbe probe) = 0;
};

} // namespace cuminrelay
