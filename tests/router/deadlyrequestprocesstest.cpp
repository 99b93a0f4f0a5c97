#include "routertestbed.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace Burdock;
using nlohmann::json;

namespace
{

const std::vector<std::string> Shards{"s1", "s2", "s3", "s4"};
const std::vector<std::string> Instances{"i1", "i2", "i3"};

/// Four shards of three servers, a service of five, and three instances.
struct Deployment
{
    Deployment()
    {
        for (const std::string &shard : Shards) {
            for (const char *copy : {"-a", "-b", "-c"}) {
                bed.addServer(shard + copy, shard, 3);
            }
        }
        for (const char *copy : {"a", "b", "c", "d", "e"}) {
            bed.addServer(std::string("one-") + copy, "one");
        }
        bed.control("POST", "/fake/config", RouterTestbed::config(1, Shards));
        for (const std::string &instance : Instances) {
            bed.startInstance(instance);
        }
        for (const std::string &instance : Instances) {
            REQUIRE(bed.waitUntilReady(instance));
            // Just after the start the instances do not know each other.
            REQUIRE(bed.eventually([&] { return known(instance) == Instances.size(); }));
        }
    }

    std::size_t known(const std::string &instance)
    {
        const auto answer = bed.call(bed.directory(instance), "GET", "/burdocklanding/resolve?name=shop.example&region=region-a&zone=zone-a");
        return answer && answer->status == 200 ? json::parse(answer->body).at("addrs").size() : 0;
    }

    int send(const std::string &instance, const std::string &target)
    {
        const auto answer = bed.sendRequest(instance, target, "t" + std::to_string(++attempts));
        return answer ? answer->status : 0;
    }

    int crashes(const std::string &target)
    {
        int sum = 0;
        for (const json &server : bed.control("GET", "/fake/servers")) {
            sum += server.at("crashes").value(target, 0);
        }
        return sum;
    }

    RouterTestbed bed;
    int attempts = 0;
};

} // namespace

TEST_CASE("A request that crashes servers is refused by all instances, also after a restart, and others are served", "[router][deadly]")
{
    Deployment deployment;
    // Of the first attempt one of each shard, of the next ones one each until they are known to all.
    const auto [target, allowed] = GENERATE(std::make_pair(std::string("/one/deadly"), 4), std::make_pair(std::string("/all/deadly"), 8));
    INFO(target);
    for (int round = 0; round < 5; ++round) {
        for (const std::string &instance : Instances) {
            deployment.send(instance, target);
            deployment.bed.eventually([] { return false; }, std::chrono::milliseconds(500));
        }
    }
    CHECK(deployment.crashes(target) <= allowed);
    const int before = deployment.crashes(target);
    deployment.bed.process("i1").signal(SIGKILL);
    deployment.bed.process("i1").wait();
    deployment.bed.startInstance("i1");
    REQUIRE(deployment.bed.waitUntilReady("i1"));
    for (const std::string &instance : Instances) {
        INFO(instance);
        CHECK(deployment.send(instance, target) == 503);
    }
    CHECK(deployment.crashes(target) == before);
    REQUIRE(deployment.bed.eventually([&] { return deployment.send("i2", "/all/back") == 200 && deployment.send("i2", "/one/back") == 200; }));
    for (int number = 0; number < 30; ++number) {
        for (const char *prefix : {"/one/", "/all/"}) {
            CHECK(deployment.send(Instances[static_cast<std::size_t>(number) % Instances.size()], prefix + std::to_string(number)) == 200);
        }
    }
}

TEST_CASE("A server's word in its answers decides what it gets, though the store lists it as ready", "[router][notices]")
{
    Deployment deployment;
    const json servers{{"target", "server"}, {"ids", {"one-a"}}};
    const auto arrived = [&] { return deployment.bed.control("GET", "/fake/servers").at("one-a").at("arrived").get<int>(); };
    const auto play = [&] {
        for (int number = 0; number < 120; ++number) {
            CHECK(deployment.send("i1", "/one/" + std::to_string(number)) == 200);
        }
    };
    json fault = servers;
    SECTION("it is leaving")
    {
        fault["conduct"] = {{"leaving", true}};
    }
    SECTION("it turns requests away, and wants none for ten seconds")
    {
        fault["conduct"] = {{"pause", 10}};
    }
    deployment.bed.control("POST", "/fake/faults", fault);
    REQUIRE(deployment.bed.eventually([&] {
        play();
        return arrived() > 0;
    }));
    const int told = arrived();
    play();
    CHECK(arrived() == told);
}
