#pragma once

#include "base/Endpoint.h"
#include "observe/Log.h"
#include "warmup/WarmupBudget.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace cuminrelay {

/// A setting whose value cannot be used. It costs what depends on it, not the process.
struct IgnoredSetting {
    std::string m_key;
    std::string m_found;
    std::string m_allowed;
    std::string m_inForce; ///< what the process uses instead

    friend bool operator==(const IgnoredSetting&, const IgnoredSetting&) = default;
};

/// The settings of a relay process and its entry VM.
struct RelaySettings {
    std::string m_name; ///< of this entry VM
    std::string m_zone;
    Endpoint m_packets; ///< UDP: receives callers' packets
    Endpoint m_readiness; ///< HTTP: readiness for packets
    std::string m_readinessPath; ///< such as "/ready"
    Endpoint m_exchange; ///< UDP: load messages between entry VMs
    Endpoint m_metrics; ///< HTTP
    Endpoint m_store; ///< holds the backend servers and services
    std::vector<Endpoint> m_seeds; ///< exchange endpoints of other entry VMs; may be stale
    std::chrono::milliseconds m_stopWithin { 6'000 }; ///< from the stop request to the end of the process
    std::chrono::milliseconds m_addressReuse { 2'000 }; ///< minimum time before an address gets a new owner
    bool m_followsEvacuations = false; ///< operators may request the evacuation of an availability zone
    std::optional<WarmupBounds> m_warmupBounds; ///< of the flows to cold backend servers; absent: not limited
    bool m_learnsPace = false; ///< new flows go to backend servers by their pace, learned from their answers
    std::vector<std::string> m_zones; ///< all availability zones; empty: unknown
    LogLevel m_logLevel = LogLevel::Info;
    std::vector<IgnoredSetting> m_ignored; ///< values that could not be used

    friend bool operator==(const RelaySettings&, const RelaySettings&) = default;
};

} // namespace cuminrelay
