#include "routertestbed.h"

#include <burdock/fakes/fakeroutedserver.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>

using namespace Burdock;
using nlohmann::json;

namespace
{

const std::vector<std::string> Shards{"s1", "s2", "s3"};
constexpr int RecordsPerShard = 3;

/// Three shards of two servers each, an unsharded service of two servers, and the given number of instances.
struct Deployment
{
    explicit Deployment(int instances = 1)
    {
        for (const std::string &shard : Shards) {
            bed.addServer(shard + "-a", shard, RecordsPerShard);
            bed.addServer(shard + "-b", shard, RecordsPerShard);
        }
        bed.addServer("one-a", "one");
        bed.addServer("one-b", "one");
        bed.control("POST", "/fake/config", RouterTestbed::config(1, Shards));
        for (int number = 1; number <= instances; ++number) {
            bed.startInstance("i" + std::to_string(number));
        }
        for (int number = 1; number <= instances; ++number) {
            REQUIRE(bed.waitUntilReady("i" + std::to_string(number)));
        }
    }

    int status(const std::string &target, const std::string &attempt, const std::string &method = "GET")
    {
        const auto answer = bed.sendRequest("i1", target, attempt, method);
        return answer ? answer->status : 0;
    }

    std::uint32_t runCount(const std::string &attempt)
    {
        std::uint32_t sum = 0;
        const json ran = bed.control("GET", "/fake/ran");
        if (ran.contains(attempt)) {
            for (const auto &[service, times] : ran[attempt].items()) {
                sum += times.get<std::uint32_t>();
            }
        }
        return sum;
    }

    RouterTestbed bed;
};

/// Waits until the process has an event loop, as its epoll descriptor shows; returns false if it ends before or after some seconds.
bool waitUntilLoopExists(ChildProcess &process)
{
    constexpr auto Timeout = std::chrono::seconds(10);
    const auto isEpoll = [](const std::filesystem::directory_entry &descriptor) {
        std::error_code closed;
        return std::filesystem::read_symlink(descriptor.path(), closed).string().find("eventpoll") != std::string::npos;
    };
    const auto end = std::chrono::steady_clock::now() + Timeout;
    while (std::chrono::steady_clock::now() < end && process.isRunning()) {
        std::error_code ended;
        const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(process.pid()) + "/fd", ended);
        if (std::any_of(begin(descriptors), std::filesystem::directory_iterator(), isEpoll)) {
            return true;
        }
    }
    return false;
}

std::string greatestRecords(const std::string &target, std::size_t limit)
{
    std::vector<std::string> records;
    for (const std::string &shard : Shards) {
        for (const std::string &record : shardRecords(shard, target, RecordsPerShard)) {
            records.push_back(record);
        }
    }
    std::sort(records.rbegin(), records.rend());
    std::string body;
    for (std::size_t place = 0; place < limit; ++place) {
        body += records[place];
    }
    return body;
}

} // namespace

TEST_CASE("A request is sent to one server of its service and the response is returned unchanged", "[router]")
{
    Deployment deployment;
    const auto answer = deployment.bed.call(deployment.bed.clients("i1"),
                                            "POST",
                                            "/one/x?belt=7&size=a%20b",
                                            {{"host", "shop.example"}, {"Attempt-Id", "t1"}, {"Timeout-Remaining", "3000"}},
                                            "the body");
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body == "one POST /one/x?belt=7&size=a%20b the body");
    CHECK(answer->headers.at("attempt-id") == "t1");
    CHECK(answer->headers.at("response-stamp").find("one/") == 0);
    CHECK(deployment.runCount("t1") == 1);
    const json servers = deployment.bed.control("GET", "/fake/servers");
    for (const auto &[id, server] : servers.items()) {
        INFO(id);
        CHECK(server.at("complaints").empty());
    }
}

