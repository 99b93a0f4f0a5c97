#include "querystream.h"

using namespace Burdock;
using nlohmann::json;

namespace
{

/// How many new requests reached a server since it began to leave, by the server's own count.
std::uint64_t arrivedWhileLeaving(Testbed &bed, const std::string &server)
{
    return bed.control("GET", "/fake/servers").at(server).at("arrivedWhileDraining").get<std::uint64_t>();
}

/// Asks for a while on every instance.
void askFor(Deployment &deployment, Duration span)
{
    Testbed &bed = deployment.bed;
    const TimePoint end = bed.loop().now() + span;
    while (bed.loop().now() < end) {
        for (const std::string instance : {"litoral-a", "capital-a", "norte-a"}) {
            const auto answer = bed.ask(instance, "parts-desk", "parts", 200);
            REQUIRE(answer);
            CHECK(answer->status == 200);
            const std::string lie = deployment.check.lieIn(json::parse(answer->body), 200);
            INFO(lie);
            CHECK(lie.empty());
        }
        bed.loop().runUntil([] { return false; }, std::chrono::milliseconds(5));
    }
}

} // namespace

TEST_CASE("A leaving server gets no new work after a few seconds, whichever signal tells", "[process][leaving]")
{
    const std::string leaving = "parts-3-1";
    Deployment deployment;
    Testbed &bed = deployment.bed;
    askFor(deployment, std::chrono::seconds(1));
    SECTION("only its own replies tell, while its health endpoint says that all is well")
    {
        bed.control("POST",
                    "/fake/faults",
                    {{"target", "server"},
                     {"ids", json::array({leaving})},
                     {"conduct", {{"draining", true}, {"drainTold", true}, {"health", "good"}, {"load", "good"}}}});
    }
    SECTION("only the instance list tells")
    {
        bed.control("POST",
                    "/fake/faults",
                    {{"target", "server"},
                     {"ids", json::array({leaving})},
                     {"conduct", {{"draining", true}, {"drainTold", false}, {"health", "good"}, {"load", "good"}}}});
        bed.control("POST", "/fake/listing", {{"ids", json::array({leaving})}, {"listed", true}, {"leaving", true}});
    }
    askFor(deployment, std::chrono::seconds(3));
    const std::uint64_t before = arrivedWhileLeaving(bed, leaving);
    askFor(deployment, std::chrono::seconds(3));
    CHECK(arrivedWhileLeaving(bed, leaving) == before);
}
