#pragma once

#include "base/Error.h"
#include "configuration/Configuration.capnp.h"
#include "configuration/Model.h"

namespace cuminrelay {

/// Writes the difference between base and target. When base has version 0 or target's history does not continue base's,
/// writes the complete target and sets the update's base to 0.
void writeUpdate(const Configuration& base, const Configuration& target, wire::ConfigurationUpdate::Builder update);

/// Applies an update to its base; a complete update ignores base. Errors: Stale when the update has another base
/// version, InvalidInput when the message is malformed or the result fails checkConfiguration.
Outcome<Configuration> applyUpdate(const Configuration& base, wire::ConfigurationUpdate::Reader update);

} // namespace cuminrelay