TEST_CASE("A request to all shards returns the greatest records of all shards", "[router]")
{
    Deployment deployment;
    const auto answer = deployment.bed.sendRequest("i1", "/all/x", "t1");
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body == greatestRecords("/all/x", 4));
    CHECK(answer->headers.count("missing-parts") == 0);
    CHECK(std::count(answer->headers.at("part-stamps").begin(), answer->headers.at("part-stamps").end(), ',') == 2);
    SECTION("the answer is complete if one server of a shard hangs")
    {
        deployment.bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", {"s1-a"}}, {"conduct", {{"paused", true}}}});
        for (int number = 0; number < 20; ++number) {
            const auto late = deployment.bed.sendRequest("i1", "/all/x", "p" + std::to_string(number));
            REQUIRE(late);
            CHECK(late->status == 200);
            CHECK(late->body == greatestRecords("/all/x", 4));
        }
    }
    SECTION("the answer states the number of missing shards if a shard has no servers")
    {
        deployment.bed.control("POST", "/fake/state", {{"id", "s1-a"}, {"state", "removed"}});
        deployment.bed.control("POST", "/fake/state", {{"id", "s1-b"}, {"state", "removed"}});
        REQUIRE(deployment.bed.eventually([&] {
            const auto partial = deployment.bed.sendRequest("i1", "/all/x", "partial");
            return partial && partial->headers.count("missing-parts") > 0 && partial->headers.at("missing-parts") == "1";
        }));
    }
}

TEST_CASE("Invalid requests are rejected and do not reach a server", "[router][bad]")
{
    Deployment deployment;
    SECTION("unknown route")
    {
        CHECK(deployment.status("/none/x", "t1") == 404);
    }
    SECTION("unknown host")
    {
        const auto answer = deployment.bed.call(deployment.bed.clients("i1"), "GET", "/one/x", {{"host", "other.example"}, {"Attempt-Id", "t1"}});
        REQUIRE(answer);
        CHECK(answer->status == 404);
    }
    SECTION("a body over the limit")
    {
        const auto answer =
            deployment.bed.call(deployment.bed.clients("i1"), "POST", "/one/x", {{"host", "shop.example"}, {"Attempt-Id", "t1"}}, std::string(300000, 'x'));
        if (answer) {
            CHECK(answer->status == 413);
        }
    }
    CHECK(deployment.runCount("t1") == 0);
}

TEST_CASE("A non-repeatable request is not sent again after its response is lost", "[router][once]")
{
    Deployment deployment;
    deployment.bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", {"one-a", "one-b"}}, {"transport", {{"delivery", "dropped"}}}});
    CHECK(deployment.status("/once/invoice", "t1", "POST") == 502);
    CHECK(deployment.runCount("t1") == 1);
    SECTION("it is sent to another server if the first one did not run it")
    {
        deployment.bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", {"one-a", "one-b"}}, {"transport", {{"delivery", "whole"}}}});
        deployment.bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", {"one-a"}}, {"conduct", {{"full", true}}}});
        for (int number = 0; number < 10; ++number) {
            const std::string attempt = "full" + std::to_string(number);
            CHECK(deployment.status("/once/invoice", attempt, "POST") == 200);
            CHECK(deployment.runCount(attempt) == 1);
        }
    }
    SECTION("a refusal has status 503 and Retry-After, and nothing was run")
    {
        deployment.bed.control(
            "POST", "/fake/faults", {{"target", "server"}, {"ids", {"one-a", "one-b"}}, {"transport", {{"delivery", "whole"}}}, {"conduct", {{"full", true}}}});
        const auto answer = deployment.bed.sendRequest("i1", "/once/invoice", "t2", "POST");
        REQUIRE(answer);
        CHECK(answer->status == 503);
        CHECK(std::stod(answer->headers.at("retry-after")) > 0);
        CHECK(deployment.runCount("t2") == 0);
    }
}

TEST_CASE("A stray response is never used for another request", "[router][stray]")
{
    Deployment deployment;
    SECTION("a stray response follows the proper one")
    {
        deployment.bed.control("POST", "/fake/faults", {{"target", "server"}, {"conduct", {{"strayAnswers", true}}}});
    }
    SECTION("a late response arrives in place of the next one")
    {
        deployment.bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", {"one-a"}}, {"conduct", {{"lateAnswers", true}}}});
    }
    for (int number = 0; number < 30; ++number) {
        const std::string attempt = "t" + std::to_string(number);
        const std::string target = "/one/" + std::to_string(number);
        const auto answer = deployment.bed.sendRequest("i1", target, attempt);
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(answer->body == "one GET " + target + " ");
        CHECK(answer->headers.at("attempt-id") == attempt);
    }
}

