#pragma once

#include <burdock/fakes/fakefleet.h>
#include <burdock/fakes/fakekeyvaluestore.h>
#include <burdock/fakes/fakeroutedserver.h>

#include <map>
#include <memory>
#include <string>

namespace Burdock
{

/// A fake server of the users' platform with its port and its entry in the store.
struct FakeRoutedPort
{
    std::unique_ptr<FakePort> port;
    std::unique_ptr<FakeRoutedServer> server;
    std::string zone;
    std::string state = "ready";
    std::int64_t born = 0;
    std::int64_t sequence = 0;
    /// Number of requests that had arrived when the server started leaving.
    std::uint64_t arrivedBeforeLeaving = 0;
    /// The time at which the server started leaving.
    TimePoint leavingSince{};
    /// The address published in the store entry; if empty, the address of the server's own port.
    std::string advertised;
    /// Starts the server again after a crash.
    TimerId restart = 0;
};

/// The users' platform in one process: its store, its servers and a control port for tests.
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

    /// Starts listening; port 0 selects a free port. Fails if an address cannot be bound.
    Result<Addresses> listen(const Addresses &wanted);

    /// Starts a server on a free port and writes its entry. Fails if no port can be bound.
    Result<Address> addServer(const FakeRoutedServerDeclaration &declaration, const std::string &zone);

    /// Publishes another address for a server, such as that of a proxy in front of it.
    void advertise(const std::string &id, const std::string &address);

    /// A service's first requests of each attempt and its repeated ones, for each second since the start.
    struct ServiceSeconds
    {
        std::vector<std::uint32_t> first;
        std::vector<std::uint32_t> repeats;
    };
    std::map<std::string, ServiceSeconds> arrivalsBySecond() const;

    /// Rewrites the entry of a server with a new state; `removed` deletes the entry.
    void setState(const std::string &id, const std::string &state);

    /// Cuts the connections from clients' IP addresses to all servers, present and future; `None` ends a cut.
    void cutLinks(const std::vector<std::string> &clients, LinkCut cut);

    /// Writes the operator's configuration.
    void setConfig(const std::string &value);

    /// Takes a copy of the store.
    void copyStore();

    /// Restores the store from the last copy. After `delay`, the operator and the servers write again what they wrote last, and the
    /// store removes the entries of servers that have left.
    void restoreStore(Duration delay);

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
    /// Closes a server's port; the server starts anew after a while.
    void crash(const std::string &id);
    void writeAgain();

    Runtime &runtime_;
    const TimePoint started_;
    event_base *base_;
    FakeKeyValueStore store_;
    std::unique_ptr<FakePort> storePort_;
    std::unique_ptr<FakePort> controlPort_;
    std::map<std::string, FakeRoutedPort> servers_;
    std::map<std::string, LinkCut> linkCuts_;
    std::uint64_t seed_ = 0;
    std::string config_;
    std::optional<StoreState::Copy> copy_;
    TimerId rewriteTimer_ = 0;
};

/// Handles one request of the control port (`/fake/...`); see packages/fakes/README.md.
void handlePlatformControl(FakePlatform &platform, const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder);

} // namespace Burdock
