#pragma once

#include "childprocess.h"

#include <burdock/values/address.h>
#include <burdock/wire/factories.h>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Burdock
{

/// The routing path as separate processes on loopback: the users' platform as a stand-in, and some instances.
///
/// Every instance has a loopback address of its own, so that ports need not be agreed on.
class RouterTestbed
{
public:
    RouterTestbed();
    ~RouterTestbed();
    RouterTestbed(const RouterTestbed &) = delete;
    RouterTestbed &operator=(const RouterTestbed &) = delete;

    /// A control call to the stand-in; the body of the answer.
    nlohmann::json control(const std::string &method, const std::string &path, const nlohmann::json &body = nlohmann::json::object());

    /// Starts a server; `records` makes it a shard's.
    void addServer(const std::string &id, const std::string &service, int records = 0, int workMs = 3);

    /// Starts an instance, or starts it again. `storeAddress` stands for the stand-in's own where it is not empty. Its zone is
    /// `zone-` and the letter, the region `region-` and the same.
    void startInstance(const std::string &id, const std::string &letter = "a", const std::string &storeAddress = {});

    /// Waits until the instance says that it is ready.
    bool waitUntilReady(const std::string &id);

    /// Whether it says so now.
    bool isReady(const std::string &id);

    /// Sends one request and waits for its response.
    Result<HttpResponse> call(const Address &address,
                              const std::string &method,
                              const std::string &target,
                              const std::map<std::string, std::string> &headers = {},
                              const std::string &body = {},
                              Duration timeout = std::chrono::seconds(5));

    /// A client's request to an instance.
    Result<HttpResponse> sendRequest(const std::string &instance, const std::string &target, const std::string &attempt, const std::string &method = "GET");

    /// Waits for a condition, running the loop; false when patience ends.
    bool eventually(const std::function<bool()> &condition, Duration timeout = std::chrono::seconds(10));

    ChildProcess &process(const std::string &id);
    ChildProcess &platform();
    Address clients(const std::string &id) const;
    Address directory(const std::string &id) const;
    Address peers(const std::string &id) const;
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

    /// What the instances wrote to standard output, by instance.
    std::string log(const std::string &id) const;

    /// A configuration over what tests use: `shop.example` with `/one/` at service `one`, `/once/` that may run once, `/all/` over
    /// the shards given.
    static nlohmann::json config(std::int64_t version, const std::vector<std::string> &shards);

private:
    static Result<HttpResponse> wait(EventLoop &loop, HttpClient &client, HttpRequest request);
    std::string host(const std::string &id) const;
    std::string writeSettings(const std::string &id, const std::string &letter, const std::string &storeAddress);

    EventLoop loop_;
    std::unique_ptr<HttpClient> client_;
    /// Control calls have a loop of their own, so that callbacks of the other may make them.
    EventLoop controlLoop_;
    std::unique_ptr<HttpClient> controlClient_;
    std::filesystem::path folder_;
    std::unique_ptr<ChildProcess> platform_;
    Address store_;
    Address control_;
    std::map<std::string, int> hosts_;
    std::map<std::string, std::unique_ptr<ChildProcess>> instances_;
};

} // namespace Burdock
