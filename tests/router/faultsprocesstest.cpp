#include "callers.h"
#include "routertestbed.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <iterator>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Burdock;
using nlohmann::json;

namespace
{

const std::vector<std::string> Shards{"s1", "s2", "s3"};
const std::vector<std::string> Targets{"/one/", "/all/", "/once/"};
/// A broadcast address: a connect to it fails at once, as with a route that rejects or is missing.
constexpr const char *UnreachableHost = "255.255.255.255";

/// Three shards of two servers each, a service of two, and instances.
struct Deployment
{
    explicit Deployment(std::vector<std::string> instanceIds = {"i1"}, int workMs = 3)
        : instances(std::move(instanceIds))
    {
        for (const std::string &shard : Shards) {
            bed.addServer(shard + "-a", shard, 3, workMs);
            bed.addServer(shard + "-b", shard, 3, workMs);
        }
        bed.addServer("one-a", "one", 0, workMs);
        bed.addServer("one-b", "one", 0, workMs);
        bed.control("POST", "/fake/config", RouterTestbed::config(1, Shards));
    }

    void start()
    {
        for (const std::string &instance : instances) {
            bed.startInstance(instance);
        }
        for (const std::string &instance : instances) {
            REQUIRE(bed.waitUntilReady(instance));
        }
    }

    void pass(Duration span)
    {
        bed.loop().runUntil([] { return false; }, span);
    }

    /// Publishes an address to which a connect fails at once.
    void makeUnreachable(const std::vector<std::string> &servers)
    {
        for (const std::string &server : servers) {
            bed.control("POST", "/fake/advertise", {{"id", server}, {"address", std::string(UnreachableHost) + ":8008"}});
        }
    }

    /// Checks that no instance has ended by itself.
    void checkAllRun()
    {
        for (const std::string &instance : instances) {
            const bool runs = bed.process(instance).isRunning();
            INFO(instance << (runs ? " runs" : " ended with exit code " + std::to_string(bed.process(instance).wait())));
            CHECK(runs);
        }
    }

    /// Returns those of the requests that the instance has read: it logged them, or passed them on.
    std::vector<std::string> readOf(const std::string &instance, const std::vector<std::string> &requests)
    {
        const json ran = bed.control("GET", "/fake/ran");
        const std::string log = bed.log(instance);
        std::vector<std::string> read;
        std::copy_if(requests.begin(), requests.end(), std::back_inserter(read), [&](const std::string &id) {
            return ran.contains(id) || log.find("\"request\":\"" + id + "\"") != std::string::npos;
        });
        return read;
    }

