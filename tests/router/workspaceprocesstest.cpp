#include "routertestbed.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>

using namespace Burdock;
using nlohmann::json;

namespace
{

/// Names a burdock-router of an earlier build. Without it, both instances run the same build.
constexpr const char *EarlierVariable = "BURDOCK_EARLIER_ROUTER";

const std::vector<std::string> Shards{"s1", "s2", "s3"};

/// Two instances whose callers need keys: `yard-1` or `yard-2` of the workspace `yard`, `haul-1` of `haul`.
struct KeyedDeployment
{
    /// The programs of the two instances; empty for that which was built with the tests.
    explicit KeyedDeployment(const std::string &first = {}, const std::string &second = {})
    {
        bed.setProgram("i1", first);
        bed.setProgram("i2", second);
        for (const std::string &shard : Shards) {
            bed.addServer(shard + "-a", shard, 3);
            bed.addServer(shard + "-b", shard, 3);
        }
        bed.addServer("one-a", "one");
        bed.addServer("one-b", "one");
        publish({"yard-1", "yard-2"});
        for (const char *id : {"i1", "i2"}) {
            bed.startInstance(id);
        }
        for (const char *id : {"i1", "i2"}) {
            REQUIRE(bed.waitUntilReady(id));
        }
        // Instances that were just started do not know each other yet.
        REQUIRE(bed.eventually([this] { return known("i1") == 2 && known("i2") == 2; }));
    }

    std::size_t known(const std::string &instance)
    {
        const auto answer = bed.call(bed.directory(instance), "GET", "/burdocklanding/resolve?name=shop.example&region=region-a&zone=zone-a");
        return answer && answer->status == 200 ? json::parse(answer->body).at("addrs").size() : 0;
    }

    void publish(const std::vector<std::string> &yardKeys)
    {
        json config = RouterTestbed::config(++version, Shards);
        config["tenants"] = {{{"name", "yard"}, {"apiKeys", yardKeys}}, {{"name", "haul"}, {"apiKeys", {"haul-1"}}}};
        bed.control("POST", "/fake/config", config);
    }

    int send(const std::string &instance, const std::string &target, const std::string &attempt, const std::string &key)
    {
        std::map<std::string, std::string> headers{{"host", "shop.example"}, {"Attempt-Id", attempt}, {"Timeout-Remaining", "3000"}, {"Tenant", "forged"}};
        if (!key.empty()) {
            headers["Key"] = key;
        }
        const auto answer = bed.call(bed.clients(instance), "GET", target, headers);
        return answer ? answer->status : 0;
    }

    /// Whether requests with the key are refused from now on, within the time in which a configuration comes into force.
    bool isRefused(const std::string &instance, const std::string &key)
    {
        return bed.eventually([&] { return send(instance, "/one/x", "t" + std::to_string(++requests), key) == 401; }, std::chrono::seconds(5));
    }

    std::vector<std::string> workspacesOf(const std::string &attempt)
    {
        return bed.control("GET", "/fake/workspaces").value(attempt, json::array()).get<std::vector<std::string>>();
    }

    /// Checks that no server got a key, and that no instance logged one.
    void checkSecrets()
    {
        const json servers = bed.control("GET", "/fake/servers");
        for (const auto &[id, server] : servers.items()) {
            INFO(id);
            CHECK(server.at("complaints").empty());
        }
        for (const char *id : {"i1", "i2"}) {
            const std::string log = bed.log(id);
            for (const char *secret : {"yard-1", "yard-2", "haul-1", "unknown-key"}) {
                INFO(id << " " << secret);
                CHECK((log.find(secret) == std::string::npos));
            }
        }
    }

    RouterTestbed bed;
    std::int64_t version = 0;
    int requests = 0;
};

} // namespace

TEST_CASE("A key that is withdrawn ends on an open connection and stays withdrawn through a restart and an outage of the store", "[router][workspaces]")
{
    KeyedDeployment world;
    CHECK(world.send("i1", "/one/x", "first", "yard-1") == 200);
    CHECK(world.send("i1", "/all/x", "shards", "haul-1") == 200);
    CHECK(world.send("i1", "/one/x", "unknown", "unknown-key") == 401);
    CHECK(world.send("i1", "/one/x", "none", "") == 401);
    CHECK(world.workspacesOf("first") == std::vector<std::string>{"yard"});
    CHECK(world.workspacesOf("shards") == std::vector<std::string>{"haul"});
    CHECK(world.workspacesOf("unknown").empty());
    const std::uint32_t open = world.bed.client().openConnections(world.bed.clients("i1"));
    REQUIRE(open > 0);
    world.publish({"yard-2"});
    CHECK(world.isRefused("i1", "yard-1"));
    CHECK(world.isRefused("i2", "yard-1"));
    CHECK(world.bed.client().openConnections(world.bed.clients("i1")) == open);
    CHECK(world.send("i1", "/one/x", "kept", "yard-2") == 200);
    world.bed.process("i1").signal(SIGKILL);
    world.bed.process("i1").wait();
    world.bed.startInstance("i1");
    REQUIRE(world.bed.waitUntilReady("i1"));
    CHECK(world.send("i1", "/one/x", "restarted", "yard-1") == 401);
    world.bed.control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", "refuse"}}}});
    world.bed.eventually([] { return false; }, std::chrono::seconds(1));
    for (const char *id : {"i1", "i2"}) {
        CHECK(world.send(id, "/one/x", "away", "yard-1") == 401);
        CHECK(world.send(id, "/one/x", std::string("away-") + id, "yard-2") == 200);
    }
    world.checkSecrets();
}

TEST_CASE("A server gets the workspace of a request that another instance passed on, whichever build that one runs", "[router][workspaces][passing][builds]")
{
    const char *const path = std::getenv(EarlierVariable);
    const std::string earlier = path == nullptr ? std::string() : path;
    const bool isSenderEarlier = GENERATE(true, false);
    KeyedDeployment world(isSenderEarlier ? earlier : std::string(), isSenderEarlier ? std::string() : earlier);
    world.bed.cut({"i1"}, "hang");
    REQUIRE(world.bed.eventually([&world] {
        world.send("i1", "/all/x", "before", "yard-1");
        return world.bed.log("i1").find("servers.unreachable") != std::string::npos;
    }));
    CHECK(world.send("i1", "/one/x", "passed", "yard-1") == 200);
    CHECK(world.workspacesOf("passed") == std::vector<std::string>{"yard"});
    // The log is written with a delay.
    CHECK(world.bed.eventually([&world] { return world.bed.log("i2").find("\"from\":\"i1\"") != std::string::npos; }));
    CHECK(world.send("i1", "/one/x", "unknown", "unknown-key") == 401);
    world.checkSecrets();
}
