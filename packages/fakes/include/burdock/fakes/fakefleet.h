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

/// One stand-in behind a port of its own, with its fault gate.
class FakePort
{
public:
    FakePort(Runtime &runtime, event_base *base, FakeHandler handler);

    FakeHttpServer server;
    FaultGate gate;
};

/// A stand-in server with its port.
struct FakeServer
{
    std::unique_ptr<FakePort> port;
    std::unique_ptr<FakeBackend> backend;
};

/// Where the stand-ins of one process listen.
struct FakeAddresses
{
    Address store;
    Address instanceList;
    Address control;
};

/// All stand-ins of one process: a store, an instance list, many servers, and the port that tests steer them by.
class FakeFleet
{
public:
    FakeFleet(Runtime &runtime, event_base *base, const FleetFile &file);
    ~FakeFleet();
    FakeFleet(const FakeFleet &) = delete;
    FakeFleet &operator=(const FakeFleet &) = delete;

    /// Listens everywhere and lists the servers; port 0 takes free ports.
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

/// Answers one request of the control port: `/fake/...`, see packages/fakes/README.md.
void handleControl(FakeFleet &fleet, const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder);

} // namespace Burdock
