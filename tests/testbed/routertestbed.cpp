#include "routertestbed.h"

#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <unistd.h>
#include <utility>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

constexpr Duration DefaultTimeout = std::chrono::seconds(5);
constexpr int ClientsPort = 8226;
constexpr int ReadinessPort = 8227;
constexpr int DirectoryPort = 8225;
constexpr int PeersPort = 7740;
constexpr ConnectionLimits Connections{64, 64, std::size_t{8} << 20};

Address parseAddress(const std::string &text)
{
    const auto address = Address::parse(text);
    if (!address) {
        throw std::runtime_error(address.error().message);
    }
    return *address;
}

std::filesystem::path makeTemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "burdock-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    return pattern;
}

} // namespace

RouterTestbed::RouterTestbed()
    : client_(makeHttpClient(loop_, Connections))
    , controlClient_(makeHttpClient(controlLoop_, Connections))
    , folder_(makeTemporaryFolder())
    , platform_(std::make_unique<ChildProcess>(BURDOCK_FAKE_PLATFORM, std::vector<std::string>{}))
{
    const std::string line = platform_->readLine();
    const std::string word = "ready ";
    if (line.compare(0, word.size(), word) != 0) {
        throw std::runtime_error("the fake platform did not start: " + line);
    }
    const Json addresses = Json::parse(line.substr(word.size()));
    store_ = parseAddress(addresses.at("store"));
    control_ = parseAddress(addresses.at("control"));
}

RouterTestbed::~RouterTestbed()
{
    const std::vector<std::string> ends = takeFaultyEnds();
    instances_.clear();
    platform_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
    for (const std::string &end : ends) {
        std::cerr << "ended by itself: " << end << std::endl;
    }
    // A test that has failed already reports more than an abort.
    if (!ends.empty() && std::uncaught_exceptions() == 0) {
        std::abort();
    }
}

void RouterTestbed::noteEnd(const std::string &id)
{
    const auto instance = instances_.find(id);
    const std::string end = instance == instances_.end() ? std::string() : instance->second->faultyEnd();
    if (!end.empty() && reportedEnds_.insert(id).second) {
        faultyEnds_.push_back(id + " " + end);
    }
}

std::vector<std::string> RouterTestbed::takeFaultyEnds()
{
    for (const auto &[id, instance] : instances_) {
        noteEnd(id);
    }
    return std::exchange(faultyEnds_, {});
}

Json RouterTestbed::control(const std::string &method, const std::string &path, const Json &body)
{
    HttpRequest request;
    request.address = control_;
    request.method = method;
    request.path = path;
    request.body = method == "GET" ? std::string() : body.dump();
    request.timeout = DefaultTimeout;
    const auto response = wait(controlLoop_, *controlClient_, std::move(request));
    if (!response || response->status != 200) {
        throw std::runtime_error("control call " + path + ": " + (response ? response->body.text() : response.error().message));
    }
    return Json::parse(response->body);
}

void RouterTestbed::addServer(const std::string &id, const std::string &service, int records, int workMs, const std::string &letter)
{
    control("POST", "/fake/server", {{"id", id}, {"service", service}, {"records", records}, {"workMs", workMs}, {"zone", "zone-" + letter}});
}

void RouterTestbed::addBounds(const std::string &lines)
{
    bounds_ += lines;
}

std::string RouterTestbed::host(const std::string &id) const
{
    // The process id selects a range within 127.0.0.0/8, so that test programs running in parallel do not share addresses.
    const int own = getpid();
    return "127." + std::to_string(1 + own % 250) + "." + std::to_string(own / 250 % 250) + "." + std::to_string(hosts_.at(id));
}

std::string RouterTestbed::writeSettings(const std::string &id, const std::string &letter, const std::string &storeAddress)
{
    const std::string ip = host(id);
    std::ostringstream text;
    text << "nodeName = \"" << id << "\"\nzone = \"zone-" << letter << "\"\nregion = \"region-" << letter << "\"\n"
         << "internalPortRange = [" << PeersPort << ", " << PeersPort + 5 << "]\n[zones]\n";
    for (const char *each : {"a", "b", "c"}) {
        text << "zone-" << each << " = \"region-" << each << "\"\n";
    }
    text << "[listenAddresses]\nfront = \"" << ip << ":" << ClientsPort << "\"\nready = \"" << ip << ":" << ReadinessPort << "\"\ndirectory = \"" << ip << ":"
         << DirectoryPort << "\"\n[limits]\ncpuShare = 0.5\ncpuCores = 1\nfileDescriptors = 1000\nmemoryMb = " << memoryMb_ << "\n"
         << "[bounds]\ngraceS = 6\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 52\n"
         << bounds_ << "[platform]\naddress = \"" << (storeAddress.empty() ? store_.toString() : storeAddress) << "\"\n";
    const std::filesystem::path path = folder_ / (id + ".toml");
    std::ofstream(path) << text.str();
    return path.string();
}

void RouterTestbed::setProgram(const std::string &id, const std::string &path)
{
    programs_[id] = path;
}

