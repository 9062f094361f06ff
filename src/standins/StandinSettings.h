#pragma once

#include "settings/SettingsReader.h"
#include "standins/FakeCallers.h"
#include "standins/FakeFabric.h"
#include "standins/FakeHost.h"
#include "standins/FakePlatform.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminrelay::standins {

struct FakePlatformSettings {
    PlatformOptions m_options;
    Endpoint m_listen;
    std::string m_tokenFile;
    std::string m_configurationFile; ///< initial body of the object config/current; empty for none
};

/// The settings of all test doubles in one process.
struct StandinSettings {
    std::optional<FakePlatformSettings> m_platform;
    std::vector<HostOptions> m_hosts;
    std::optional<FabricOptions> m_fabric;
    std::optional<CallersOptions> m_callers;
};

FakePlatformSettings readPlatformSettings(SettingsReader& reader);
std::vector<HostOptions> readHostSettings(SettingsReader& reader);
FabricOptions readFabricSettings(SettingsReader& reader);
CallersOptions readCallersSettings(SettingsReader& reader);

/// Reads the token and the initial configuration and listens. Errors: NotFound for a file, Unavailable for the address.
Outcome<std::shared_ptr<FakePlatform>> startPlatform(
    boost::asio::io_context& context, const FakePlatformSettings& settings);

} // namespace cuminrelay::standins
