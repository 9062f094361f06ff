#include "objectapi/PlatformSettings.h"

namespace cuminrelay {

PlatformSettings PlatformSettings::read(SettingsReader& settings)
{
    SettingsReader& section = settings.section("platform");
    PlatformSettings result;
    result.m_endpoint = section.requiredEndpoint("endpoint");
    result.m_tokenFile = section.requiredText("token_file");
    return result;
}

} // namespace cuminrelay