void RouterTestbed::startInstance(const std::string &id, const std::string &letter, const std::string &storeAddress)
{
    hosts_.try_emplace(id, static_cast<int>(hosts_.size()) + 1);
    noteEnd(id);
    reportedEnds_.erase(id);
    instances_.erase(id);
    const Address store = storeAddress.empty() ? store_ : parseAddress(storeAddress);
    // The sanitizers require that nothing is loaded before their own library, unless told otherwise.
    const char *const sanitizer = std::getenv("ASAN_OPTIONS");
    const std::vector<std::string> arguments{std::string("LD_PRELOAD=") + BURDOCK_SERVER_LINKS,
                                             "ASAN_OPTIONS=" + (sanitizer == nullptr ? std::string() : sanitizer + std::string(":"))
                                                 + "verify_asan_link_order=0",
                                             "BURDOCK_TESTBED_HOST=" + host(id),
                                             "BURDOCK_TESTBED_STORE_PORT=" + std::to_string(store.port),
                                             "BURDOCK_TESTBED_LINKS=" + linksFile(id).string(),
                                             programs_[id].empty() ? BURDOCK_ROUTER : programs_[id],
                                             "--settings",
                                             writeSettings(id, letter, storeAddress)};
    instances_[id] = std::make_unique<ChildProcess>("/usr/bin/env", arguments, (folder_ / (id + ".log")).string());
}

std::filesystem::path RouterTestbed::linksFile(const std::string &id) const
{
    return folder_ / (id + ".links");
}

void RouterTestbed::setLinks(const std::vector<std::string> &instances, const std::string &how, char state)
{
    std::vector<std::string> hosts;
    for (const std::string &id : instances) {
        std::ofstream(linksFile(id)) << state;
        hosts.push_back(host(id));
    }
    control("POST", "/fake/cut", {{"clients", hosts}, {"how", how}});
}

void RouterTestbed::cut(const std::vector<std::string> &instances, const std::string &how)
{
    const bool isRefused = how == "reset" || how == "refuseNew";
    setLinks(instances, how, isRefused ? 'r' : 's');
}

void RouterTestbed::heal(const std::vector<std::string> &instances)
{
    setLinks(instances, "none", 'o');
}

void RouterTestbed::heal()
{
    std::vector<std::string> all;
    for (const auto &[id, number] : hosts_) {
        all.push_back(id);
    }
    heal(all);
}

bool RouterTestbed::isReady(const std::string &id)
{
    const auto response = call(readiness(id), "GET", "/burdocklanding/readiness", {}, {}, std::chrono::milliseconds(500));
    return response && response->status == 200;
}

bool RouterTestbed::waitUntilReady(const std::string &id)
{
    return eventually([this, &id] { return isReady(id); });
}

Result<HttpResponse> RouterTestbed::call(const Address &address,
                                         const std::string &method,
                                         const std::string &target,
                                         const std::map<std::string, std::string> &headers,
                                         const std::string &body,
                                         Duration timeout)
{
    HttpRequest request;
    request.address = address;
    request.method = method;
    request.path = target;
    request.headers = headers;
    request.body = body;
    request.timeout = timeout;
    return wait(loop_, *client_, std::move(request));
}

Result<HttpResponse> RouterTestbed::wait(EventLoop &loop, HttpClient &client, HttpRequest request)
{
    const Duration timeout = request.timeout;
    Result<HttpResponse> result = notRun(Errc::DeadlineExceeded, "no answer");
    bool done = false;
    client.send(std::move(request), [&](Result<HttpResponse> response) {
        result = std::move(response);
        done = true;
    });
    loop.runUntil([&done] { return done; }, timeout + DefaultTimeout);
    return result;
}

Result<HttpResponse> RouterTestbed::sendRequest(const std::string &instance, const std::string &target, const std::string &attempt, const std::string &method)
{
    return call(clients(instance), method, target, {{"host", "shop.example"}, {"Attempt-Id", attempt}, {"Timeout-Remaining", "3000"}});
}

bool RouterTestbed::eventually(const std::function<bool()> &condition, Duration timeout)
{
    constexpr Duration Pause = std::chrono::milliseconds(20);
    const TimePoint end = loop_.now() + timeout;
    while (loop_.now() < end) {
        if (condition()) {
            return true;
        }
        loop_.runUntil([] { return false; }, Pause);
    }
    return condition();
}

ChildProcess &RouterTestbed::process(const std::string &id)
{
    return *instances_.at(id);
}

ChildProcess &RouterTestbed::platform()
{
    return *platform_;
}

Address RouterTestbed::clients(const std::string &id) const
{
    return Address{host(id), ClientsPort};
}

Address RouterTestbed::directory(const std::string &id) const
{
    return Address{host(id), DirectoryPort};
}

Address RouterTestbed::peers(const std::string &id) const
{
    return Address{host(id), PeersPort};
}

Address RouterTestbed::readiness(const std::string &id) const
{
    return Address{host(id), ReadinessPort};
}

std::string RouterTestbed::log(const std::string &id) const
{
    std::ifstream file(folder_ / (id + ".log"));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Json RouterTestbed::config(std::int64_t version, const std::vector<std::string> &shards)
{
    const Json common{{"host", "shop.example"}, {"timeoutMs", 2000}, {"targetLatencyMs", 400}, {"maxAttempts", 2}};
    const auto route = [&common](const char *name, const char *prefix, const char *kind) {
        Json made = common;
        made.update({{"name", name}, {"prefix", prefix}, {"kind", kind}, {"priority", 0}});
        return made;
    };
    Json one = route("r-one", "/one/", "safe");
    one["service"] = "one";
    Json once = route("r-once", "/once/", "unsafe");
    once["service"] = "one";
    Json all = route("r-all", "/all/", "safe");
    all.update({{"fanoutServices", shards}, {"resultLimit", 4}, {"minShardShare", 0.6}});
    Json services = Json::array({{{"name", "one"}, {"maxConnections", 40}, {"healthPath", "/health"}}});
    for (const std::string &shard : shards) {
        services.push_back({{"name", shard}, {"maxConnections", 40}, {"healthPath", "/health"}});
    }
    Json routes = Json::array({one, once});
    if (!shards.empty()) {
        routes.push_back(all);
    }
    return {{"version", version},
            {"routes", std::move(routes)},
            {"services", std::move(services)},
            {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
}

} // namespace Burdock
