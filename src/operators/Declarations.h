#pragma once

#include "base/Error.h"
#include "configuration/Changes.h"
#include "configuration/Model.h"

#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay::operators {

/// A declared host; draining is only touched where the file says so.
struct DeclaredHost {
    BackendServer m_host;
    bool m_statesDraining = false;
};

/// What a declarations file states: JSON with comments, kept in version control.
///
///     { "zones": ["khomas-a"],
///       "hosts": [{"name": ..., "zone": ..., "tunnel": ..., "report": ..., "slots": 2, "connection_limit": 2000,
///                  "labels": {"app": "agenda"}}],
///       "services": [{"name": "agenda", "address": "10.9.0.1:443", "protocol": "tcp", "selector": "app=agenda"}],
///       "absent": {"zones": [], "hosts": ["agenda-99"], "services": []} }
///
/// All parts may be missing. What the file does not state is not touched: other hosts and services, other labels, and
/// draining.
struct Declarations {
    std::vector<std::string> m_zones;
    std::vector<DeclaredHost> m_hosts;
    std::vector<Service> m_services;
    std::vector<std::string> m_absentZones;
    std::vector<std::string> m_absentHosts;
    std::vector<std::string> m_absentServices;
};

/// Loads a declarations file. Errors: InvalidInput naming file, place, found and allowed; NotFound.
Outcome<Declarations> loadDeclarations(const std::string& path);

/// As loadDeclarations, from a text; name stands for the file in messages.
Outcome<Declarations> parseDeclarations(std::string_view name, std::string_view text);

/// The changes that make a configuration state what is declared; none when it does already.
ChangeList changesTo(const Declarations& declarations, const Configuration& configuration);

} // namespace cuminrelay::operators
