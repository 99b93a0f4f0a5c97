#pragma once

#include <burdock/fakes/fakefleet.h>
#include <burdock/fakes/fakekeyvaluestore.h>
#include <burdock/fakes/fakeroutedserver.h>

#include <map>
#include <memory>
#include <string>

namespace Burdock
{

/// A stand-in server of the users' platform with its port and its entry in the store.
struct FakeRoutedPort
{
    std::unique_ptr<FakePort> port;
    std::unique_ptr<FakeRoutedServer> server;
    std::string zone;
    std::string state = "ready";
    std::int64_t born = 0;
    std::int64_t sequence = 0;
    /// Arrivals when it began to leave, and how many came since.
    std::uint64_t arrivedBeforeLeaving = 0;
};

/// The users' platform in one process: its store, its servers, and a port that tests steer both by.
class FakePlatform
{
public:
    FakePlatform(Runtime &runtime, event_base *base);
    ~FakePlatform();
    FakePlatform(const FakePlatform &) = delete;
    FakePlatform &operator=(const FakePlatform &) = delete;

    struct Addresses
    {
        Address store;
        Address control;
    };

    /// Listens; port 0 takes free ports.
    Result<Addresses> listen(const Addresses &wanted);

    /// Starts a server on a free port and writes its entry.
    Result<Address> addServer(const FakeRoutedServerDeclaration &declaration, const std::string &zone);

    /// Writes the entry of a server anew, with another state; `removed` takes the entry away.
    void setState(const std::string &id, const std::string &state);

    FakeKeyValueStore &store()
    {
        return store_;
    }

    FakePort &storePort()
    {
        return *storePort_;
    }

    std::map<std::string, FakeRoutedPort> &servers()
    {
        return servers_;
    }

private:
    void writeEntry(const std::string &id);

    Runtime &runtime_;
    event_base *base_;
    FakeKeyValueStore store_;
    std::unique_ptr<FakePort> storePort_;
    std::unique_ptr<FakePort> controlPort_;
    std::map<std::string, FakeRoutedPort> servers_;
    std::uint64_t seed_ = 0;
};

/// Answers one request of the control port: `/fake/...`, see packages/fakes/README.md.
void handlePlatformControl(FakePlatform &platform, const HttpIncoming &request, const std::shared_ptr<FakeResponder> &responder);

} // namespace Burdock
