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
    std::string m_name; ///< of this VM
    std::string m_zone;
    Endpoint m_packets; ///< UDP: callers' packets from the fabric
    Endpoint m_peers; ///< UDP: packets from other entry VMs; names this VM to them
    Endpoint m_replica; ///< TCP: flow replicas
    Endpoint m_entryRpc; ///< TCP: the control process of this VM
    Endpoint m_metrics; ///< TCP: HTTP
    Endpoint m_answers; ///< where the fabric takes packets for callers
    std::vector<std::uint32_t> m_fabricSources; ///< addresses that callers' packets come from
    std::size_t m_flowLimit = 1'000'000;
    std::uint64_t m_replicaBytesPerSecond = 12'000;
    Duration m_leaveAllowance { 20'000'000 }; ///< from the first SIGTERM to the end at the latest
    LogLevel m_logLevel = LogLevel::Info;
};

/// Reads and checks all keys; problems are kept by the reader.
EntrySettings readEntrySettings(SettingsReader& reader);

} // namespace cuminrelay
