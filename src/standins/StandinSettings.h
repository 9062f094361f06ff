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

/// The platform's options with what the settings say beyond them.
struct PlatformStandinSettings {
    PlatformOptions m_options;
    Endpoint m_listen;
    std::string m_tokenFile;
    std::string m_configurationFile; ///< config/current at the start; may be empty
};

/// The settings of all stand-ins that one process runs.
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

/// Reads the token and the first configuration and listens. Errors: NotFound, InvalidInput, Unavailable.
Outcome<std::shared_ptr<PlatformStandin>> startPlatform(
    boost::asio::io_context& context, const PlatformStandinSettings& settings);

} // namespace cuminrelay::standins
