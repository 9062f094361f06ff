#pragma once

#include "configuration/Model.h"

#include <span>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// The backend servers that match the service's selector, including draining ones, sorted by name. The pointers refer
/// into the configuration. Complexity: O(backend servers * requirements).
std::vector<const BackendServer*> selectBackends(const Service& service, const Configuration& configuration);

/// The element of that name in a sequence sorted by name, or nullptr. Complexity: O(log n).
const BackendServer* findBackendServer(std::span<const BackendServer> backendServers, std::string_view name);
const Service* findService(std::span<const Service> services, std::string_view name);

/// The record of an edit, or nullptr when the history does not contain it.
const EditRecord* findEdit(std::span<const EditRecord> history, std::string_view id);

} // namespace cuminrelay
