#pragma once

#include "affinity/LivenessProbe.h"

#include <boost/asio/awaitable.hpp>

namespace cuminrelay {

/// Probes the liveness of a backend server with a direct connection.
class BackendInquiry {
public:
    BackendInquiry() = default;
    BackendInquiry(const BackendInquiry&) = delete;
    BackendInquiry& operator=(const BackendInquiry&) = delete;
    virtual ~BackendInquiry() = default;

    /// Sends one probe. Unanswered if no connection was established within a time-out of many round trips.
    virtual boost::asio::awaitable<ProbeOutcome> ask(LivenessProbe probe) = 0;
};

} // namespace cuminrelay
