#include "internal/sockets.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Burdock
{

namespace
{

/// A link without traffic is probed after KeepAliveIdleSeconds, then once per interval.
constexpr int KeepAliveIdleSeconds = 5;
constexpr int KeepAliveIntervalSeconds = 5;
constexpr int KeepAliveProbes = 2;
constexpr int MillisecondsPerSecond = 1000;
/// The link is broken if sent bytes remain unacknowledged for this time. On Linux this also ends an idle link, whatever the count of
/// its probes, once one of them is unanswered.
constexpr int UserTimeoutMilliseconds = (KeepAliveIdleSeconds + KeepAliveProbes * KeepAliveIntervalSeconds) * MillisecondsPerSecond;

void setOption(evutil_socket_t socket, int level, int option, int value)
{
    setsockopt(socket, level, option, &value, sizeof(value));
}

} // namespace

Result<Address> localAddress(evutil_socket_t socket)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    if (getsockname(socket, reinterpret_cast<sockaddr *>(&storage), &length) != 0) {
        return notRun(Errc::Internal, "the socket has no address");
    }
    return addressOf(storage);
}

Address addressOf(const sockaddr_storage &address)
{
    std::array<char, INET6_ADDRSTRLEN> host{};
    if (address.ss_family == AF_INET) {
        const auto *four = reinterpret_cast<const sockaddr_in *>(&address);
        inet_ntop(AF_INET, &four->sin_addr, host.data(), host.size());
        return Address{host.data(), ntohs(four->sin_port)};
    }
    const auto *six = reinterpret_cast<const sockaddr_in6 *>(&address);
    inet_ntop(AF_INET6, &six->sin6_addr, host.data(), host.size());
    return Address{host.data(), ntohs(six->sin6_port)};
}

Result<sockaddr_storage> socketAddress(const Address &address)
{
    sockaddr_storage storage{};
    auto *four = reinterpret_cast<sockaddr_in *>(&storage);
    auto *six = reinterpret_cast<sockaddr_in6 *>(&storage);
    if (inet_pton(AF_INET, address.host.c_str(), &four->sin_addr) == 1) {
        four->sin_family = AF_INET;
        four->sin_port = htons(address.port);
        return storage;
    }
    if (inet_pton(AF_INET6, address.host.c_str(), &six->sin6_addr) == 1) {
        six->sin6_family = AF_INET6;
        six->sin6_port = htons(address.port);
        return storage;
    }
    return notRun(Errc::BadRequest, "'" + address.toString() + "' is not an IP number and port");
}

socklen_t socketAddressLength(const sockaddr_storage &address)
{
    return address.ss_family == AF_INET ? sizeof(sockaddr_in) : sizeof(sockaddr_in6);
}

bool areDescriptorsUsedUp()
{
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (probe >= 0) {
        evutil_closesocket(probe);
        return false;
    }
    return errno == EMFILE || errno == ENFILE;
}

void disableNagle(evutil_socket_t socket)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
}

void prepareLinkSocket(evutil_socket_t socket)
{
    disableNagle(socket);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMilliseconds);
}

} // namespace Burdock
