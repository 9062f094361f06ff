#pragma once

#include "affinity/LivenessProbe.h"

#include <boost/asio/awaitable.hpp>

namespace cuminrelay {

/// Probes the liveness of a backend server with a direct connection.
class BackendProber {
public:
    BackendProber() = default;
    BackendProber(const BackendProber&) = delete;
    BackendProber& operator=(const BackendProber&) = delete;
    virtual ~BackendProber() = default;

    /// Sends one probe. Unanswered if no connection was established within a time-out of many round trips.
    virtual boost::asio::awaitable<ProbeOutcome> probeBackend(LivenessProbe probe) = 0;
};

} // namespace cuminrelay
