#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace cuminrelay {

/// Whether a kept-alive connection may carry another request: it is open, and the peer has sent nothing since its last
/// response. Unread bytes are a second copy of a response, which the next caller would take for its own. Does not
/// block.
bool isReusable(boost::asio::ip::tcp::socket& connection);

} // namespace cuminrelay
