#pragma once

#include "control/ControlOptions.h"
#include "objectapi/PlatformSettings.h"
#include "observe/Log.h"
#include "settings/SettingsReader.h"

namespace cuminrelay {

/// The settings of cuminrelay-control.
struct ControlSettings {
    ControlOptions m_options; ///< without m_firstSequence
    PlatformSettings m_platform;
    Endpoint m_metrics; ///< TCP: HTTP for /metrics
    Duration m_probeInterval = std::chrono::seconds { 1 };
    LogLevel m_logLevel = LogLevel::Info;
};

/// Reads all keys; errors are collected in the reader.
ControlSettings readControlSettings(SettingsReader& reader);

} // namespace cuminrelay
