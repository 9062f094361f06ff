#pragma once

#include "affinity/LivenessProbe.h"

#include <boost/asio/awaitable.hpp>

namespace cuminrelay {

/// Asks a backend server itself whether it lives.
class BackendInquiry {
public:
    BackendInquiry() = default;
    BackendInquiry(const BackendInquiry&) = delete;
    BackendInquiry& operator=(const BackendInquiry&) = delete;
    virtual ~BackendInquiry() = default;

    /// Asks once. Unanswered when no connection was taken within a time that is many round trips.
    virtual boost::asio::awaitable<ProbeOutcome> ask(LivenessProbe probe) = 0;
};

} // namespace cuminrelay
