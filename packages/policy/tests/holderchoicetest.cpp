#include <burdock/policy/holderchoice.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace Burdock;

namespace
{

Place placeOf(const std::string &region, const std::string &dataCentre)
{
    return {Region(region), DataCentre(dataCentre)};
}

std::vector<ListedInstance> instances(const Place &place, int count)
{
    std::vector<ListedInstance> all;
    for (int index = 0; index < count; ++index) {
        const std::string name = place.region.text() + "-" + place.dataCentre.text() + "-" + std::to_string(index);
        all.push_back({InstanceId(name), place, {"127.0.0.1", 1}, {"127.0.0.1", 2}, false});
    }
    return all;
}

void append(std::vector<ListedInstance> &to, const std::vector<ListedInstance> &more)
{
    to.insert(to.end(), more.begin(), more.end());
}

ListedServer serverAt(const Place &place, int number = 1)
{
    return {ServerId("server-" + std::to_string(number)), FleetName("parts"), place, {"127.0.0.1", 3}, false};
}

/// Returns the number of holders at each distance from the server.
std::vector<int> distances(const ListedServer &server, const std::vector<ListedInstance> &live)
{
    std::vector<int> counts(3);
    for (const InstanceId &holder : HolderChoice(live).holdersOf(server)) {
        const auto found = std::find_if(live.begin(), live.end(), [&](const auto &each) { return each.id == holder; });
        ++counts[static_cast<std::size_t>(distanceBetween(server.place, found->place))];
    }
    return counts;
}

} // namespace

TEST_CASE("The two nearest live instances hold a server", "[holders]")
{
    const Place home = placeOf("litoral", "l1");
    const Place neighbour = placeOf("litoral", "l2");
    const Place away = placeOf("norte", "l1");
    struct Case
    {
        int here;
        int near;
        int far;
        std::vector<int> expected;
    };
    const std::vector<Case> cases{
        {3, 3, 3, {2, 0, 0}},
        {2, 3, 3, {2, 0, 0}},
        {1, 3, 3, {1, 1, 0}},
        {0, 3, 3, {0, 2, 0}},
        {0, 1, 3, {0, 1, 1}},
        {1, 0, 3, {1, 0, 1}},
        {0, 0, 3, {0, 0, 2}},
        {1, 0, 0, {1, 0, 0}},
        {0, 0, 0, {0, 0, 0}},
    };
    for (const Case &each : cases) {
        std::vector<ListedInstance> live = instances(home, each.here);
        append(live, instances(neighbour, each.near));
        append(live, instances(away, each.far));
        INFO(each.here << " here, " << each.near << " near, " << each.far << " far");
        CHECK(distances(serverAt(home), live) == each.expected);
    }
}

TEST_CASE("The nearest holder is the first holder", "[holders]")
{
    const Place home = placeOf("litoral", "l1");
    std::vector<ListedInstance> live = instances(placeOf("litoral", "l2"), 5);
    append(live, instances(home, 1));
    for (int number = 0; number < 20; ++number) {
        CHECK(HolderChoice(live).holdersOf(serverAt(home, number)).front() == live.back().id);
    }
}

TEST_CASE("Losing an instance moves only the servers that it held", "[holders]")
{
    const Place home = placeOf("litoral", "l1");
    const std::vector<ListedInstance> all = instances(home, 7);
    std::vector<ListedInstance> remaining = all;
    const InstanceId lost = remaining.back().id;
    remaining.pop_back();
    const HolderChoice before(all);
    const HolderChoice after(remaining);
    for (int number = 0; number < 300; ++number) {
        const ListedServer server = serverAt(home, number);
        const auto old = before.holdersOf(server);
        const auto now = after.holdersOf(server);
        if (!before.holds(lost, server)) {
            CHECK(now == old);
        } else {
            const InstanceId &kept = old[0] == lost ? old[1] : old[0];
            CHECK(now.front() == kept);
        }
    }
}

TEST_CASE("No instance is first holder of more than the bounded number of servers", "[holders]")
{
    const Place home = placeOf("litoral", "l1");
    const std::vector<ListedInstance> live = instances(home, 50);
    std::vector<ListedServer> servers;
    for (int number = 0; number < 300; ++number) {
        servers.push_back(serverAt(home, number));
    }
    const HolderChoice choice(live, servers);
    std::map<InstanceId, int> held;
    for (const ListedServer &server : servers) {
        const auto holders = choice.holdersOf(server);
        REQUIRE(holders.size() == 2);
        CHECK(holders[0] != holders[1]);
        CHECK(++held[holders[0]] <= 8);
    }

    SECTION("independent of the order of the lists")
    {
        std::vector<ListedInstance> turned(live.rbegin(), live.rend());
        std::vector<ListedServer> turnedServers(servers.rbegin(), servers.rend());
        const HolderChoice other(turned, turnedServers);
        for (const ListedServer &server : servers) {
            CHECK(other.holdersOf(server) == choice.holdersOf(server));
        }
    }
    SECTION("instances of the region hold servers of a data centre without instances")
    {
        const ListedServer lone = serverAt(placeOf("litoral", "l9"), 1);
        const HolderChoice other(live, {lone});
        CHECK(other.holdersOf(lone) == HolderChoice(live).holdersOf(lone));
        CHECK(other.holdersOf(lone).size() == 2);
    }
}
