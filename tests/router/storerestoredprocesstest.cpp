#include "routertestbed.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace Burdock;
using nlohmann::json;

namespace
{

/// A configuration with the route `/vN/` that its version adds.
json versionedConfig(std::int64_t version)
{
    json config = RouterTestbed::config(version, {});
    json added = config["routes"][0];
    added["name"] = "r-version";
    added["prefix"] = "/v" + std::to_string(version) + "/";
    config["routes"].push_back(added);
    return config;
}

/// Three instances in one region, so that each watches the store, and two servers.
struct RestoredStore
{
    RestoredStore()
    {
        bed.addServer("one-a", "one");
        bed.addServer("one-b", "one");
        publish(1);
        for (const std::string &instance : instances) {
            bed.startInstance(instance);
        }
        for (const std::string &instance : instances) {
            REQUIRE(bed.waitUntilReady(instance));
            REQUIRE(serves(instance, 1));
        }
    }

    void publish(std::int64_t version)
    {
        bed.control("POST", "/fake/config", versionedConfig(version));
    }

    bool serves(const std::string &instance, std::int64_t version)
    {
        return bed.eventually(
            [&] {
                const auto answer = bed.sendRequest(instance, "/v" + std::to_string(version) + "/x", "t" + std::to_string(++requests));
                return answer && answer->status == 200;
            },
            std::chrono::seconds(4));
    }

    RouterTestbed bed;
    const std::vector<std::string> instances{"i1", "i2", "i3"};
    int requests = 0;
};

} // namespace

TEST_CASE("A configuration that is confirmed after the store was restored from a copy is in force on all instances", "[router][restored]")
{
    RestoredStore world;
    world.bed.control("POST", "/fake/store/copy");
    world.publish(4);
    for (const std::string &instance : world.instances) {
        REQUIRE(world.serves(instance, 4));
    }
    const auto setStoreOutage = [&world](const char *outage) {
        world.bed.control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", outage}}}});
    };
    setStoreOutage("refuse");
    world.bed.control("POST", "/fake/store/restore", {{"rewriteMs", 60000}});
    SECTION("it gets the revision of a version before, and further changes follow")
    {
        world.publish(6);
        for (const char *key : {"servers/x", "servers/y", "servers/z"}) {
            world.bed.control("POST", "/fake/entry", {{"key", key}, {"value", "no server"}});
        }
        setStoreOutage("none");
    }
    SECTION("the version that was confirmed before stays until it is written")
    {
        setStoreOutage("none");
        world.bed.eventually([] { return false; }, std::chrono::milliseconds(2500));
        for (const std::string &instance : world.instances) {
            INFO(instance);
            CHECK(world.serves(instance, 4));
        }
        world.publish(6);
    }
    for (const std::string &instance : world.instances) {
        INFO(instance);
        CHECK(world.serves(instance, 6));
    }
}

TEST_CASE("Records of instances return after the store was restored from a copy without them", "[router][restored]")
{
    RestoredStore world;
    const auto listed = [&world] {
        const auto answer =
            world.bed.call(world.bed.directory("i1"), "GET", "/burdocklanding/resolve?name=x&region=region-a&zone=zone-a", {}, {}, std::chrono::seconds(1));
        return answer && answer->status == 200 ? json::parse(answer->body).at("addrs").size() : 0;
    };
    REQUIRE(world.bed.eventually([&] { return listed() == 3; }));
    world.bed.process("i3").signal(SIGKILL);
    world.bed.process("i3").wait();
    REQUIRE(world.bed.eventually([&] { return listed() == 2; }, std::chrono::seconds(8)));
    world.bed.control("POST", "/fake/store/copy");
    world.bed.startInstance("i3");
    REQUIRE(world.bed.waitUntilReady("i3"));
    REQUIRE(world.bed.eventually([&] { return listed() == 3; }));
    world.bed.control("POST", "/fake/store/restore", {{"rewriteMs", 100}});
    // Longer than the time for which lapsed records are kept, and than a lease.
    world.bed.eventually([] { return false; }, std::chrono::seconds(5));
    CHECK(world.bed.eventually([&] { return listed() == 3; }, std::chrono::seconds(1)));
}

TEST_CASE("An instance that starts beside a restored store takes the configuration that the others have in force", "[router][restored]")
{
    RestoredStore world;
    world.bed.control("POST", "/fake/store/copy");
    world.publish(4);
    for (const std::string &instance : world.instances) {
        REQUIRE(world.serves(instance, 4));
    }
    world.bed.control("POST", "/fake/store/restore", {{"rewriteMs", 60000}});
    // The others need a moment to learn of the new history, in which they count as out of touch with the store.
    world.bed.eventually([] { return false; }, std::chrono::seconds(4));
    world.bed.process("i3").signal(SIGKILL);
    world.bed.process("i3").wait();
    world.bed.startInstance("i3");
    REQUIRE(world.bed.waitUntilReady("i3"));
    const auto answer = world.bed.sendRequest("i3", "/v4/x", "after");
    REQUIRE(answer);
    CHECK(answer->status == 200);
}
