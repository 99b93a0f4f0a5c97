#include "routertestbed.h"

#include <catch2/catch.hpp>

using namespace Burdock;
using nlohmann::json;

TEST_CASE("Three instances together keep the limit that a server names, and other copies serve the rest", "[router][limit]")
{
    RouterTestbed bed;
    bed.addServer("one-a", "one");
    bed.addServer("one-b", "one");
    bed.control("POST", "/fake/config", RouterTestbed::config(1, {}));
    const std::vector<std::string> instances{"i1", "i2", "i3"};
    for (const std::string &instance : instances) {
        bed.startInstance(instance);
    }
    for (const std::string &instance : instances) {
        REQUIRE(bed.waitUntilReady(instance));
    }
    constexpr double Limit = 3;
    bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", {"one-a"}}, {"conduct", {{"limit", Limit}}}});
    int requests = 0;
    int served = 0;
    const auto arrived = [&bed] { return bed.control("GET", "/fake/servers").at("one-a").at("arrived").get<int>(); };
    // Longer than the notice of five seconds and the window of four.
    bed.eventually(
        [&] {
            const auto answer = bed.sendRequest(instances[static_cast<std::size_t>(requests) % instances.size()], "/one/x", "t" + std::to_string(requests));
            ++requests;
            served += answer && answer->status == 200 ? 1 : 0;
            return false;
        },
        std::chrono::seconds(10));
    CHECK(served == requests);
    CHECK(arrived() > 0);
    CHECK(bed.control("GET", "/fake/servers").at("one-a").at("worstLimitExcess").get<double>() <= 0);
    SECTION("with all copies limited the rest is refused at once and has not run")
    {
        bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", {"one-a", "one-b"}}, {"conduct", {{"limit", Limit}}}});
        int refused = 0;
        for (int number = 0; number < 100; ++number) {
            const std::string attempt = "u" + std::to_string(number);
            const auto answer = bed.sendRequest("i1", "/one/x", attempt);
            REQUIRE(answer);
            if (answer->status == 503) {
                ++refused;
                CHECK(std::stod(answer->headers.at("retry-after")) > 0);
                CHECK_FALSE(bed.control("GET", "/fake/ran").contains(attempt));
            }
        }
        CHECK(refused > 50);
    }
}
