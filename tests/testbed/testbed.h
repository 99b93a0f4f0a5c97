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

/// One whole deployment as separate processes on loopback: the stand-ins and some instances.
class Testbed
{
public:
    /// The examples' folder of the deployment, such as `pereyra-hermanos`, and its regions.
    /// A deployment with a slash in its name is a folder of its own. `fakesFlags` go to the stand-ins.
    Testbed(const std::string &deployment, const std::vector<std::string> &regions, const std::vector<std::string> &fakesFlags = {});

    /// Starts an instance in a region and waits until it listens; it is listed unless `listed` is false.
    void startInstance(const std::string &id, const std::string &region, bool listed = true);

    /// Publishes the deployment's declarations; the exit code of burdockctl.
    int publish();

    /// Waits until each running instance says that it is ready; false when patience ends.
    bool waitUntilReady();

    /// Waits for a condition, running the loop; false when patience ends.
    bool eventually(const std::function<bool()> &condition);

    /// Sends one request and waits for its response.
    Result<HttpResponse> call(const Address &address,
                              const std::string &method,
                              const std::string &path,
                              const std::string &body,
                              const std::map<std::string, std::string> &headers = {});

    /// Sends one request; `done` is called while the loop runs.
    void send(const Address &address,
              const std::string &method,
              const std::string &path,
              const std::string &body,
              const std::map<std::string, std::string> &headers,
              HttpClient::Callback done);

    /// A query as JSON, asked of an instance.
    Result<HttpResponse> query(const std::string &instance, const std::string &caller, const std::string &index, int limit = 20);

    /// A control call to the stand-ins; the body of the answer.
    nlohmann::json control(const std::string &method, const std::string &path, const nlohmann::json &body = nlohmann::json::object());

    /// Tells the instance list that an instance is there, is leaving, or is gone.
    void listInstance(const std::string &id, bool leaving);
    void unlistInstance(const std::string &id);

    ChildProcess &process(const std::string &id);
    const Address &callersAddress(const std::string &id) const;
    nlohmann::json status(const std::string &id);

    const Address &store() const;
    const Address &instanceList() const;
    std::string declarations() const;
    EventLoop &loop();

private:
    struct Instance
    {
        std::unique_ptr<ChildProcess> process;
        std::string region;
        std::string callers;
        std::string peers;
        Address callersAddress;
    };

    EventLoop loop_;
    std::unique_ptr<HttpClient> client_;
    std::string deployment_;
    std::unique_ptr<ChildProcess> fakes_;
    Address store_;
    Address instanceList_;
    Address control_;
    std::map<std::string, Instance> instances_;
};

} // namespace Burdock
