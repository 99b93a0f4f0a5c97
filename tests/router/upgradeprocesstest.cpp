#include "callers.h"
#include "routertestbed.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>

using namespace Burdock;
using nlohmann::json;

namespace
{

/// Names a burdock-router of an earlier build. Without it, instances are replaced by others of the same build.
constexpr const char *EarlierVariable = "BURDOCK_EARLIER_ROUTER";

const std::vector<std::string> Shards{"s1", "s2", "s3"};

std::string earlierProgram()
{
    const char *path = std::getenv(EarlierVariable);
    return path == nullptr ? std::string() : path;
}

} // namespace

TEST_CASE("While instances are replaced one by one by those of another build, requests are answered and configurations get in force", "[router][builds]")
{
    const bool forward = GENERATE(true, false);
    const std::string before = forward ? earlierProgram() : std::string();
    const std::string after = forward ? std::string() : earlierProgram();
    const std::vector<std::string> instances{"i1", "i2", "i3"};
    RouterTestbed bed;
    for (const std::string &shard : Shards) {
        bed.addServer(shard + "-a", shard, 3);
        bed.addServer(shard + "-b", shard, 3);
    }
    bed.addServer("one-a", "one");
    bed.addServer("one-b", "one");
    std::int64_t version = 1;
    const auto publish = [&] {
        json config = RouterTestbed::config(++version, Shards);
        json added = config["routes"][0];
        added["name"] = "r-version";
        added["prefix"] = "/v" + std::to_string(version) + "/";
        config["routes"].push_back(added);
        bed.control("POST", "/fake/config", config);
    };
    const auto isInForce = [&](const std::string &instance) {
        const auto answer = bed.sendRequest(instance, "/v" + std::to_string(version) + "/x", "version-" + instance);
        return answer && answer->status == 200;
    };
    publish();
    for (const std::string &instance : instances) {
        bed.setProgram(instance, before);
        bed.startInstance(instance);
    }
    for (const std::string &instance : instances) {
        REQUIRE(bed.waitUntilReady(instance));
    }
    Callers kept(bed, "i3", "kept", 8, {"/one/", "/all/", "/once/"});
    kept.start();
    for (const std::string instance : {"i1", "i2"}) {
        // One ends as planned, one is killed.
        bed.process(instance).signal(instance == "i1" ? SIGTERM : SIGKILL);
        REQUIRE(bed.eventually([&] { return !bed.process(instance).isRunning(); }));
        bed.setProgram(instance, after);
        bed.startInstance(instance);
        REQUIRE(bed.waitUntilReady(instance));
        publish();
        for (const std::string &each : instances) {
            INFO(each << " after " << instance << " was replaced");
            CHECK(bed.eventually([&] { return isInForce(each); }, std::chrono::seconds(3)));
        }
    }
    kept.finish();
    INFO(kept.summary());
    CHECK(kept.lost().empty());
    CHECK(kept.late() == 0);
    CHECK(kept.answered() > 0);
    // A store that hangs while the builds differ ends nothing.
    bed.control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", "hang"}}}});
    bed.eventually([] { return false; }, std::chrono::seconds(2));
    for (const std::string &instance : instances) {
        CHECK(isInForce(instance));
    }
    bed.control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", "none"}}}});
    publish();
    for (const std::string &instance : instances) {
        CHECK(bed.eventually([&] { return isInForce(instance); }));
    }
}
