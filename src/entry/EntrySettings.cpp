#include "entry/EntrySettings.h"

#include <chrono>
#include <string_view>

namespace cuminrelay {

namespace {

    constexpr std::uint64_t c_minimumFlows = 1'000;
    constexpr std::uint64_t c_maximumFlows = 50'000'000;
    constexpr std::uint64_t c_minimumReplicaBytesPerSecond = 1'000;
    constexpr std::uint64_t c_maximumReplicaBytesPerSecond = 100'000'000;
    constexpr std::uint64_t c_minimumLeaveMs = 100;
    constexpr std::uint64_t c_maximumLeaveMs = 3'600'000;

    std::vector<std::uint32_t> readAddresses(SettingsReader& reader, std::string_view key)
    {
        std::vector<std::uint32_t> addresses;
        for (const std::string& text : reader.texts(key)) {
            const Outcome<std::uint32_t> address = parseAddress(text);
            if (address)
                addresses.push_back(address.value());
            else
                reader.addProblem(key, address.error().m_message);
        }
        if (addresses.empty())
            reader.addProblem(key, "lists no valid address; packets are accepted only from the fabric's addresses");
        return addresses;
    }

} // namespace

EntrySettings readEntrySettings(SettingsReader& reader)
{
    EntrySettings settings;
    settings.m_name = reader.requiredText("name");
    settings.m_zone = reader.requiredText("zone");
    settings.m_packets = reader.requiredEndpoint("packets");
    settings.m_peers = reader.requiredEndpoint("peers");
    settings.m_replica = reader.requiredEndpoint("replica");
    settings.m_entryRpc = reader.requiredEndpoint("entry_rpc");
    settings.m_metrics = reader.requiredEndpoint("metrics");
    settings.m_answers = reader.requiredEndpoint("answers");
    settings.m_fabricSources = readAddresses(reader, "fabric_sources");
    settings.m_flowLimit = reader.integer("flow_limit", settings.m_flowLimit, c_minimumFlows, c_maximumFlows);
    settings.m_replicaBytesPerSecond = reader.integer("replica_bytes_per_second", settings.m_replicaBytesPerSecond,
        c_minimumReplicaBytesPerSecond, c_maximumReplicaBytesPerSecond);
    const std::chrono::milliseconds defaultLeaveTimeout
        = std::chrono::duration_cast<std::chrono::milliseconds>(settings.m_leaveTimeout);
    settings.m_leaveTimeout = std::chrono::milliseconds { reader.integer("leave_deadline_ms",
        static_cast<std::uint64_t>(defaultLeaveTimeout.count()), c_minimumLeaveMs, c_maximumLeaveMs) };
    settings.m_logLevel = reader.logLevel("log_level");
    if (settings.m_packets == settings.m_peers && settings.m_packets.m_port != 0)
        reader.addProblem("peers", "is the same endpoint as packets; both are UDP and need different endpoints");
    return settings;
}

} // namespace cuminrelay
