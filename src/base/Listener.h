#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace cuminrelay {

/// Binds a TCP endpoint and listens; port 0 selects any free port. Errors: Unavailable, with a message such as "cannot
/// serve PURPOSE on a.b.c.d:port: Address already in use".
Outcome<boost::asio::ip::tcp::acceptor> openListener(
    const boost::asio::any_io_executor& executor, Endpoint endpoint, std::string_view purpose);

Endpoint localEndpoint(const boost::asio::ip::tcp::acceptor& listener);

} // namespace cuminrelay
