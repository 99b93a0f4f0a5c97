#pragma once

#include <burdock/values/address.h>

#include <functional>
#include <string>

namespace Burdock
{

/// A UDP socket on the process's event loop. Datagrams may be lost, duplicated or reordered.
class DatagramSocket
{
public:
    virtual ~DatagramSocket() = default;

    using Handler = std::function<void(const Address &from, const std::string &datagram)>;

    /// Binds the socket and returns its address; port 0 selects a free port. BadRequest for anything but an IP number and
    /// port, Unavailable if the address cannot be bound.
    virtual Result<Address> bind(const Address &address) = 0;

    /// Sets the function that is called for each received datagram.
    virtual void setHandler(Handler handler) = 0;

    /// Sends one datagram. It is dropped without an error if the socket buffer is full or the address is invalid.
    virtual void send(const Address &to, const std::string &datagram) = 0;
};

} // namespace Burdock
