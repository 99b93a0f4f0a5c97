#include <catch2/catch.hpp>

#include "contractfixture.h"

using namespace Burdock;
using Json = nlohmann::json;

namespace
{

ListedInstance instance(const std::string &id)
{
    return {InstanceId(id), Place{Region("litoral"), DataCentre("lit-1")}, Address{"127.0.0.1", 8080}, Address{"127.0.0.1", 8081}, false};
}

} // namespace

TEST_CASE("HttpInstanceList reports changes and recovers from faults", "[platform][instancelist]")
{
    ContractFixture fixture;
    fixture.fleet.instanceList().set(instance("i1"));
    std::vector<InstanceList> seen;
    const auto source = makeHttpInstanceList(fixture.loop, *fixture.client, fixture.addresses.instanceList);
    const auto until = [&](const auto &condition) { REQUIRE(fixture.loop.runUntil(condition, HangGuard)); };
    const auto follow = [&] { source->follow([&](const InstanceList &list) { seen.push_back(list); }); };

    SECTION("each newer version is reported once")
    {
        follow();
        until([&] { return seen.size() == 1; });
        CHECK(seen[0].instances == std::vector<ListedInstance>{instance("i1")});
        fixture.fleet.instanceList().set(instance("i2"));
        until([&] { return seen.size() == 2; });
        CHECK(seen[1].instances.size() == 2);
        CHECK(seen[0].version < seen[1].version);
    }
    SECTION("a failed poll is retried until it succeeds")
    {
        const Json fault = GENERATE(Json{{"outage", "refuse"}},
                                    Json{{"error", 500}, {"times", 2}},
                                    Json{{"delivery", "truncated"}, {"times", 2}},
                                    Json{{"delivery", "dropped"}, {"times", 1}});
        fixture.listFaults(fault);
        follow();
        fixture.loop.runUntil([&] { return !seen.empty(); }, std::chrono::milliseconds(50));
        CHECK(seen.empty());
        fixture.listFaults(Json::object());
        until([&] { return !seen.empty(); });
        fixture.fleet.instanceList().set(instance("i2"));
        until([&] { return seen.back().instances.size() == 2; });
    }
    SECTION("a lagging list is reported after its delay")
    {
        fixture.fleet.instanceList().setLag(std::chrono::milliseconds(100));
        fixture.fleet.instanceList().set(instance("i2"));
        follow();
        until([&] { return !seen.empty(); });
        CHECK(seen.back().instances.size() == 1);
        until([&] { return seen.back().instances.size() == 2; });
    }
    SECTION("nothing is reported after stop")
    {
        follow();
        until([&] { return seen.size() == 1; });
        source->stop();
        fixture.fleet.instanceList().set(instance("i2"));
        fixture.loop.runUntil([] { return false; }, std::chrono::milliseconds(50));
        CHECK(seen.size() == 1);
    }
}
