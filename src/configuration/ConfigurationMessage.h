#pragma once

#include "base/Error.h"
#include "configuration/Configuration.capnp.h"
#include "configuration/Model.h"

namespace cuminrelay {

/// Writes what changed from base to target. With a base of version 0, or when target's history does not continue
/// base's, the whole target is written and the update's base is 0.
void writeUpdate(const Configuration& base, const Configuration& target, wire::ConfigurationUpdate::Builder update);

/// The configuration that an update makes of its base; base is ignored when the update is whole. Errors: Stale when the
/// update is against another version than base's, InvalidInput when the result fails checkConfiguration.
Outcome<Configuration> applyUpdate(const Configuration& base, wire::ConfigurationUpdate::Reader update);

} // namespace cuminrelay
