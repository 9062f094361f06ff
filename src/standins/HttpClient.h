#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace cuminrelay::standins {

/// The body of a GET on a connection of its own. Errors: Unavailable, or past the deadline, or any status but 200.
boost::asio::awaitable<Outcome<std::string>> httpGet(Endpoint server, std::string path, Deadline deadline);

} // namespace cuminrelay::standins
