#pragma once

#include <burdock/fakes/fakeresponder.h>
#include <burdock/fakes/faults.h>
#include <burdock/values/address.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

struct event_base;

namespace Burdock
{

/// A libevhtp server on one port that can close the port, drop connections and send malformed responses.
class FakeHttpServer
{
public:
    FakeHttpServer(Runtime &runtime, event_base *base, FakeHandler handler);
    ~FakeHttpServer();
    FakeHttpServer(const FakeHttpServer &) = delete;
    FakeHttpServer &operator=(const FakeHttpServer &) = delete;

    /// Starts listening. Port 0 selects a free port, which acceptConnections() reuses. Fails if the address cannot be bound.
    Result<Address> listen(const Address &address);

    /// Closes the port and all connections.
    void refuseConnections();

    /// Resumes listening on the same port.
    void acceptConnections();

    /// Sets the maximum number of connections; further ones are closed immediately.
    void setConnectionLimit(std::uint32_t connections);

    /// Replaces the cuts, by the clients' IP addresses.
    void setLinkCuts(const std::map<std::string, LinkCut> &cuts);

    std::uint32_t openConnections() const;
    std::uint32_t peakConnections() const;
    std::uint64_t refusedConnections() const;

    /// The bound address.
    const Address &address() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Burdock
