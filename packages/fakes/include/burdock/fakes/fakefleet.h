#pragma once

#include <burdock/fakes/fakebackend.h>
#include <burdock/fakes/fakehttpserver.h>
#include <burdock/fakes/fakeinstancelist.h>
#include <burdock/fakes/fakestore.h>
#include <burdock/fakes/faultgate.h>
#include <burdock/fakes/fleetfile.h>

#include <map>
#include <memory>
#include <vector>

namespace Burdock
{

/// An HTTP server on its own port, with a fault gate in front of the request handler.
class FakePort
{
public:
    FakePort(Runtime &runtime, event_base *base, FakeHandler handler);

    FakeHttpServer server;
    FaultGate gate;
};

/// A fake backend server and its port.
struct FakeServer
{
    std::unique_ptr<FakePort> port;
    std::unique_ptr<FakeBackend> backend;
};

/// The listening addresses of the fakes in one process.
struct FakeAddresses
{
    Address store;
    Address instanceList;
    Address control;
};

/// All fakes of one process: a store, an instance list, backend servers and a control port for tests.
class FakeFleet
{
public:
    FakeFleet(Runtime &runtime, event_base *base, const FleetFile &file);
    ~FakeFleet();
    FakeFleet(const FakeFleet &) = delete;
    FakeFleet &operator=(const FakeFleet &) = delete;

    /// Starts listening on all ports and adds the servers to the instance list. Port 0 selects a free port.
    /// Fails if an address cannot be bound.
    Result<FakeAddresses> listen(const FakeAddresses &wanted);

    FakeStore &store()
    {
        return store_;
    }

    FakeInstanceList &instanceList()
    {
        return list_;
    }

    FakePort &storePort()
    {
        return *storePort_;
    }

    FakePort &listPort()
    {
        return *listPort_;
    }

    std::map<ServerId, FakeServer> &servers()
    {
        return servers_;
    }

    const FakeBackend::Indexes &indexes() const
    {
        return indexes_;
    }

private:
    void addServer(event_base *base, const FakeServerDeclaration &declaration, const FleetFile &file, std::uint64_t seed);

    Runtime &runtime_;
    FakeBackend::Indexes indexes_;
    FakeStore store_;
    FakeInstanceList list_;
    std::unique_ptr<FakePort> storePort_;
    std::unique_ptr<FakePort> listPort_;
    std::unique_ptr<FakePort> controlPort_;
    std::map<ServerId, FakeServer> servers_;
};

/// Handles one request of the control port (`/fake/...`); see packages/fakes/README.md.
void handleControl(FakeFleet &fleet, const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder);

} // namespace Burdock
