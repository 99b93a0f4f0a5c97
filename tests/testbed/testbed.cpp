#include "testbed.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <stdexcept>

namespace Burdock
{

namespace
{

using nlohmann::json;

constexpr Duration ConditionTimeout = std::chrono::seconds(20);
constexpr Duration CallTimeout = std::chrono::seconds(40);
const ConnectionLimits ClientLimits{64, 16, std::size_t{8} * 1024 * 1024};

Address parseAddress(const json &text)
{
    const auto address = Address::parse(text.get<std::string>());
    if (!address) {
        throw std::runtime_error(address.error().message);
    }
    return *address;
}

/// Reads the first line of a program's output and parses the JSON after its first word.
json readStartupLine(ChildProcess &process)
{
    const std::string line = process.readLine();
    const auto space = line.find(' ');
    if (space == std::string::npos) {
        throw std::runtime_error("the program did not start: " + line);
    }
    return json::parse(line.substr(space + 1));
}

} // namespace

Testbed::Testbed(const std::string &deployment, const std::vector<std::string> &regions, const std::vector<std::string> &fakesFlags)
    : client_(makeHttpClient(loop_, ClientLimits))
    , deployment_(deployment)
{
    std::string list;
    for (const std::string &region : regions) {
        list += (list.empty() ? "" : ",") + region;
    }
    std::vector<std::string> arguments{"--declarations", declarations(), "--regions", list};
    arguments.insert(arguments.end(), fakesFlags.begin(), fakesFlags.end());
    fakes_ = std::make_unique<ChildProcess>(BURDOCK_FAKES, arguments);
    const json line = readStartupLine(*fakes_);
    store_ = parseAddress(line.at("store"));
    instanceList_ = parseAddress(line.at("instanceList"));
    control_ = parseAddress(line.at("control"));
}

Testbed::~Testbed()
{
    for (const auto &[id, instance] : instances_) {
        noteEnd(id);
    }
    for (const std::string &end : faultyEnds_) {
        std::cerr << "ended by itself: " << end << std::endl;
    }
    // A test that has failed already reports more than an abort.
    if (!faultyEnds_.empty() && std::uncaught_exceptions() == 0) {
        instances_.clear();
        fakes_.reset();
        std::abort();
    }
}

void Testbed::noteEnd(const std::string &id)
{
    const auto instance = instances_.find(id);
    const std::string end = instance == instances_.end() ? std::string() : instance->second.process->faultyEnd();
    if (!end.empty()) {
        faultyEnds_.push_back(id + " " + end);
    }
}

std::string Testbed::declarations() const
{
    return deployment_.find('/') == std::string::npos ? std::string(BURDOCK_EXAMPLES) + "/" + deployment_ : deployment_;
}

void Testbed::startInstance(const std::string &id, const std::string &region, bool listed)
{
    noteEnd(id);
    Instance instance;
    instance.region = region;
    instance.process = std::make_unique<ChildProcess>(BURDOCK_DAEMON,
                                                      std::vector<std::string>{"--instance-id",
                                                                               id,
                                                                               "--region",
                                                                               region,
                                                                               "--data-centre",
                                                                               region + "-1",
                                                                               "--callers-address",
                                                                               "127.0.0.1:0",
                                                                               "--peers-address",
                                                                               "127.0.0.1:0",
                                                                               "--store-address",
                                                                               store_.toString(),
                                                                               "--instance-list-address",
                                                                               instanceList_.toString(),
                                                                               "--leave-spread-ms",
                                                                               "1000",
                                                                               "--entries-max-age-ms",
                                                                               "1000",
                                                                               "--log-level",
                                                                               "error"});
    const json line = readStartupLine(*instance.process);
    instance.callers = line.at("callers").get<std::string>();
    instance.peers = line.at("peers").get<std::string>();
    instance.callersAddress = parseAddress(line.at("callers"));
    instance.peersAddress = parseAddress(line.at("peers"));
    instances_[id] = std::move(instance);
    if (listed) {
        listInstance(id, false);
    }
}

void Testbed::listInstance(const std::string &id, bool leaving)
{
    const Instance &instance = instances_.at(id);
    control("POST",
            "/fake/instances",
            {{"id", id},
             {"region", instance.region},
             {"dataCentre", instance.region + "-1"},
             {"callers", instance.callers},
             {"peers", instance.peers},
             {"leaving", leaving}});
}

void Testbed::unlistInstance(const std::string &id)
{
    control("POST", "/fake/instances", {{"id", id}, {"remove", true}});
}

int Testbed::publish()
{
    ChildProcess ctl(BURDOCK_CTL,
                     {"publish", "--store-address", store_.toString(), "--base", "current", "--who", "test", "--why", "process test", declarations()});
    ctl.readAll();
    return ctl.wait();
}

bool Testbed::eventually(const std::function<bool()> &condition)
{
    const TimePoint end = loop_.now() + ConditionTimeout;
    while (loop_.now() < end) {
        if (condition()) {
            return true;
        }
        loop_.runUntil([] { return false; }, std::chrono::milliseconds(20));
    }
    return condition();
}

bool Testbed::waitUntilReady()
{
    return eventually([this] {
        for (const auto &[id, instance] : instances_) {
            const auto answer = call(instance.callersAddress, "GET", "/readyz", "");
            if (!answer || answer->status != 200) {
                return false;
            }
        }
        return true;
    });
}

void Testbed::send(const Address &address,
                   const std::string &method,
                   const std::string &path,
                   const std::string &body,
                   const std::map<std::string, std::string> &headers,
                   HttpClient::Callback done)
{
    HttpRequest request;
    request.address = address;
    request.method = method;
    request.path = path;
    request.headers = headers;
    request.body = body;
    request.timeout = CallTimeout;
    client_->send(std::move(request), std::move(done));
}

Result<HttpResponse> Testbed::call(
    const Address &address, const std::string &method, const std::string &path, const std::string &body, const std::map<std::string, std::string> &headers)
{
    std::optional<Result<HttpResponse>> result;
    send(address, method, path, body, headers, [&result](Result<HttpResponse> got) { result = std::move(got); });
    loop_.runUntil([&result] { return result.has_value(); }, 2 * CallTimeout);
    return *result;
}

Result<HttpResponse> Testbed::query(const std::string &instance, const std::string &caller, const std::string &index, int limit)
{
    const json body{{"index", index}, {"query", "belt"}, {"limit", limit}};
    return call(callersAddress(instance), "POST", "/v1/query", body.dump(), {{"X-Caller", caller}});
}

json Testbed::control(const std::string &method, const std::string &path, const json &body)
{
    const auto answer = call(control_, method, path, method == "GET" ? std::string() : body.dump());
    if (!answer || answer->status != 200) {
        throw std::runtime_error("control call " + path + " failed: " + (answer ? answer->body.text() : answer.error().message));
    }
    return json::parse(answer->body);
}

ChildProcess &Testbed::process(const std::string &id)
{
    return *instances_.at(id).process;
}

const Address &Testbed::callersAddress(const std::string &id) const
{
    return instances_.at(id).callersAddress;
}

const Address &Testbed::peersAddress(const std::string &id) const
{
    return instances_.at(id).peersAddress;
}

json Testbed::status(const std::string &id)
{
    const auto answer = call(callersAddress(id), "GET", "/v1/status", "");
    return answer ? json::parse(answer->body) : json();
}

const Address &Testbed::store() const
{
    return store_;
}

const Address &Testbed::instanceList() const
{
    return instanceList_;
}

EventLoop &Testbed::loop()
{
    return loop_;
}

} // namespace Burdock
