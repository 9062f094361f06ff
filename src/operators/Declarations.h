#pragma once

#include "base/Error.h"
#include "configuration/Changes.h"
#include "configuration/Model.h"

#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay::operators {

/// A declared host. Its draining state is applied only if the file contains it.
struct DeclaredHost {
    BackendServer m_host;
    bool m_setsDraining = false;
};

/// Contents of a declarations file: JSON with comments, kept in version control.
///
///     { "zones": ["khomas-a"],
///       "hosts": [{"name": ..., "zone": ..., "tunnel": ..., "report": ..., "slots": 2, "connection_limit": 2000,
///                  "labels": {"app": "agenda"}}],
///       "services": [{"name": "agenda", "address": "10.9.0.1:443", "protocol": "tcp", "selector": "app=agenda"}],
///       "absent": {"zones": [], "hosts": ["agenda-99"], "services": []} }
///
/// All top-level keys are optional. Objects, labels and draining states that are not in the file stay unchanged.
struct Declarations {
    std::vector<std::string> m_zones;
    std::vector<DeclaredHost> m_hosts;
    std::vector<Service> m_services;
    std::vector<std::string> m_absentZones;
    std::vector<std::string> m_absentHosts;
    std::vector<std::string> m_absentServices;
};

/// Loads a declarations file. Errors: NotFound if it cannot be read; InvalidInput with the file, the location, the
/// found and the allowed value.
Outcome<Declarations> loadDeclarations(const std::string& path);

/// Parses a declarations text. Errors: InvalidInput, as loadDeclarations but with name instead of the file.
Outcome<Declarations> parseDeclarations(std::string_view name, std::string_view text);

/// Returns the changes that bring a configuration to the declared state; empty if it has that state already.
ChangeList changesTo(const Declarations& declarations, const Configuration& configuration);

} // namespace cuminrelay::operators
