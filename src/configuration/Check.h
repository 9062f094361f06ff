#pragma once

#include "base/Error.h"
#include "configuration/Model.h"

namespace cuminrelay {

/// Checks what every configuration must meet, wherever it came from: valid names, labels and selectors, everything
/// sorted by name and unique, backend servers with unique tunnels, known zones and at least one slot and connection,
/// bounded history. Errors: InvalidInput naming the first fault.
Outcome<void> checkConfiguration(const Configuration& configuration);

/// Checks that a change does no harm that the operator may not have meant: it leaves no service without a backend
/// server that takes new flows, and makes no two services share an address and port. What was so before is not held
/// against the change. Errors: InvalidInput naming the service.
Outcome<void> checkChange(const Configuration& before, const Configuration& after);

} // namespace cuminrelay
