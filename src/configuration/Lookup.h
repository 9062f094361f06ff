#pragma once

#include "configuration/Model.h"

#include <span>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// The backend servers whose labels meet the service's selector, draining ones included, in the order of their names.
/// The pointers refer into the configuration. Cost: O(backend servers * requirements).
std::vector<const BackendServer*> selectBackends(const Service& service, const Configuration& configuration);

/// The named element of a sequence that is sorted by name, or nullptr. Cost: O(log n).
const BackendServer* findBackendServer(std::span<const BackendServer> backendServers, std::string_view name);
const Service* findService(std::span<const Service> services, std::string_view name);

/// The record of an edit, or nullptr when the history does not hold it.
const EditRecord* findEdit(std::span<const EditRecord> history, std::string_view id);

} // namespace cuminrelay