    RouterTestbed bed;
    std::vector<std::string> instances;
};

/// Lowers the limit of descriptors of the processes that the test starts while it lives.
class DescriptorLimit
{
public:
    explicit DescriptorLimit(rlim_t limit)
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const rlimit lowered{limit, before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~DescriptorLimit()
    {
        setrlimit(RLIMIT_NOFILE, &before_);
    }
    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    rlimit before_{};
};

} // namespace

TEST_CASE("Connects to servers that fail at once end no instance and no request", "[router][faults]")
{
    const std::vector<std::string> unreachable =
        GENERATE(std::vector<std::string>{"one-b"}, std::vector<std::string>{"one-a", "one-b"}, std::vector<std::string>{"s1-a", "s2-b", "s3-a", "s3-b"});
    Deployment deployment({"i1", "i2"});
    deployment.start();
    Callers first(deployment.bed, "i1", "a", 12, Targets);
    Callers second(deployment.bed, "i2", "b", 4, Targets);
    first.start();
    second.start();
    deployment.pass(std::chrono::milliseconds(500));
    deployment.makeUnreachable(unreachable);
    deployment.pass(std::chrono::seconds(2));
    first.finish();
    second.finish();
    INFO(first.summary() << "; " << second.summary());
    deployment.checkAllRun();
    CHECK(first.lost().empty());
    CHECK(second.lost().empty());
    CHECK(first.late() + second.late() == 0);
    CHECK(first.answered() > 0);
}

#ifndef __SANITIZE_ADDRESS__
// The sanitizers open a pipe to look at an object, and report it as broken without a descriptor.
TEST_CASE("Clients that use up the descriptors end no instance, and each request that was read is answered", "[router][faults]")
{
    Deployment deployment;
    const rlim_t limit = GENERATE(30, 60);
    {
        const DescriptorLimit lowered(limit);
        deployment.start();
    }
    INFO("limit " << limit);
    Callers callers(deployment.bed, "i1", "a", 100, Targets);
    Callers others(deployment.bed, "i1", "b", 100, {"/one/"});
    callers.start();
    deployment.pass(std::chrono::seconds(1));
    others.start();
    deployment.pass(std::chrono::seconds(2));
    others.finish();
    callers.finish();
    INFO(callers.summary() << "; " << others.summary());
    deployment.checkAllRun();
    CHECK(callers.lost().empty());
    CHECK(others.lost().empty());
    CHECK(callers.answered() > 0);
    // Clients that come later are answered too, although the first keep their connections open.
    CHECK(others.answered() > 0);
    CHECK(deployment.bed.sendRequest("i1", "/one/after", "after").has_value());
    const auto metrics = deployment.bed.call(deployment.bed.peers("i1"), "GET", "/metrics");
    REQUIRE(metrics);
    CHECK(metrics->body.text().find("\nburdock_accepts_failed_total ") != std::string::npos);
    CHECK(metrics->body.text().find("\nburdock_accepts_failed_total 0\n") == std::string::npos);
}
#endif

#ifndef __SANITIZE_ADDRESS__
TEST_CASE("Idle connections of clients that use up the descriptors keep no other listener of the instance from its callers", "[router][faults]")
{
    constexpr std::size_t Limit = 60;
    Deployment deployment;
    {
        const DescriptorLimit lowered(Limit);
        deployment.start();
    }
    const std::filesystem::path descriptors = "/proc/" + std::to_string(deployment.bed.process("i1").pid()) + "/fd";
    const auto areUsedUp = [&descriptors] {
        return std::distance(std::filesystem::directory_iterator(descriptors), std::filesystem::directory_iterator()) >= static_cast<std::ptrdiff_t>(Limit);
    };
    // These connections never carry a request, and none waits to be accepted.
    std::vector<int> idle;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(deployment.bed.clients("i1").port);
    inet_pton(AF_INET, deployment.bed.clients("i1").host.c_str(), &address.sin_addr);
    while (!areUsedUp()) {
        REQUIRE(idle.size() < Limit);
        idle.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        REQUIRE(connect(idle.back(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
        deployment.pass(std::chrono::milliseconds(20));
    }
    deployment.pass(std::chrono::milliseconds(1500));
    const auto directory = deployment.bed.call(deployment.bed.directory("i1"), "GET", "/burdocklanding/resolve", {}, {}, std::chrono::seconds(2));
    CHECK((directory && directory->status == 200));
    CHECK(deployment.bed.isReady("i1"));
    CHECK(deployment.bed.call(deployment.bed.peers("i1"), "GET", "/metrics", {}, {}, std::chrono::seconds(2)).has_value());
    CHECK(deployment.bed.sendRequest("i1", "/one/x", "served").has_value());
    deployment.checkAllRun();
    std::for_each(idle.begin(), idle.end(), &::close);
}
#endif

TEST_CASE("A configuration that drops routes, services and all servers of one ends no request in progress", "[router][faults][drop]")
{
    // Slow enough for each change to meet requests that wait for a first answer, are hedged, or have some parts.
    constexpr int WorkMs = 60;
    Deployment deployment({"i1", "i2"}, WorkMs);
    deployment.start();
    // Each version has a route that the one before has not, so each change drops one.
    std::int64_t version = 1;
    const auto publish = [&](const std::vector<std::string> &shards, bool one) {
        json config = RouterTestbed::config(++version, shards);
        if (!one) {
            config["routes"].erase(config["routes"].begin(), config["routes"].begin() + 2);
            config["services"].erase(config["services"].begin());
        }
        for (json &service : config["services"]) {
            service["maxConnections"] = version % 2 == 0 ? 2 : 40;
        }
        deployment.bed.control("POST", "/fake/config", config);
    };
    const auto setState = [&](const std::vector<std::string> &servers, const std::string &state) {
        for (const std::string &server : servers) {
            deployment.bed.control("POST", "/fake/state", {{"id", server}, {"state", state}});
        }
    };
    Callers first(deployment.bed, "i1", "a", 30, Targets);
    Callers second(deployment.bed, "i2", "b", 10, Targets);
    first.start();
    second.start();
    for (int round = 0; round < 6; ++round) {
        publish({}, true);
        deployment.pass(std::chrono::milliseconds(130));
        publish({"s1", "s2"}, false);
        deployment.pass(std::chrono::milliseconds(170));
        setState({"s2-a", "s2-b"}, "removed");
        publish(Shards, true);
        deployment.pass(std::chrono::milliseconds(150));
        setState({"one-a", "one-b"}, "removed");
        deployment.makeUnreachable({"s1-a"});
        deployment.pass(std::chrono::milliseconds(110));
        setState({"s2-a", "s2-b", "one-a", "one-b"}, "ready");
        deployment.pass(std::chrono::milliseconds(210));
    }
    first.finish();
    second.finish();
    INFO(first.summary() << "; " << second.summary());
    deployment.checkAllRun();
    CHECK(first.lost().empty());
    CHECK(second.lost().empty());
    CHECK(first.late() + second.late() == 0);
    CHECK(first.statuses().count(200) == 1);
}

TEST_CASE("Servers that crash, stray or hang while a configuration drops their routes end no request without an answer", "[router][faults][drop]")
{
    Deployment deployment({"i1", "i2"}, 20);
    deployment.start();
    Callers first(deployment.bed, "i1", "a", 30, {"/one/", "/all/", "/once/", "/one/", "/all/", "/all/deadly"});
    Callers second(deployment.bed, "i2", "b", 10, Targets);
    first.start();
    second.start();
    std::int64_t version = 1;
    for (int round = 0; round < 5; ++round) {
        deployment.bed.control("POST", "/fake/config", RouterTestbed::config(++version, {}));
        deployment.bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", {"s1-a", "one-a"}}, {"conduct", {{"strayAnswers", true}}}});
        deployment.pass(std::chrono::milliseconds(200));
        deployment.bed.control("POST", "/fake/config", RouterTestbed::config(++version, Shards));
        deployment.bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", {"s2-a", "one-b"}}, {"transport", {{"outage", "hang"}}}});
        deployment.pass(std::chrono::milliseconds(300));
        deployment.bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", {"s2-a", "one-b"}}, {"transport", {{"outage", "refuse"}}}});
        deployment.pass(std::chrono::milliseconds(200));
        deployment.bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", {"s2-a", "one-b"}}, {"transport", {{"outage", "none"}}}});
        deployment.pass(std::chrono::milliseconds(200));
    }
    first.finish();
    second.finish();
    INFO(first.summary() << "; " << second.summary());
    deployment.checkAllRun();
    CHECK(first.lost().empty());
    CHECK(second.lost().empty());
    CHECK(first.late() + second.late() == 0);
}

TEST_CASE("A store and peers to which connects fail at once end no instance", "[router][faults][store]")
{
    Deployment deployment({"i1", "i2"});
    deployment.start();
    // A third instance never had a store; the others know a peer that does not exist.
    deployment.bed.startInstance("i3", "a", std::string(UnreachableHost) + ":2379");
    const json peer{{"id", "i9"},
                    {"address", std::string(UnreachableHost) + ":8226"},
                    {"peers", std::string(UnreachableHost) + ":7740"},
                    {"region", "region-a"},
                    {"dataCentre", "zone-a"},
                    {"ready", true},
                    {"cores", 1.0},
                    {"crowded", false}};
    deployment.bed.control("POST", "/fake/entry", {{"key", "burdock/instances/i9"}, {"value", peer.dump()}});
    deployment.instances.push_back("i3");
    Callers callers(deployment.bed, "i1", "a", 10, {"/one/", "/all/", "/all/deadly"});
    Callers unconfigured(deployment.bed, "i3", "b", 2, {"/one/"});
    callers.start();
    unconfigured.start();
    deployment.pass(std::chrono::seconds(2));
    deployment.bed.control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", "refuse"}}}});
    deployment.pass(std::chrono::seconds(2));
    deployment.bed.control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", "none"}}}});
    deployment.pass(std::chrono::seconds(2));
    callers.finish();
    unconfigured.finish();
    INFO(callers.summary() << "; " << unconfigured.summary());
    deployment.checkAllRun();
    CHECK(callers.lost().empty());
    CHECK(unconfigured.lost().empty());
    CHECK(callers.late() + unconfigured.late() == 0);
}

TEST_CASE("Changes of the configuration in undisturbed service end no instance and no request", "[router][faults][churn]")
{
    constexpr int WorkMs = 8;
    Deployment deployment({"i1", "i2", "i3", "i4"}, WorkMs);
    deployment.start();
    const auto publish = [&](std::int64_t version) {
        json config = RouterTestbed::config(version, Shards);
        // Every part of a configuration changes: routes come and go, limits of connections and of requests rise and fall.
        json extra = config["routes"][0];
        extra["name"] = "r-extra" + std::to_string(version);
        extra["prefix"] = version % 2 == 0 ? "/one/a" : "/extra/";
        extra["maxAttempts"] = 1 + version % 3;
        extra.erase("service");
        extra["trafficSplit"] = json::array({{{"service", "one"}, {"weight", 1 + version % 3}}, {{"service", "two"}, {"weight", 1}}});
        config["routes"].push_back(extra);
        if (version % 3 == 0) {
            config["routes"].erase(config["routes"].begin() + 1);
        }
        constexpr std::array<int, 4> Connections{40, 4, 12, 8};
        for (json &service : config["services"]) {
            service["maxConnections"] = Connections[static_cast<std::size_t>(version) % Connections.size()];
        }
        config["limits"]["idleTimeoutMs"] = version % 2 == 0 ? 1000 : 15000;
        config["limits"]["maxHeaderBytes"] = version % 2 == 0 ? 4096 : 16384;
        deployment.bed.control("POST", "/fake/config", config);
    };
    std::vector<std::unique_ptr<Callers>> callers;
    for (const std::string &instance : deployment.instances) {
        callers.push_back(
            std::make_unique<Callers>(deployment.bed, instance, instance + "-", 20, std::vector<std::string>{"/one/", "/all/", "/extra/", "/once/", "/none/"}));
        callers.back()->start();
    }
    constexpr int Versions = 40;
    for (int version = 2; version < Versions; ++version) {
        publish(version);
        deployment.pass(std::chrono::milliseconds(150 + version % 5 * 30));
        const std::string state = version % 4 < 2 ? "draining" : "ready";
        deployment.bed.control("POST", "/fake/state", {{"id", "s1-a"}, {"state", state}});
        if (version % 5 == 0) {
            deployment.bed.addServer("two-" + std::to_string(version), "two", 0, WorkMs);
        }
    }
    std::string summary;
    for (const auto &each : callers) {
        each->finish();
        summary += each->summary() + "; ";
    }
    INFO(summary);
    deployment.checkAllRun();
    for (const auto &each : callers) {
        CHECK(each->lost().empty());
        CHECK(each->late() == 0);
        CHECK(each->statuses().count(200) == 1);
    }
}

TEST_CASE("An instance that is late in a planned stop still answers the requests that it has read", "[router][faults][stop]")
{
    Deployment deployment;
    deployment.start();
    deployment.bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", {"one-a", "one-b"}}, {"conduct", {{"slowFactor", 5000.0}}}});
    json config = RouterTestbed::config(2, Shards);
    for (json &route : config["routes"]) {
        route["timeoutMs"] = 20000;
    }
    deployment.bed.control("POST", "/fake/config", config);
    REQUIRE(deployment.bed.eventually([&] { return deployment.bed.log("i1").find("\"version\":2") != std::string::npos; }));
    constexpr int Requests = 6;
    int answers = 0;
    int others = 0;
    for (int number = 0; number < Requests; ++number) {
        HttpRequest request;
        request.address = deployment.bed.clients("i1");
        request.method = "GET";
        request.path = "/once/x";
        request.headers = {{"host", "shop.example"}, {"Attempt-Id", "t" + std::to_string(number)}, {"Timeout-Remaining", "15000"}};
        request.timeout = std::chrono::seconds(12);
        deployment.bed.client().send(std::move(request), [&](const Result<HttpResponse> &answer) { ++(answer ? answers : others); });
    }
    deployment.pass(std::chrono::milliseconds(300));
    deployment.bed.process("i1").signal(SIGTERM);
    deployment.pass(std::chrono::milliseconds(100));
    // The process gets no processor time until its time is over.
    deployment.bed.process("i1").signal(SIGSTOP);
    deployment.pass(std::chrono::milliseconds(6200));
    deployment.bed.process("i1").signal(SIGCONT);
    deployment.bed.eventually([&] { return answers + others == Requests; });
    CHECK(answers == Requests);
    CHECK(deployment.bed.process("i1").wait() == 0);
}

TEST_CASE("Instances that live answer what they have read while others are killed or stopped and the store is away", "[router][faults][others]")
{
    Deployment deployment({"i1", "i2", "i3", "i4"});
    deployment.start();
    Callers first(deployment.bed, "i1", "a", 20, Targets);
    Callers second(deployment.bed, "i2", "b", 20, Targets);
    Callers third(deployment.bed, "i3", "c", 20, Targets);
    const auto setStore = [&](const char *outage) {
        deployment.bed.control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", outage}}}});
    };
    for (Callers *callers : {&first, &second, &third}) {
        callers->start();
    }
    deployment.pass(std::chrono::milliseconds(500));
    deployment.bed.process("i4").signal(SIGKILL);
    deployment.pass(std::chrono::seconds(1));
    setStore("hang");
    deployment.bed.startInstance("i4");
    // A planned stop under load.
    deployment.bed.process("i3").signal(SIGTERM);
    deployment.pass(std::chrono::seconds(3));
    setStore("none");
    deployment.bed.control("POST", "/fake/config", RouterTestbed::config(2, {}));
    deployment.bed.process("i4").signal(SIGKILL);
    deployment.pass(std::chrono::seconds(2));
    for (Callers *callers : {&first, &second, &third}) {
        callers->finish();
    }
    INFO(first.summary() << "; " << second.summary() << "; " << third.summary());
    deployment.instances = {"i1", "i2"};
    deployment.checkAllRun();
    CHECK(deployment.bed.process("i3").wait() == 0);
    CHECK(first.lost().empty());
    CHECK(second.lost().empty());
    // A request that crosses the close of a kept connection is not read.
    CHECK(deployment.readOf("i3", third.lost()).empty());
    CHECK(first.late() + second.late() + third.late() == 0);
}