TEST_CASE("A server that is draining or removed gets no new requests", "[router][drain]")
{
    Deployment deployment;
    for (int number = 0; number < 10; ++number) {
        CHECK(deployment.status("/one/x", "before" + std::to_string(number)) == 200);
    }
    SECTION("its entry has the state draining")
    {
        deployment.bed.control("POST", "/fake/state", {{"id", "one-a"}, {"state", "draining"}});
    }
    SECTION("its entry is removed")
    {
        deployment.bed.control("POST", "/fake/state", {{"id", "one-a"}, {"state", "removed"}});
    }
    REQUIRE(deployment.bed.eventually([&] {
        return deployment.bed.log("i1").find("\"server\":\"one-a\",\"service\":\"one\"") != std::string::npos
            && deployment.bed.log("i1").rfind("\"usable\":0") != std::string::npos;
    }));
    const auto since = [&] { return deployment.bed.control("GET", "/fake/servers").at("one-a").at("arrivedSinceLeaving").get<int>(); };
    const int before = since();
    for (int number = 0; number < 20; ++number) {
        CHECK(deployment.status("/one/x", "after" + std::to_string(number)) == 200);
    }
    CHECK(since() == before);
}

TEST_CASE("A new configuration is applied, and an older version is ignored", "[router][config]")
{
    Deployment deployment;
    json config = RouterTestbed::config(5, Shards);
    config["routes"][0]["prefix"] = "/moved/";
    deployment.bed.control("POST", "/fake/config", config);
    REQUIRE(deployment.bed.eventually([&] { return deployment.status("/moved/x", "t1") == 200; }));
    CHECK(deployment.status("/one/x", "t2") == 404);
    deployment.bed.control("POST", "/fake/config", RouterTestbed::config(3, Shards));
    deployment.bed.eventually([] { return false; }, std::chrono::milliseconds(500));
    CHECK(deployment.status("/moved/x", "t3") == 200);
    SECTION("a new version is applied after the store has compacted its history")
    {
        deployment.bed.control("POST", "/fake/store/compact");
        config["version"] = 9;
        config["routes"][0]["prefix"] = "/again/";
        deployment.bed.control("POST", "/fake/config", config);
        REQUIRE(deployment.bed.eventually([&] { return deployment.status("/again/x", "t4") == 200; }));
    }
    SECTION("an invalid configuration is ignored")
    {
        deployment.bed.control("POST", "/fake/entry", {{"key", "op/config"}, {"value", "{\"version\":99"}});
        REQUIRE(deployment.bed.eventually([&] { return deployment.bed.log("i1").find("entry.skipped") != std::string::npos; }));
        CHECK(deployment.status("/moved/x", "t5") == 200);
    }
}

TEST_CASE("Invalid server entries are ignored and do not affect other servers", "[router][forged]")
{
    Deployment deployment;
    const std::vector<std::string> values{"",
                                          "\x01\xff",
                                          "[]",
                                          "{\"service\":\"one\"}",
                                          "{\"service\":7,\"address\":{},\"zone\":\"z\",\"slots\":\"x\",\"state\":\"ready\"}",
                                          R"({"service":"one","address":"nowhere","zone":"z","slots":1,"state":"ready"})"};
    for (std::size_t number = 0; number < values.size(); ++number) {
        // The control port accepts only JSON text, so bytes that are not valid text are sent as escape characters.
        const std::string value = number == 1 ? "\\x01\\xff" : values[number];
        deployment.bed.control("POST", "/fake/entry", {{"key", "servers/forged" + std::to_string(number)}, {"value", value}});
    }
    deployment.bed.eventually([&] { return deployment.bed.log("i1").find("servers/forged5") != std::string::npos; });
    for (int number = 0; number < 20; ++number) {
        CHECK(deployment.status("/one/x", "t" + std::to_string(number)) == 200);
    }
}

TEST_CASE("Instances go on following the servers beside an odd entry of another writer", "[router][forged]")
{
    Deployment deployment;
    const std::string entry =
        R"({"service":"one","address":"ADDRESS","zone":"zone-a","version":"v1","slots":SLOTS,"state":"ready","coldRemainingMs":0,"other":NESTED})";
    const auto odd = [&entry](const std::string &address, const std::string &slots, const std::string &nested) {
        std::string text = entry;
        text.replace(text.find("NESTED"), 6, nested);
        text.replace(text.find("SLOTS"), 5, slots);
        return text.replace(text.find("ADDRESS"), 7, address);
    };
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    const std::vector<std::string> values{
        odd("127.0.0.1:0", "4", "1"), odd("127.0.0.1:99999", "4", "1"), odd("127.0.0.1:8080", "1e300", "1"), odd("127.0.0.1:8080", "4", deep)};
    for (std::size_t number = 0; number < values.size(); ++number) {
        deployment.bed.control("POST", "/fake/entry", {{"key", "servers/odd" + std::to_string(number)}, {"value", values[number]}});
    }
    REQUIRE(deployment.bed.eventually([&] { return deployment.bed.log("i1").find("servers/odd3") != std::string::npos; }));
    for (int number = 0; number < 40; ++number) {
        CHECK(deployment.status("/one/x", "t" + std::to_string(number)) == 200);
    }
    deployment.bed.addServer("one-c", "one");
    CHECK(deployment.bed.eventually([&] { return deployment.bed.log("i1").find("\"server\":\"one-c\"") != std::string::npos; }));
    CHECK(deployment.bed.log("i1").rfind("\"event\":\"started\"") == deployment.bed.log("i1").find("\"event\":\"started\""));
}

