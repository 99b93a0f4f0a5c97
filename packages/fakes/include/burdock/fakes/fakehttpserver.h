#pragma once

#include <burdock/fakes/fakeresponder.h>
#include <burdock/values/address.h>

#include <cstdint>
#include <memory>

struct event_base;

namespace Burdock
{

/// A libevhtp server that can close its port, cut connections and send broken answers. One port each.
class FakeHttpServer
{
public:
    FakeHttpServer(Runtime &runtime, event_base *base, FakeHandler handler);
    ~FakeHttpServer();
    FakeHttpServer(const FakeHttpServer &) = delete;
    FakeHttpServer &operator=(const FakeHttpServer &) = delete;

    /// Starts to listen; port 0 takes a free one, which later calls take again.
    Result<Address> listen(const Address &address);

    /// Closes the port and cuts every connection.
    void refuseConnections();

    /// Listens again on the same port.
    void acceptConnections();

    /// Connections above this many are closed at once.
    void setConnectionLimit(std::uint32_t connections);

    std::uint32_t openConnections() const;
    std::uint32_t mostConnections() const;
    std::uint64_t refusedConnections() const;

    /// Where it listens.
    const Address &address() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Burdock
