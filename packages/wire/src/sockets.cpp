#include "internal/sockets.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Burdock
{

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

void disableNagle(evutil_socket_t socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace Burdock
