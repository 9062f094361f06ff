#pragma once

#include "base/Error.h"
#include "base/Time.h"
#include "exchange/NewsBook.h"

#include <cstddef>
#include <span>
#include <string>

namespace cuminrelay {

/// Encodes a News. A warm-up is sent as the remaining time, because the VMs' clocks have different epochs.
std::string encodeNews(const News& news, Instant now);

/// Decodes a News; now turns the remaining time of a warm-up into a deadline. Errors: InvalidInput.
Outcome<News> decodeNews(std::string_view bytes, Instant now);

} // namespace cuminrelay
