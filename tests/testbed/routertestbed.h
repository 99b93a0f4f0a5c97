#pragma once

#include "childprocess.h"

#include <burdock/values/address.h>
#include <burdock/wire/factories.h>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace Burdock
{

/// Runs the routing path as separate processes on the loopback interface: a fake of the users' platform and router instances.
///
/// Each instance has its own loopback address, so all instances can use the same ports.
class RouterTestbed
{
public:
    RouterTestbed();
    ~RouterTestbed();
    RouterTestbed(const RouterTestbed &) = delete;
    RouterTestbed &operator=(const RouterTestbed &) = delete;

    /// Sends a control call to the fake platform and returns the response's body; throws if it fails.
    nlohmann::json control(const std::string &method, const std::string &path, const nlohmann::json &body = nlohmann::json::object());

    /// Starts a server. With `records` above zero it serves a shard with this many records.
    void addServer(const std::string &id, const std::string &service, int records = 0, int workMs = 3, const std::string &letter = "a");

    /// Adds lines to the bounds in the settings of instances that start from now on.
    void addBounds(const std::string &lines);

    /// Starts or restarts an instance in the zone `zone-` and the region `region-`, each followed by the letter. A `storeAddress`
    /// that is not empty replaces the fake platform's store.
    void startInstance(const std::string &id, const std::string &letter = "a", const std::string &storeAddress = {});

    /// Sets the program that the instance runs from its next start on, such as one of an earlier build; an empty path means the program
    /// that was built with the tests.
    void setProgram(const std::string &id, const std::string &path);

    /// Sets the memory of the machines of all instances that start from now on, in MB.
    void setMemory(int megabytes)
    {
        memoryMb_ = megabytes;
    }

    /// Cuts instances off from all servers, while clients, the store and the other instances still reach them. `how`: `hang`, `lose`,
    /// `oneWay`, `reset` or `refuseNew`; see LinkCut. New connections are refused or, in the first three forms, not answered.
    void cut(const std::vector<std::string> &instances, const std::string &how);

    /// Ends the cuts of these instances, or of all.
    void heal(const std::vector<std::string> &instances);
    void heal();

    /// Waits until the instance reports that it is ready; returns false after 10 seconds.
    bool waitUntilReady(const std::string &id);

    /// Whether the instance reports that it is ready.
    bool isReady(const std::string &id);

    /// Sends a request and waits for its response.
    Result<HttpResponse> call(const Address &address,
                              const std::string &method,
                              const std::string &target,
                              const std::map<std::string, std::string> &headers = {},
                              const std::string &body = {},
                              Duration timeout = std::chrono::seconds(5));

    /// Sends a client's request to an instance and waits for its response.
    Result<HttpResponse> sendRequest(const std::string &instance, const std::string &target, const std::string &attempt, const std::string &method = "GET");

    /// Runs the loop until the condition holds; returns false after the timeout.
    bool eventually(const std::function<bool()> &condition, Duration timeout = std::chrono::seconds(10));

    ChildProcess &process(const std::string &id);

    /// Returns the instances that ended by themselves since the last call, as after a crash or a sanitizer's report. If there are any of
    /// which nobody has asked, the destructor ends the test with SIGABRT.
    std::vector<std::string> takeFaultyEnds();
    ChildProcess &platform();
    Address clients(const std::string &id) const;
    Address directory(const std::string &id) const;
    Address peers(const std::string &id) const;
    Address readiness(const std::string &id) const;
    const Address &store() const
    {
        return store_;
    }
    EventLoop &loop()
    {
        return loop_;
    }
    const EventLoop &loop() const
    {
        return loop_;
    }
    HttpClient &client()
    {
        return *client_;
    }

    /// Returns the instance's standard output.
    std::string log(const std::string &id) const;

    /// Returns a configuration for the host `shop.example`: `/one/` is served by the service `one`, `/once/` by the same service but
    /// is not repeatable, and `/all/` by the given shards.
    static nlohmann::json config(std::int64_t version, const std::vector<std::string> &shards);

private:
    void noteEnd(const std::string &id);
    static Result<HttpResponse> wait(EventLoop &loop, HttpClient &client, HttpRequest request);
    std::string host(const std::string &id) const;
    /// The file that tells the instance's connections to servers whether they are cut; see serverlinks.cpp.
    std::filesystem::path linksFile(const std::string &id) const;
    void setLinks(const std::vector<std::string> &instances, const std::string &how, char state);
    std::string writeSettings(const std::string &id, const std::string &letter, const std::string &storeAddress);

    EventLoop loop_;
    std::unique_ptr<HttpClient> client_;
    /// Control calls have their own loop, so that callbacks of the other loop can make them.
    EventLoop controlLoop_;
    std::unique_ptr<HttpClient> controlClient_;
    std::filesystem::path folder_;
    std::string bounds_;
    std::unique_ptr<ChildProcess> platform_;
    Address store_;
    Address control_;
    std::map<std::string, int> hosts_;
    int memoryMb_ = 512;
    std::map<std::string, std::string> programs_;
    std::map<std::string, std::unique_ptr<ChildProcess>> instances_;
    std::set<std::string> reportedEnds_;
    std::vector<std::string> faultyEnds_;
};

} // namespace Burdock
