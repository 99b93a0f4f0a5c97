#pragma once

#include <burdock/values/address.h>

#include <functional>
#include <string>

namespace Burdock
{

/// A UDP socket on the process's loop. Datagrams may be lost, doubled and reordered.
class DatagramSocket
{
public:
    virtual ~DatagramSocket() = default;

    using Handler = std::function<void(const Address &from, const std::string &datagram)>;

    /// Binds the socket. Port 0 takes a free one.
    virtual Result<Address> bind(const Address &address) = 0;
    virtual void setHandler(Handler handler) = 0;

    /// Sends one datagram; a full socket buffer drops it.
    virtual void send(const Address &to, const std::string &datagram) = 0;
};

} // namespace Burdock
