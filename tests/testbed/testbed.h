#pragma once

#include "childprocess.h"

#include <burdock/values/address.h>
#include <burdock/wire/factories.h>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Burdock
{

/// A deployment run as separate processes on loopback: the fakes and some instances.
class Testbed
{
public:
    /// `deployment` is a folder of the examples, such as `pereyra-hermanos`, or a path if it contains a slash. `fakesFlags` are passed to
    /// the fakes. Throws std::runtime_error if the fakes do not start.
    Testbed(const std::string &deployment, const std::vector<std::string> &regions, const std::vector<std::string> &fakesFlags = {});

    /// Ends the test with SIGABRT if an instance has ended by itself, as after a crash or a sanitizer's report.
    ~Testbed();
    Testbed(const Testbed &) = delete;
    Testbed &operator=(const Testbed &) = delete;

    /// Starts an instance in a region and waits until it listens. Adds it to the instance list unless `listed` is false.
    void startInstance(const std::string &id, const std::string &region, bool listed = true);

    /// Publishes the deployment's declarations; returns the exit code of burdockctl.
    int publish();

    /// Waits until every started instance reports ready; returns false after 20 s.
    bool waitUntilReady();

    /// Runs the loop until the condition holds; returns false after 20 s.
    bool eventually(const std::function<bool()> &condition);

    /// Sends one request and waits for its response, at most 40 s.
    Result<HttpResponse> call(const Address &address,
                              const std::string &method,
                              const std::string &path,
                              const std::string &body,
                              const std::map<std::string, std::string> &headers = {});

    /// Sends one request; the loop calls `done` with the response.
    void send(const Address &address,
              const std::string &method,
              const std::string &path,
              const std::string &body,
              const std::map<std::string, std::string> &headers,
              HttpClient::Callback done);

    /// Sends a JSON query to an instance and waits for its answer.
    Result<HttpResponse> query(const std::string &instance, const std::string &caller, const std::string &index, int limit = 20);

    /// Sends a control request to the fakes and returns the body of the answer. Throws std::runtime_error if it fails.
    nlohmann::json control(const std::string &method, const std::string &path, const nlohmann::json &body = nlohmann::json::object());

    /// Adds an instance to the instance list, or updates whether it is leaving there.
    void listInstance(const std::string &id, bool leaving);

    /// Removes an instance from the instance list.
    void unlistInstance(const std::string &id);

    ChildProcess &process(const std::string &id);
    const Address &callersAddress(const std::string &id) const;
    /// Where the instance listens for links of other instances.
    const Address &peersAddress(const std::string &id) const;
    nlohmann::json status(const std::string &id);

    const Address &store() const;
    const Address &instanceList() const;
    std::string declarations() const;
    EventLoop &loop();

private:
    /// Remembers how the instance ended, if it ended by itself.
    void noteEnd(const std::string &id);

    struct Instance
    {
        std::unique_ptr<ChildProcess> process;
        std::string region;
        std::string callers;
        std::string peers;
        Address callersAddress;
        Address peersAddress;
    };

    EventLoop loop_;
    std::unique_ptr<HttpClient> client_;
    std::string deployment_;
    std::unique_ptr<ChildProcess> fakes_;
    Address store_;
    Address instanceList_;
    Address control_;
    std::map<std::string, Instance> instances_;
    std::vector<std::string> faultyEnds_;
};

} // namespace Burdock
