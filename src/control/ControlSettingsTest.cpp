#include "control/ControlSettings.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr std::string_view c_settings = R"({
        "name": "entry-1", "zone": "khomas-a", "control": "127.0.0.1:1", "entry_rpc": "127.0.0.1:2",
        "entry_peers": "127.0.0.1:3", "entry_replica": "127.0.0.1:4", "entry_packets": "127.0.0.1:5",
        "platform": { "endpoint": "127.0.0.1:6", "token_file": "token" }, "metrics": "127.0.0.1:7",
        "seed_peers": ["127.0.0.1:8"], // may be left out
        "probe_interval_ms": 200, "heartbeat_ms": 100, "beat_everybody_up_to": 3, "log_level": "warning" })";

    TEST(ControlSettings, allKeysAreRead)
    {
        Outcome<SettingsReader> reader = SettingsReader::parse("control.json", c_settings);
        ASSERT_TRUE(reader.has_value());
        const ControlSettings settings = readControlSettings(reader.value());
        EXPECT_TRUE(reader.value().finish().has_value());
        EXPECT_EQ(settings.m_options.m_self.m_zone, "khomas-a");
        EXPECT_EQ(settings.m_options.m_self.m_peers, (Endpoint { 0x7f000001, 3 }));
        EXPECT_EQ(settings.m_options.m_seedPeers.size(), 1U);
        EXPECT_EQ(settings.m_options.m_fullMeshLimit, 3U);
        EXPECT_EQ(settings.m_options.m_heartbeatInterval, std::chrono::milliseconds { 100 });
        EXPECT_EQ(settings.m_platform.m_endpoint, (Endpoint { 0x7f000001, 6 }));
        EXPECT_EQ(settings.m_probeInterval, std::chrono::milliseconds { 200 });
        EXPECT_EQ(settings.m_logLevel, LogLevel::Warning);
    }

    TEST(ControlSettings, missingKeysAreReported)
    {
        Outcome<SettingsReader> reader = SettingsReader::parse("control.json", R"({ "name": "entry-1" })");
        ASSERT_TRUE(reader.has_value());
        (void)readControlSettings(reader.value());
        EXPECT_FALSE(reader.value().finish().has_value());
    }

} // namespace
} // namespace cuminrelay
