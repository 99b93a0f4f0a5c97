#include "querystream.h"

using namespace Burdock;
using nlohmann::json;

namespace
{

/// Returns how many new requests reached a server since it began to leave, as counted by the server.
std::uint64_t arrivalsWhileLeaving(Testbed &testbed, const std::string &server)
{
    return testbed.control("GET", "/fake/servers").at(server).at("arrivedWhileDraining").get<std::uint64_t>();
}

/// Sends queries to every instance in turn for `span` and checks each answer.
void queryFor(Deployment &deployment, Duration span)
{
    Testbed &testbed = deployment.testbed;
    const TimePoint end = testbed.loop().now() + span;
    while (testbed.loop().now() < end) {
        for (const std::string instance : {"litoral-a", "capital-a", "norte-a"}) {
            const auto answer = testbed.query(instance, "parts-desk", "parts", 200);
            REQUIRE(answer);
            CHECK(answer->status == 200);
            const std::string violation = deployment.check.findViolation(json::parse(answer->body), 200);
            INFO(violation);
            CHECK(violation.empty());
        }
        testbed.loop().runUntil([] { return false; }, std::chrono::milliseconds(5));
    }
}

} // namespace

TEST_CASE("A leaving server gets no new requests after 3 s, whether its replies or the instance list report it", "[process][leaving]")
{
    const std::string leaving = "parts-3-1";
    Deployment deployment;
    Testbed &testbed = deployment.testbed;
    queryFor(deployment, std::chrono::seconds(1));
    SECTION("only its replies report it, and its health endpoint reports good")
    {
        testbed.control("POST",
                        "/fake/faults",
                        {{"target", "server"},
                         {"ids", json::array({leaving})},
                         {"conduct", {{"draining", true}, {"drainTold", true}, {"health", "good"}, {"load", "good"}}}});
    }
    SECTION("only the instance list reports it")
    {
        testbed.control("POST",
                        "/fake/faults",
                        {{"target", "server"},
                         {"ids", json::array({leaving})},
                         {"conduct", {{"draining", true}, {"drainTold", false}, {"health", "good"}, {"load", "good"}}}});
        testbed.control("POST", "/fake/listing", {{"ids", json::array({leaving})}, {"listed", true}, {"leaving", true}});
    }
    queryFor(deployment, std::chrono::seconds(3));
    const std::uint64_t before = arrivalsWhileLeaving(testbed, leaving);
    queryFor(deployment, std::chrono::seconds(3));
    CHECK(arrivalsWhileLeaving(testbed, leaving) == before);
}
