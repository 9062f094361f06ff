#pragma once

#include "base/Endpoint.h"
#include "settings/SettingsReader.h"

#include <string>

namespace cuminrelay {

/// Connection settings of the platform: the section "platform" of the settings file.
struct PlatformSettings {
    Endpoint m_endpoint;
    std::string m_tokenFile; ///< path of the bearer token; read for each call, so that the token can be replaced

    /// Reads "platform": {"endpoint": "a.b.c.d:port", "token_file": "PATH"}.
    static PlatformSettings read(SettingsReader& settings);
};

} // namespace cuminrelay
