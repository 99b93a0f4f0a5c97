#pragma once

#include <burdock/values/address.h>

#include <event2/util.h>
#include <sys/socket.h>

namespace Burdock
{

/// The address that a socket is bound to.
Result<Address> localAddress(evutil_socket_t socket);

/// The socket address of an IP number and port; BadRequest for anything else.
Result<sockaddr_storage> socketAddress(const Address &address);

/// The IP number and port of a socket address.
Address addressOf(const sockaddr_storage &address);

/// The length that system calls want for a socket address.
socklen_t socketAddressLength(const sockaddr_storage &address);

/// Sends small segments at once instead of waiting for acknowledgements.
void disableNagle(evutil_socket_t socket);

/// Sets up the socket of a long-lived link: small segments go at once, and the kernel breaks the connection when the
/// peer's machine no longer answers, whether bytes wait for it or not.
void prepareLinkSocket(evutil_socket_t socket);

} // namespace Burdock
