#include "routertestbed.h"

#include <catch2/catch.hpp>
#include <chrono>

using namespace Burdock;
using nlohmann::json;

namespace
{

const std::vector<std::string> Instances{"i1", "i2", "i3"};

/// Three instances, and a workspace whose callers all come to one of them.
struct RatedDeployment
{
    RatedDeployment()
    {
        bed.addServer("one-a", "one", 100);
        bed.addServer("one-b", "one", 100);
        publish(20);
        for (const std::string &id : Instances) {
            bed.startInstance(id);
        }
        for (const std::string &id : Instances) {
            REQUIRE(bed.waitUntilReady(id));
        }
    }

    void publish(double rate)
    {
        json config = RouterTestbed::config(++version, {});
        config["tenants"] = {{{"name", "yard"}, {"apiKeys", {"yard-1"}}, {"ratePerS", rate}, {"burst", rate}}};
        bed.control("POST", "/fake/config", config);
    }

    /// Sends requests one after the other for a span, and counts those that are served; checks that the others get 429.
    int served(const std::string &instance, std::chrono::milliseconds span)
    {
        int count = 0;
        bed.eventually(
            [&] {
                const auto answer =
                    bed.call(bed.clients(instance),
                             "GET",
                             "/one/x",
                             {{"host", "shop.example"}, {"Attempt-Id", "t" + std::to_string(++requests)}, {"Timeout-Remaining", "3000"}, {"Key", "yard-1"}});
                REQUIRE(answer);
                CHECK((answer->status == 200 || (answer->status == 429 && answer->headers.count("retry-after") > 0)));
                count += answer->status == 200 ? 1 : 0;
                return false;
            },
            span);
        return count;
    }

    RouterTestbed bed;
    std::int64_t version = 0;
    int requests = 0;
};

} // namespace

TEST_CASE("Callers at one of three instances are held to the rate of their workspace, also to a lower one", "[router][rates]")
{
    RatedDeployment world;
    world.served("i2", std::chrono::seconds(5));
    const auto before = std::chrono::steady_clock::now();
    const int served = world.served("i2", std::chrono::seconds(5));
    const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - before).count();
    CHECK(served <= 20 * elapsed + 20);
    // All three take the same instance as the holder.
    for (const std::string &id : Instances) {
        CHECK(world.bed.log(id).find("rates.holder") != std::string::npos);
    }
    world.publish(1);
    for (const std::string &id : Instances) {
        REQUIRE(world.bed.eventually([&] { return world.bed.log(id).find("rates.changed") != std::string::npos; }));
    }
    world.served("i2", std::chrono::seconds(1));
    const auto lowered = std::chrono::steady_clock::now();
    const int fewer = world.served("i2", std::chrono::seconds(5));
    // The longest wait for a token is a second, so this does not depend on the speed of the machine.
    CHECK(fewer >= 1);
    CHECK(fewer <= std::chrono::duration<double>(std::chrono::steady_clock::now() - lowered).count() + 1);
}
