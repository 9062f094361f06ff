#include "base/IdleConnection.h"

#include <cerrno>
#include <sys/socket.h>

namespace cuminrelay {

bool isReusable(boost::asio::ip::tcp::socket& connection)
{
    char next = 0;
    const ssize_t received = recv(connection.native_handle(), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace cuminrelay