TEST_CASE("Requests are served while the store is unreachable", "[router][store]")
{
    Deployment deployment(2);
    SECTION("the store refuses connections")
    {
        deployment.bed.control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", "refuse"}}}});
    }
    SECTION("the store hangs")
    {
        deployment.bed.control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", "hang"}}}});
    }
    for (int number = 0; number < 20; ++number) {
        CHECK(deployment.status("/all/x", "t" + std::to_string(number)) == 200);
        deployment.bed.eventually([] { return false; }, std::chrono::milliseconds(50));
    }
    CHECK(deployment.bed.isReady("i1"));
    deployment.bed.control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", "none"}}}});
    deployment.bed.control("POST", "/fake/config", RouterTestbed::config(8, {"s1", "s2"}));
    REQUIRE(deployment.bed.eventually([&] { return deployment.bed.log("i1").find("\"version\":8") != std::string::npos; }));
}

TEST_CASE("An instance without a configuration answers requests with status 503 and Retry-After", "[router][start]")
{
    RouterTestbed bed;
    bed.startInstance("i1");
    REQUIRE(bed.eventually([&] { return bed.sendRequest("i1", "/one/x", "t1").has_value(); }));
    const auto answer = bed.sendRequest("i1", "/one/x", "t2");
    REQUIRE(answer);
    CHECK(answer->status == 503);
    CHECK(answer->headers.count("retry-after") == 1);
    CHECK_FALSE(bed.isReady("i1"));
}

TEST_CASE("The directory lists the instances that clients should use", "[router][directory]")
{
    Deployment deployment(2);
    const auto addresses = [&](const std::string &instance) {
        const auto answer =
            deployment.bed.call(deployment.bed.directory(instance), "GET", "/burdocklanding/resolve?name=shop.example&region=region-a&zone=zone-a");
        return answer && answer->status == 200 ? json::parse(answer->body).at("addrs").get<std::vector<std::string>>() : std::vector<std::string>();
    };
    REQUIRE(deployment.bed.eventually([&] { return addresses("i1").size() == 2 && addresses("i2").size() == 2; }));
    SECTION("a killed instance is removed when its record lapses")
    {
        deployment.bed.process("i2").signal(SIGKILL);
        CHECK(deployment.bed.eventually([&] { return addresses("i1") == std::vector<std::string>{deployment.bed.clients("i1").toString()}; }));
    }
    SECTION("an instance that shuts down is removed at once, also from its own directory")
    {
        deployment.bed.process("i2").signal(SIGTERM);
        CHECK(deployment.bed.eventually([&] { return addresses("i2") == std::vector<std::string>{deployment.bed.clients("i1").toString()}; },
                                        std::chrono::seconds(2)));
        CHECK(deployment.bed.eventually([&] { return addresses("i1").size() == 1; }, std::chrono::seconds(2)));
    }
}

TEST_CASE("A signal to reload or to stop that comes while an instance starts is not lost and ends it by no default action", "[router][start]")
{
    Deployment deployment;
    const int signal = GENERATE(SIGHUP, SIGTERM);
    const int starts = signal == SIGHUP ? 20 : 4;
    for (int start = 0; start < starts; ++start) {
        const std::string id = "early" + std::to_string(start);
        deployment.bed.startInstance(id);
        ChildProcess &process = deployment.bed.process(id);
        REQUIRE(waitUntilLoopExists(process));
        process.signal(signal);
        if (signal == SIGTERM) {
            REQUIRE(process.wait() == 0);
            continue;
        }
        REQUIRE(deployment.bed.waitUntilReady(id));
        REQUIRE(process.isRunning());
        REQUIRE(deployment.bed.eventually([&] { return deployment.bed.log(id).find("settings.reloaded") != std::string::npos; }));
        process.signal(SIGKILL);
        process.wait();
    }
}

