#include "rpc/Streams.h"

#include <arpa/inet.h>
#include <kj/debug.h>
#include <kj/io.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cuminrelay {

namespace {

    constexpr kj::uint c_socketFlags
        = kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK | kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC;

    sockaddr_in socketAddress(std::uint32_t address, std::uint16_t port)
    {
        sockaddr_in socketAddress {};
        socketAddress.sin_family = AF_INET;
        socketAddress.sin_addr.s_addr = htonl(address);
        socketAddress.sin_port = htons(port);
        return socketAddress;
    }

    void enableOption(int socket, int level, int option)
    {
        const int on = 1;
        KJ_SYSCALL(setsockopt(socket, level, option, &on, sizeof on));
    }

} // namespace

kj::Promise<kj::Own<kj::AsyncIoStream>> connectFrom(
    kj::LowLevelAsyncIoProvider& provider, std::uint32_t localAddress, Endpoint remote)
{
    int descriptor = -1;
    KJ_SYSCALL(descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    kj::AutoCloseFd owned { descriptor };
    enableOption(descriptor, IPPROTO_TCP, TCP_NODELAY);
    enableOption(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT);
    const sockaddr_in localSocketAddress = socketAddress(localAddress, 0);
    KJ_SYSCALL(bind(descriptor, reinterpret_cast<const sockaddr*>(&localSocketAddress), sizeof localSocketAddress));
    const sockaddr_in remoteSocketAddress = socketAddress(remote.m_address, remote.m_port);
    return provider.wrapConnectingSocketFd(kj::mv(owned), reinterpret_cast<const sockaddr*>(&remoteSocketAddress),
        sizeof remoteSocketAddress, c_socketFlags);
}

std::uint32_t remoteAddress(kj::AsyncIoStream& stream)
{
    sockaddr_in address {};
    kj::uint length = sizeof address;
    const kj::Maybe<kj::Exception> failure
        = kj::runCatchingExceptions([&] { stream.getpeername(reinterpret_cast<sockaddr*>(&address), &length); });
    if (failure != nullptr || address.sin_family != AF_INET)
        return 0;
    return ntohl(address.sin_addr.s_addr);
}

} // namespace cuminrelay
