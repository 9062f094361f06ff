#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "observe/Log.h"
#include "settings/SettingsReader.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cuminrelay {

/// The settings of cuminrelay-entry.
struct EntrySettings {
    std::string m_name;
    std::string m_zone;
    /// UDP: callers' packets from the fabric.
    Endpoint m_packets;
    /// UDP: packets from other entry VMs. Identifies this VM among the members.
    Endpoint m_peers;
    /// TCP: flow replicas.
    Endpoint m_replica;
    /// TCP: RPC from the control process of this VM.
    Endpoint m_entryRpc;
    /// TCP: HTTP for /metrics.
    Endpoint m_metrics;
    /// UDP: the fabric's endpoint for packets to callers.
    Endpoint m_answers;
    /// Source addresses of the fabric's packets.
    std::vector<std::uint32_t> m_fabricSources;
    std::size_t m_flowLimit = 1'000'000;
    /// Limit for all peers together.
    std::uint64_t m_replicaBytesPerSecond = 12'000;
    /// Maximum time from the first SIGTERM to the end of the process.
    Duration m_leaveTimeout { 20'000'000 };
    LogLevel m_logLevel = LogLevel::Info;
};

/// Reads and validates all keys; the reader collects the problems.
EntrySettings readEntrySettings(SettingsReader& reader);

} // namespace cuminrelay
