#pragma once

#include "base/Endpoint.h"
#include "observe/Log.h"

#include <chrono>
#include <string>
#include <vector>

namespace cuminrelay {

/// What a relay process is told about its entry VM, whoever tells it.
struct RelaySettings {
    std::string m_name; ///< of this entry VM
    std::string m_zone;
    Endpoint m_packets; ///< UDP: callers' packets
    Endpoint m_readiness; ///< HTTP: whether packets may be sent here
    std::string m_readinessPath; ///< such as "/ready"
    Endpoint m_exchange; ///< UDP: load of backend servers, between entry VMs
    Endpoint m_metrics; ///< HTTP
    Endpoint m_store; ///< where backend servers and services are found
    std::vector<Endpoint> m_seeds; ///< the exchange of some other entry VMs, which may be stale
    std::chrono::milliseconds m_stopWithin { 6'000 }; ///< the process must have ended this long after it is told to
    std::chrono::milliseconds m_addressReuse { 2'000 }; ///< a backend server's address has no new owner sooner
    LogLevel m_logLevel = LogLevel::Info;

    friend bool operator==(const RelaySettings&, const RelaySettings&) = default;
};

} // namespace cuminrelay