TEST_CASE("A graceful shutdown completes the requests in flight", "[router][stop]")
{
    Deployment deployment;
    deployment.bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", {"one-a", "one-b"}}, {"conduct", {{"slowFactor", 200.0}}}});
    HttpRequest request;
    request.address = deployment.bed.clients("i1");
    request.method = "GET";
    request.path = "/one/x";
    request.headers = {{"host", "shop.example"}, {"Attempt-Id", "t1"}, {"Timeout-Remaining", "3000"}};
    request.timeout = std::chrono::seconds(5);
    int status = 0;
    deployment.bed.client().send(std::move(request), [&status](const Result<HttpResponse> &answer) { status = answer ? answer->status : -1; });
    deployment.bed.eventually([] { return false; }, std::chrono::milliseconds(100));
    deployment.bed.process("i1").signal(SIGTERM);
    deployment.bed.eventually([&] { return !deployment.bed.isReady("i1"); }, std::chrono::seconds(1));
    CHECK_FALSE(deployment.bed.isReady("i1"));
    deployment.bed.eventually([&status] { return status != 0; });
    CHECK(status == 200);
    CHECK(deployment.bed.process("i1").wait() == 0);
    CHECK(deployment.bed.log("i1").find("\"event\":\"stopped\",\"unanswered\":0") != std::string::npos);
}

TEST_CASE("In a planned stop a request that cannot be finished gets an answer, and a late one is refused without being run", "[router][stop]")
{
    Deployment deployment;
    json config = RouterTestbed::config(2, Shards);
    for (json &route : config["routes"]) {
        route["timeoutMs"] = 20000;
    }
    deployment.bed.control("POST", "/fake/config", config);
    REQUIRE(deployment.bed.eventually([&] { return deployment.bed.log("i1").find("\"version\":2") != std::string::npos; }));
    deployment.bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", {"one-a", "one-b"}}, {"conduct", {{"slowFactor", 5000.0}}}});
    std::map<std::string, int> statuses;
    const auto send = [&](const std::string &attempt) {
        HttpRequest request;
        request.address = deployment.bed.clients("i1");
        request.method = "POST";
        request.path = "/once/x";
        request.headers = {{"host", "shop.example"}, {"Attempt-Id", attempt}, {"Timeout-Remaining", "15000"}};
        request.timeout = std::chrono::seconds(12);
        deployment.bed.client().send(std::move(request),
                                     [&statuses, attempt](const Result<HttpResponse> &answer) { statuses[attempt] = answer ? answer->status : -1; });
    };
    const auto pass = [&](Duration span) { deployment.bed.eventually([] { return false; }, span); };
    deployment.bed.process("i1").signal(SIGTERM);
    pass(std::chrono::milliseconds(300));
    send("early");
    pass(std::chrono::milliseconds(2500));
    // The instance reads these once its listeners are to be closed.
    deployment.bed.process("i1").signal(SIGSTOP);
    for (int number = 0; number < 5; ++number) {
        send("late" + std::to_string(number));
    }
    pass(std::chrono::milliseconds(500));
    deployment.bed.process("i1").signal(SIGCONT);
    CHECK(deployment.bed.process("i1").wait() == 0);
    REQUIRE(deployment.bed.eventually([&] { return statuses.size() == 6; }));
    CHECK(statuses["early"] == 502);
    for (int number = 0; number < 5; ++number) {
        const std::string attempt = "late" + std::to_string(number);
        INFO(attempt << ": " << statuses[attempt]);
        CHECK((statuses[attempt] == 503 || statuses[attempt] == -1));
        CHECK(deployment.runCount(attempt) == 0);
    }
    CHECK(deployment.bed.log("i1").find("\"event\":\"stopped\",\"unanswered\":0") != std::string::npos);
}

TEST_CASE("Metrics count requests by route and outcome", "[router][metrics]")
{
    Deployment deployment;
    CHECK(deployment.status("/one/x", "t1") == 200);
    CHECK(deployment.status("/none/x", "t2") == 404);
    const auto metrics = deployment.bed.call(deployment.bed.peers("i1"), "GET", "/metrics");
    REQUIRE(metrics);
    CHECK(metrics->body.text().find("burdock_request_seconds_count{route=\"r-one\",outcome=\"passed\"} 1") != std::string::npos);
    CHECK(metrics->body.text().find("burdock_config_version 1") != std::string::npos);
}
