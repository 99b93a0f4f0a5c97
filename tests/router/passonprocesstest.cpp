#include "routertestbed.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

using namespace Burdock;
using nlohmann::json;

namespace
{

const std::vector<std::string> Shards{"s1", "s2", "s3"};

/// Two instances of one region, of which `i1` can reach no server, and knows
/// it.
struct CutOffDeployment
{
    CutOffDeployment()
    {
        for (const std::string &shard : Shards) {
            bed.addServer(shard + "-a", shard, 3);
            bed.addServer(shard + "-b", shard, 3);
        }
        bed.addServer("one-a", "one");
        bed.addServer("one-b", "one");
        bed.control("POST", "/fake/config", RouterTestbed::config(1, Shards));
        for (const char *id : {"i1", "i2"}) {
            bed.startInstance(id);
        }
        for (const char *id : {"i1", "i2"}) {
            REQUIRE(bed.waitUntilReady(id));
        }
        // Instances that were just started do not know each other yet.
        REQUIRE(bed.eventually([this] { return known("i1") == 2 && known("i2") == 2; }));
        bed.cut({"i1"}, "hang");
        REQUIRE(bed.eventually([this] {
            bed.sendRequest("i1", "/all/x", "before");
            return bed.log("i1").find("servers.unreachable") != std::string::npos;
        }));
    }

    std::size_t known(const std::string &instance)
    {
        const auto answer = bed.call(bed.directory(instance), "GET", "/burdocklanding/resolve?name=shop.example&region=region-a&zone=zone-a");
        return answer && answer->status == 200 ? json::parse(answer->body).at("addrs").size() : 0;
    }

    /// Makes each request to the service `one` take about 1.5 s.
    void slowServers()
    {
        bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", {"one-a", "one-b"}}, {"conduct", {{"slowFactor", 500.0}}}});
    }

    /// Sends a request to the cut-off instance and returns while a server works on it.
    void startRequest(const std::string &target, const std::string &method)
    {
        HttpRequest request;
        request.address = bed.clients("i1");
        request.method = method;
        request.path = target;
        request.headers = {{"host", "shop.example"}, {"Attempt-Id", "slow"}, {"Timeout-Remaining", "5000"}};
        request.timeout = std::chrono::seconds(6);
        bed.client().send(std::move(request), [this](const Result<HttpResponse> &answer) { status = answer ? answer->status : -1; });
        bed.eventually([] { return false; }, std::chrono::milliseconds(400));
        REQUIRE(status == 0);
    }

    std::uint32_t runCount(const std::string &attempt)
    {
        std::uint32_t sum = 0;
        const json ran = bed.control("GET", "/fake/ran").value(attempt, json::object());
        for (const auto &[service, times] : ran.items()) {
            sum += times.get<std::uint32_t>();
        }
        return sum;
    }

    RouterTestbed bed;
    int status = 0;
};

} // namespace

TEST_CASE("A planned stop of an instance finishes the requests that others have passed on to it", "[router][passing]")
{
    CutOffDeployment deployment;
    deployment.slowServers();
    deployment.startRequest("/once/x", "POST");
    deployment.bed.process("i2").signal(SIGTERM);
    REQUIRE(deployment.bed.eventually([&deployment] { return deployment.status != 0; }));
    CHECK(deployment.status == 200);
    CHECK(deployment.runCount("slow") == 1);
    CHECK(deployment.bed.process("i2").wait() == 0);
    CHECK(deployment.bed.log("i2").find("\"event\":\"stopped\",\"unanswered\":0") != std::string::npos);
}

TEST_CASE("A request that is not repeatable runs once if the instance that it was passed on to is killed", "[router][passing][once]")
{
    CutOffDeployment deployment;
    deployment.slowServers();
    deployment.startRequest("/once/x", "POST");
    deployment.bed.process("i2").signal(SIGKILL);
    REQUIRE(deployment.bed.eventually([&deployment] { return deployment.status != 0; }, std::chrono::seconds(1)));
    CHECK(deployment.status == 502);
    CHECK(deployment.runCount("slow") <= 1);
}

TEST_CASE("The headers between instances reach neither clients nor servers, and a client that sets them is not believed", "[router][passing]")
{
    CutOffDeployment deployment;
    const std::string instance = GENERATE("i1", "i2");
    const auto answer = deployment.bed.call(deployment.bed.clients(instance),
                                            "GET",
                                            "/one/x",
                                            {{"host", "shop.example"},
                                             {"Attempt-Id", "forged"},
                                             {"Timeout-Remaining", "3000"},
                                             {"burdock-from", "i9"},
                                             {"burdock-config", "99"},
                                             {"burdock-attempts", "1"},
                                             {"burdock-client-age-us", "0"},
                                             {"burdock-unable", "1"}});
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body == "one GET /one/x ");
    for (const auto &[name, value] : answer->headers) {
        INFO(name << ": " << value);
        CHECK(name.rfind("burdock", 0) == std::string::npos);
    }
    CHECK(deployment.bed.log(instance).find("i9") == std::string::npos);
    const json servers = deployment.bed.control("GET", "/fake/servers");
    for (const auto &[id, server] : servers.items()) {
        INFO(id);
        CHECK(server.at("complaints").empty());
    }
}

TEST_CASE("A cut-off instance has no more than its connections to a peer, and changes of the store still reach it", "[router][passing]")
{
    CutOffDeployment deployment;
    deployment.slowServers();
    std::size_t answered = 0;
    for (int number = 0; number < 100; ++number) {
        HttpRequest request;
        request.address = deployment.bed.clients("i1");
        request.method = "GET";
        request.path = "/one/" + std::to_string(number);
        request.headers = {{"host", "shop.example"}, {"Attempt-Id", "many" + std::to_string(number)}, {"Timeout-Remaining", "3000"}};
        request.timeout = std::chrono::seconds(6);
        deployment.bed.client().send(std::move(request), [&answered](const Result<HttpResponse> &) { ++answered; });
    }
    deployment.bed.control("POST", "/fake/config", RouterTestbed::config(2, Shards));
    const auto isInForce = [&deployment](const std::string &instance) { return deployment.bed.log(instance).find("\"version\":2") != std::string::npos; };
    CHECK(deployment.bed.eventually([&] { return isInForce("i1") && isInForce("i2"); }, std::chrono::seconds(1)));
    CHECK(deployment.bed.eventually([&answered] { return answered == 100; }));
}
