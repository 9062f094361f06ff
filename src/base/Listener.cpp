#include "base/Listener.h"

#include <boost/asio/ip/address_v4.hpp>
#include <fmt/format.h>

namespace cuminrelay {

namespace asio = boost::asio;
using asio::ip::tcp;

Outcome<tcp::acceptor> openListener(const asio::any_io_executor& executor, Endpoint endpoint, std::string_view purpose)
{
    tcp::acceptor listener { executor };
    boost::system::error_code error;
    listener.open(tcp::v4(), error);
    if (!error)
        listener.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        listener.bind({ asio::ip::address_v4 { endpoint.m_address }, endpoint.m_port }, error);
    if (!error)
        listener.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return Error { ErrorKind::Unavailable,
            fmt::format("cannot serve {} on {}: {}", purpose, formatEndpoint(endpoint), error.message()) };
    return listener;
}

Endpoint localEndpoint(const tcp::acceptor& listener)
{
    const tcp::endpoint local = listener.local_endpoint();
    return { local.address().to_v4().to_uint(), local.port() };
}

} // namespace cuminrelay
