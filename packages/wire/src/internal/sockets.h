#pragma once

#include <burdock/values/address.h>

#include <event2/util.h>
#include <sys/socket.h>

namespace Burdock
{

/// The address that a socket is bound to. Internal if the system call fails.
Result<Address> localAddress(evutil_socket_t socket);

/// Converts an IP number and port to a socket address. BadRequest for anything else.
Result<sockaddr_storage> socketAddress(const Address &address);

/// Converts a socket address to an IP number and port.
Address addressOf(const sockaddr_storage &address);

/// The length of a socket address as system calls expect it, in bytes.
socklen_t socketAddressLength(const sockaddr_storage &address);

/// Whether the process can open no further descriptor.
bool areDescriptorsUsedUp();

/// Disables Nagle's algorithm, which delays small segments until earlier ones are acknowledged.
void disableNagle(evutil_socket_t socket);

/// Configures the socket of a long-lived link. Disables Nagle's algorithm, and makes the kernel break the connection when the
/// peer's machine no longer responds, with or without unacknowledged bytes.
void prepareLinkSocket(evutil_socket_t socket);

} // namespace Burdock
