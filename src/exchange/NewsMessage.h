#pragma once

#include "base/Error.h"
#include "base/Time.h"
#include "exchange/NewsBook.h"

#include <cstddef>
#include <span>
#include <string>

namespace cuminrelay {

/// Encodes news. What is left of a warm-up is told, because the VMs' clocks have different epochs.
std::string encodeNews(const News& news, Instant now);

/// Decodes news; now turns what is left of a warm-up into a deadline. Errors: InvalidInput.
Outcome<News> decodeNews(std::string_view bytes, Instant now);

} // namespace cuminrelay
