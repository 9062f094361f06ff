#pragma once

#include "base/Error.h"
#include "configuration/Model.h"

namespace cuminrelay {

/// Checks the invariants of all configurations: valid names, labels and selectors; elements sorted by unique names;
/// backend servers with unique tunnels, a declared zone, and at least one slot and connection; no endpoint with address
/// or port 0; a bounded history. Errors: InvalidInput naming the first fault.
Outcome<void> checkConfiguration(const Configuration& configuration);

/// Rejects valid changes that are probably mistakes: those that leave a service without a backend server for new flows,
/// or make services share an address and port. Faults that existed before the change are ignored. Errors: InvalidInput
/// naming the service.
Outcome<void> checkChange(const Configuration& before, const Configuration& after);

} // namespace cuminrelay
