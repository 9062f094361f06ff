#pragma once

#include "settings/SettingsReader.h"
#include "standins/CallersStandin.h"
#include "standins/FabricStandin.h"
#include "standins/HostStandin.h"
#include "standins/PlatformStandin.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminrelay::standins {

/// The settings of the platform test double.
struct PlatformStandinSettings {
    PlatformOptions m_options;
    Endpoint m_listen;
    std::string m_tokenFile;
    std::string m_configurationFile; ///< initial config/current; empty for none
};

/// The settings of all test doubles in one process.
struct StandinSettings {
    std::optional<PlatformStandinSettings> m_platform;
    std::vector<HostOptions> m_hosts;
    std::optional<FabricOptions> m_fabric;
    std::optional<CallersOptions> m_callers;
};

PlatformStandinSettings readPlatformSettings(SettingsReader& reader);
std::vector<HostOptions> readHostSettings(SettingsReader& reader);
FabricOptions readFabricSettings(SettingsReader& reader);
CallersOptions readCallersSettings(SettingsReader& reader);

/// Reads the token and the initial configuration and listens. Errors: NotFound, InvalidInput, Unavailable.
Outcome<std::shared_ptr<PlatformStandin>> startPlatform(
    boost::asio::io_context& context, const PlatformStandinSettings& settings);

} // namespace cuminrelay::standins
