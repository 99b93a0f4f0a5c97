#include "routertestbed.h"

#include <catch2/catch.hpp>

using namespace Burdock;
using nlohmann::json;

namespace
{

/// Two instances and a service with servers in two data centres.
struct TwoDataCentres
{
    TwoDataCentres()
    {
        bed.addBounds("evacuationMs = 5000\n");
        bed.addServer("one-a", "one", 0, 3, "a");
        bed.addServer("one-b", "one", 0, 3, "b");
        bed.control("POST", "/fake/config", RouterTestbed::config(1, {}));
        for (const std::string &instance : instances) {
            start(instance);
        }
    }

    void start(const std::string &instance)
    {
        bed.startInstance(instance);
        REQUIRE(bed.waitUntilReady(instance));
    }

    void empty(const std::string &letter)
    {
        bed.control("POST", "/fake/entry", {{"key", "op/evacuate/zone-" + letter}, {"value", ""}});
    }

    void takeBack(const std::string &letter)
    {
        bed.control("POST", "/fake/entry", {{"key", "op/evacuate/zone-" + letter}});
    }

    bool hasLogged(const std::string &event)
    {
        return bed.eventually([&] {
            bool all = true;
            for (const std::string &instance : instances) {
                all = all && bed.log(instance).find("\"event\":\"" + event + "\"") != std::string::npos;
            }
            return all;
        });
    }

    int arrivedIn(const std::string &letter)
    {
        return bed.control("GET", "/fake/servers").at("one-" + letter).at("arrived").get<int>();
    }

    int status(const std::string &instance)
    {
        const auto answer = bed.sendRequest(instance, "/one/x", "t" + std::to_string(++requests));
        return answer ? answer->status : 0;
    }

    RouterTestbed bed;
    const std::vector<std::string> instances{"i1", "i2"};
    int requests = 0;
};

} // namespace

TEST_CASE("A data centre that operators empty gets nothing from any instance, also from one that restarts, and is used again", "[router][emptied]")
{
    TwoDataCentres world;
    CHECK(world.status("i1") == 200);
    REQUIRE(world.arrivedIn("a") > 0);
    world.empty("a");
    REQUIRE(world.hasLogged("dataCentre.emptied"));
    world.start("i2");
    const int before = world.arrivedIn("a");
    for (int number = 0; number < 40; ++number) {
        CHECK(world.status(world.instances[static_cast<std::size_t>(number) % 2]) == 200);
    }
    CHECK(world.arrivedIn("a") == before);
    CHECK(world.arrivedIn("b") >= 40);
    SECTION("with all data centres emptied requests are refused at once")
    {
        world.empty("b");
        REQUIRE(world.bed.eventually([&world] { return world.status("i1") == 503 && world.status("i2") == 503; }));
        const int sum = world.arrivedIn("a") + world.arrivedIn("b");
        CHECK(world.status("i1") == 503);
        CHECK(world.arrivedIn("a") + world.arrivedIn("b") == sum);
    }
    world.takeBack("a");
    CHECK(world.bed.eventually([&world, before] { return world.status("i1") == 200 && world.status("i2") == 200 && world.arrivedIn("a") > before; }));
}
