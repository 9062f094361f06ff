#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace cuminrelay::standins {

/// Sends a GET on a new connection and returns the body. Errors: Unavailable, also past the deadline and for any status
/// but 200.
boost::asio::awaitable<Outcome<std::string>> httpGet(Endpoint server, std::string path, Deadline deadline);

} // namespace cuminrelay::standins
