#include "control/ControlSettings.h"

namespace cuminrelay {

namespace {

    Duration readMilliseconds(
        SettingsReader& reader, std::string_view key, std::uint64_t fallback, std::uint64_t minimum)
    {
        constexpr std::uint64_t maximum = 60'000;
        return std::chrono::milliseconds { reader.integer(key, fallback, minimum, maximum) };
    }

} // namespace

ControlSettings readControlSettings(SettingsReader& reader)
{
    ControlSettings settings;
    Member& self = settings.m_options.m_self;
    self.m_name = reader.requiredText("name");
    self.m_zone = reader.requiredText("zone");
    self.m_control = reader.requiredEndpoint("control");
    self.m_peers = reader.requiredEndpoint("entry_peers");
    self.m_replica = reader.requiredEndpoint("entry_replica");
    settings.m_options.m_entryRpc = reader.requiredEndpoint("entry_rpc");
    // Accepted but unused: the VM list publishes this endpoint, and heartbeats don't carry it.
    (void)reader.endpoint("entry_packets", {});
    settings.m_options.m_seedPeers = reader.endpoints("seed_peers");
    settings.m_options.m_heartbeatInterval = readMilliseconds(reader, "heartbeat_ms", 500, 50);
    settings.m_options.m_fullMeshLimit = reader.integer("beat_everybody_up_to", 16, 0, 4096);
    settings.m_platform = PlatformSettings::read(reader);
    settings.m_metrics = reader.requiredEndpoint("metrics");
    settings.m_probeInterval = readMilliseconds(reader, "probe_interval_ms", 1000, 50);
    settings.m_logLevel = reader.logLevel("log_level");
    return settings;
}

} // namespace cuminrelay
