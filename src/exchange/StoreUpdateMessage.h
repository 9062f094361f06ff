#pragma once

#include "base/Error.h"
#include "base/Time.h"
#include "exchange/StoreCache.h"

#include <cstddef>
#include <span>
#include <string>

namespace cuminrelay {

/// A warm-up is sent as the remaining time, because the VMs' clocks have different epochs.
std::string encodeStoreUpdate(const StoreUpdate& update, Instant now);

/// Decodes a StoreUpdate; now turns the remaining time of a warm-up into a deadline. Errors: InvalidInput.
Outcome<StoreUpdate> decodeStoreUpdate(std::string_view bytes, Instant now);

} // namespace cuminrelay
