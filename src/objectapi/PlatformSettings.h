#pragma once

#include "base/Endpoint.h"
#include "settings/SettingsReader.h"

#include <string>

namespace cuminrelay {

/// How a program reaches the platform: the section "platform" of its settings.
struct PlatformSettings {
    Endpoint m_endpoint;
    std::string m_tokenFile; ///< holds the bearer token; read for each call, so that it can be replaced

    /// Reads "platform": {"endpoint": "a.b.c.d:port", "token_file": "PATH"}.
    static PlatformSettings read(SettingsReader& settings);
};

} // namespace cuminrelay
