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
    /// When it began to leave.
    TimePoint leftAt{};
    /// The address that its entry names; its own port's where empty.
    std::string advertised;
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

    /// Lets the entry of a server name another address, such as that of a proxy before it.
    void advertise(const std::string &id, const std::string &address);

    /// Requests beyond the first of each attempt at a service, and all first ones, in each second since the start.
    struct ServiceSeconds
    {
        std::vector<std::uint32_t> first;
        std::vector<std::uint32_t> repeats;
    };
    std::map<std::string, ServiceSeconds> arrivalsBySecond() const;

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
    const TimePoint started_;
    event_base *base_;
    FakeKeyValueStore store_;
    std::unique_ptr<FakePort> storePort_;
    std::unique_ptr<FakePort> controlPort_;
    std::map<std::string, FakeRoutedPort> servers_;
    std::uint64_t seed_ = 0;
};

/// Answers one request of the control port: `/fake/...`, see packages/fakes/README.md.
void handlePlatformControl(FakePlatform &platform, const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder);

} // namespace Burdock
