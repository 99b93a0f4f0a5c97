#include <burdock/routing/changelog.h>
#include <burdock/routing/instancetable.h>
#include <burdock/routing/relaychoice.h>
#include <burdock/routing/repeatbudget.h>
#include <burdock/routing/routetable.h>
#include <burdock/routing/servertable.h>
#include <burdock/routing/weightedsplit.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

Route routeOf(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    return route;
}

ServerEntry serverOf(const std::string &id, std::uint16_t port, std::int64_t born = 1)
{
    return {ServerId(id), ServiceName("parts"), Address{"10.0.0.1", port}, DataCentre("a"), false, 4, Duration{0}, born};
}

InstanceRecord instanceOf(const std::string &id, const std::string &region, double cores = 1, bool ready = true)
{
    const auto port = static_cast<std::uint16_t>(9000 + id.back());
    return {InstanceId(id), Address{"10.0.0.1", port}, Address{"10.0.0.2", port}, Region(region), DataCentre(region), ready, cores, false};
}

} // namespace

TEST_CASE("The longest prefix of the host's routes wins", "[routes]")
{
    RoutingConfig config;
    config.routes = {routeOf("all", "shop.example", "/"),
                     routeOf("parts", "shop.example", "/parts/"),
                     routeOf("belts", "shop.example", "/parts/belts/"),
                     routeOf("other", "other.example", "/parts/belts/x/")};
    const RouteTable table(std::make_shared<const RoutingConfig>(config));
    CHECK(table.find("shop.example", "/parts/belts/7")->name == "belts");
    CHECK(table.find("shop.example", "/parts/7")->name == "parts");
    CHECK(table.find("shop.example", "/partsbin")->name == "all");
    CHECK(table.find("SHOP.example:8080", "/parts/7")->name == "parts");
    CHECK(table.find("other.example", "/parts/7") == nullptr);
    CHECK(table.find("nobody.example", "/") == nullptr);
}

TEST_CASE("Draining and removed servers get no more requests", "[servers]")
{
    std::vector<std::string> changes;
    ServerTable table([&changes](const ServerEntry &server, bool usable) { changes.push_back(server.id.text() + (usable ? "+" : "-")); });
    const ServiceName parts("parts");
    table.put(serverOf("p1", 1));
    table.put(serverOf("p2", 2));
    REQUIRE(table.servers(parts).size() == 2);
    SECTION("a server that reports draining")
    {
        ServerEntry draining = serverOf("p1", 1);
        draining.draining = true;
        table.put(draining);
        CHECK(table.servers(parts).size() == 1);
        CHECK_FALSE(table.usable(serverOf("p1", 1)));
        CHECK(changes.back() == "p1-");
        SECTION("also if its entry then lapses while the store is unreachable")
        {
            table.remove(ServerId("p2"), true);
            table.remove(ServerId("p1"), true);
            REQUIRE(table.servers(parts).size() == 1);
            CHECK(table.servers(parts).front()->id.text() == "p2");
        }
    }
    SECTION("a server whose entry is removed")
    {
        table.remove(ServerId("p1"), false);
        CHECK(table.servers(parts).size() == 1);
        table.remove(ServerId("p2"), false);
        CHECK(table.servers(parts).empty());
    }
    SECTION("entries that lapse while the store is unreachable are used as a fallback until they are dropped")
    {
        table.remove(ServerId("p1"), true);
        REQUIRE(table.servers(parts).size() == 1);
        CHECK(table.servers(parts).front()->id.text() == "p2");
        table.remove(ServerId("p2"), true);
        CHECK(table.servers(parts).size() == 2);
        CHECK(table.usable(serverOf("p1", 1)));
        table.dropLapsed();
        CHECK(table.servers(parts).empty());
    }
    SECTION("a new listing replaces all entries")
    {
        table.replace({serverOf("p2", 2), serverOf("p3", 3)}, false);
        CHECK(table.servers(parts).size() == 2);
        CHECK_FALSE(table.usable(serverOf("p1", 1)));
    }
    SECTION("the same id with another start time is a restarted server")
    {
        CHECK(table.usable(serverOf("p1", 1, 1)));
        table.put(serverOf("p1", 1, 2));
        CHECK_FALSE(table.usable(serverOf("p1", 1, 1)));
        CHECK(table.servers(parts).size() == 2);
    }
    SECTION("an unchanged heartbeat is not reported as a change")
    {
        const std::size_t before = changes.size();
        table.put(serverOf("p1", 1));
        CHECK(changes.size() == before);
    }
}

TEST_CASE("Repeats stay within the ratio and the slack in every window", "[budget]")
{
    const RepeatTerms terms{0.2, seconds(10), 40};
    RepeatBudget budget(terms, TimePoint{});
    const ServiceName parts("parts");
    TimePoint now{seconds(1000)};
    SECTION("instances share the slack")
    {
        budget.setInstances(4, now);
        int taken = 0;
        while (budget.tryAcquire(parts, now, 0)) {
            ++taken;
        }
        CHECK(taken > 0);
        CHECK(taken * 4 <= 40);
    }
    SECTION("each instance stays within the ratio of its own requests")
    {
        budget.setInstances(1000, now);
        std::deque<TimePoint> repeats;
        for (int request = 0; request < 5000; ++request) {
            now += milliseconds(5);
            budget.onFirstSend(parts, now);
            while (budget.tryAcquire(parts, now, 0)) {
                repeats.push_back(now);
            }
            while (!repeats.empty() && repeats.front() <= now - seconds(10)) {
                repeats.pop_front();
            }
            REQUIRE(static_cast<double>(repeats.size()) <= 0.2 * 2000 + 1);
        }
        CHECK(repeats.size() > 200);
    }
    SECTION("an instance that has just started has some repeats for its first requests")
    {
        RepeatBudget fresh(terms, now);
        fresh.setInstances(3, now);
        fresh.onFirstSend(parts, now);
        CHECK(fresh.tryAcquire(parts, now, 0));
    }
    SECTION("an instance that is killed repeatedly within a window stays within the limit over all restarts")
    {
        int requests = 0;
        int repeats = 0;
        for (int life = 0; life < 5; ++life) {
            RepeatBudget fresh(terms, now);
            for (int request = 0; request < 40; ++request) {
                now += milliseconds(50);
                ++requests;
                fresh.onFirstSend(parts, now);
                while (fresh.tryAcquire(parts, now, 0)) {
                    ++repeats;
                }
            }
        }
        CHECK(repeats > 0.1 * requests);
        CHECK(repeats <= 0.2 * requests + 40);
    }
    SECTION("a reserve is not used")
    {
        int hedges = 0;
        while (budget.tryAcquire(parts, now, 0.5)) {
            ++hedges;
        }
        CHECK(budget.tryAcquire(parts, now, 0));
    }
    SECTION("repeats of one service do not use the budget of another")
    {
        while (budget.tryAcquire(parts, now, 0)) { }
        CHECK(budget.tryAcquire(ServiceName("archive"), now, 0));
    }
}

TEST_CASE("A split distributes requests by weight, evenly over short periods", "[split]")
{
    WeightedSplit split;
    Route route;
    route.name = "r";
    route.services = {{ServiceName("old"), 3}, {ServiceName("new"), 1}};
    std::map<std::string, int> counts;
    for (int request = 0; request < 40; ++request) {
        ++counts[split.next(route).text()];
        CHECK(std::abs(counts["old"] - 0.75 * (request + 1)) <= 1);
    }
    route.services = {{ServiceName("old"), 1}, {ServiceName("new"), 1}};
    counts.clear();
    for (int request = 0; request < 10; ++request) {
        ++counts[split.next(route).text()];
    }
    CHECK(counts["new"] == 5);
    route.services = {{ServiceName("only"), 1}};
    CHECK(split.next(route).text() == "only");
}

TEST_CASE("Clients are directed to the ready instances of their region", "[instances]")
{
    InstanceTable table(3);
    const InstanceRecord self = instanceOf("a1", "home");
    table.put(self);
    table.put(instanceOf("a2", "home"));
    table.put(instanceOf("a3", "home", 1, false));
    table.put(instanceOf("b1", "away"));
    CHECK(table.addressesFor(Region("home"), self, 64).size() == 2);
    CHECK(table.addressesFor(Region("away"), self, 64) == std::vector<Address>{instanceOf("b1", "away").address});
    CHECK(table.addressesFor(Region("nowhere"), self, 64).size() == 3);
    CHECK(table.addressesFor(Region("home"), self, 1).size() == 1);
    CHECK(table.count(self) == 4);
    SECTION("this instance's own state overrides its record")
    {
        InstanceRecord leaving = self;
        leaving.ready = false;
        CHECK(table.addressesFor(Region("home"), leaving, 64) == std::vector<Address>{instanceOf("a2", "home").address});
    }
    SECTION("records that lapse while the store is unreachable are kept until they are dropped")
    {
        table.remove(InstanceId("a2"), true);
        CHECK(table.addressesFor(Region("home"), self, 64).size() == 2);
        table.dropLapsed();
        CHECK(table.addressesFor(Region("home"), self, 64).size() == 1);
    }
    SECTION("a lapsed record that reappears in time is kept")
    {
        table.remove(InstanceId("a2"), true);
        table.put(instanceOf("a2", "home"));
        table.dropLapsed();
        CHECK(table.addressesFor(Region("home"), self, 64).size() == 2);
    }
    SECTION("a new listing replaces all entries")
    {
        table.replace({self}, false);
        CHECK(table.count(self) == 1);
    }
}

TEST_CASE("Clients stay in their region however few instances are ready there, and however busy these are", "[instances][regions]")
{
    InstanceTable table(3);
    const InstanceRecord self = instanceOf("a1", "home", 4);
    for (const char *id : {"b1", "b2", "b3", "b4"}) {
        table.put(instanceOf(id, "away", 4));
    }
    const int ready = GENERATE(1, 2, 3);
    const int crowded = GENERATE(0, 1, 2, 3);
    for (int number = 1; number <= 4; ++number) {
        InstanceRecord record = instanceOf("c" + std::to_string(number), "away", number == 1 ? 0.5 : 4, number <= ready);
        record.region = Region("third");
        record.crowded = number <= crowded;
        table.put(record);
    }
    const std::vector<Address> directed = table.addressesFor(Region("third"), self, 64);
    CHECK_FALSE(directed.empty());
    for (const InstanceRecord *record : table.chosenIn(Region("third"), self)) {
        CHECK(record->region == Region("third"));
    }
    CHECK(directed.size() == table.chosenIn(Region("third"), self).size());
}

TEST_CASE("Clients are not directed to instances that are cut off while any other is ready", "[instances][cutoff]")
{
    InstanceTable table(7);
    const InstanceRecord self = instanceOf("a", "home");
    for (const char *id : {"b", "c", "d"}) {
        table.put(instanceOf(id, "home"));
    }
    table.put(instanceOf("e", "away"));
    const auto cutOff = [&table](const std::string &id, const std::string &region) {
        InstanceRecord record = instanceOf(id, region);
        record.cutOff = true;
        table.put(record);
    };
    const auto directed = [&table](const std::string &region, const InstanceRecord &own) {
        std::set<std::uint16_t> ports;
        for (const Address &address : table.addressesFor(Region(region), own, 64)) {
            ports.insert(address.port);
        }
        std::string ids;
        for (const std::uint16_t port : ports) {
            ids += static_cast<char>(port - 9000);
        }
        return ids;
    };
    const Senders chosen = table.chosen(self);
    const std::vector<InstanceId> senders = table.senderIds(self);
    cutOff("b", "home");
    CHECK(directed("home", self) == "acd");
    cutOff("c", "home");
    cutOff("d", "home");
    CHECK(directed("home", self) == "a");
    InstanceRecord own = self;
    own.cutOff = true;
    SECTION("nor when the whole region is cut off")
    {
        CHECK(directed("home", own) == "e");
        CHECK(directed("away", own) == "e");
    }
    SECTION("but if all are, the flag says nothing")
    {
        cutOff("e", "away");
        CHECK(directed("home", own) == "abcd");
        CHECK(directed("away", own) == "e");
    }
    CHECK(table.chosen(own) == chosen);
    CHECK(table.senderIds(own) == senders);
    CHECK(table.chosenIn(Region("home"), own).size() == 4);
}

TEST_CASE("Instances that are not cut off help those that are, in the order in which clients use them", "[instances][cutoff]")
{
    InstanceTable table(7);
    InstanceRecord self = instanceOf("a", "home");
    self.cutOff = true;
    for (const char *id : {"b", "c", "d"}) {
        table.put(instanceOf(id, "home", 4));
    }
    table.put(instanceOf("e", "home", 0.25));
    table.put(instanceOf("f", "away"));
    table.put(instanceOf("g", "away", 1, false));
    const auto groups = [&table, &self] {
        std::vector<std::string> found;
        for (const InstanceTable::Records &group : table.helpersFor(self)) {
            found.emplace_back();
            for (const InstanceRecord *record : group) {
                found.back() += record->id.text();
            }
        }
        return found;
    };
    CHECK(groups() == std::vector<std::string>{"bcd", "e", "f"});
    for (const char *id : {"b", "c", "d", "e"}) {
        InstanceRecord record = instanceOf(id, "home", 4);
        record.cutOff = true;
        table.put(record);
    }
    CHECK(groups() == std::vector<std::string>{"f"});
    table.remove(InstanceId("f"), false);
    CHECK(groups().empty());
}

TEST_CASE("Instances of builds that serve no requests of others are not asked to help", "[instances][cutoff][builds]")
{
    InstanceTable table(7);
    const InstanceRecord self = instanceOf("a", "home");
    for (const char *id : {"b", "c", "d"}) {
        InstanceRecord earlier = instanceOf(id, "home");
        earlier.takesRequests = false;
        table.put(earlier);
    }
    CHECK(table.helpersFor(self).empty());
    table.put(instanceOf("e", "away"));
    REQUIRE(table.helpersFor(self).size() == 1);
    CHECK(table.helpersFor(self).front().front()->id == InstanceId("e"));
}

TEST_CASE("Clients are directed to the large instances while several have spare capacity", "[instances][unlike]")
{
    InstanceTable table(3);
    const InstanceRecord self = instanceOf("a1", "home", 0.5);
    table.put(self);
    table.put(instanceOf("a2", "home", 0.5));
    table.put(instanceOf("a3", "home", 0.5));
    for (const char *id : {"a4", "a5", "a6"}) {
        table.put(instanceOf(id, "home", 0.12));
    }
    CHECK(table.chosenIn(Region("home"), self).size() == 3);
    CHECK(table.chosen(self).count == 3);
    const auto crowd = [&table](const char *id) {
        InstanceRecord crowded = instanceOf(id, "home", 0.5);
        crowded.crowded = true;
        table.put(crowded);
    };
    const auto chosen = [&table, &self](const char *id) {
        const auto all = table.chosenIn(Region("home"), self);
        return std::any_of(all.begin(), all.end(), [id](const InstanceRecord *record) { return record->id.text() == id; });
    };
    SECTION("instances that have just restarted count as senders before they are ready")
    {
        for (const char *id : {"a2", "a3"}) {
            InstanceRecord starting = instanceOf(id, "home", 0.5);
            starting.ready = false;
            table.put(starting);
        }
        for (const char *id : {"a4", "a5", "a6"}) {
            table.remove(InstanceId(id), false);
        }
        CHECK(table.chosen(self).count == 1);
        CHECK((table.senders(self) == Senders{3, true}));
        InstanceRecord starting = self;
        starting.ready = false;
        CHECK((table.senders(starting) == Senders{3, true}));
    }
    SECTION("a small instance is no sender while there are large ones")
    {
        CHECK((table.senders(instanceOf("a4", "home", 0.12)) == Senders{3, false}));
    }
    SECTION("if one of few is crowded, it is left out and the small ones are included")
    {
        crowd("a2");
        CHECK(table.chosenIn(Region("home"), self).size() == 5);
        CHECK_FALSE(chosen("a2"));
    }
    SECTION("if one of many is crowded, the other large ones are chosen")
    {
        table.put(instanceOf("a7", "home", 0.5));
        crowd("a2");
        CHECK(table.chosenIn(Region("home"), self).size() == 3);
        CHECK_FALSE(chosen("a2"));
        CHECK_FALSE(chosen("a4"));
    }
    SECTION("if most are crowded, clients are directed to all")
    {
        crowd("a2");
        crowd("a3");
        CHECK(table.chosenIn(Region("home"), self).size() == 6);
    }
    SECTION("if too few large ones remain, the small ones are included")
    {
        table.remove(InstanceId("a2"), false);
        CHECK(table.chosenIn(Region("home"), self).size() == 5);
    }
}

TEST_CASE("The change log keeps changes up to a bound", "[relay]")
{
    ChangeLog log;
    CHECK_FALSE(log.since(5));
    log.restart(10);
    CHECK_FALSE(log.since(9));
    REQUIRE(log.since(10));
    CHECK(log.since(10)->empty());
    log.append({"k", "v", 12, 0, false});
    log.append({"k", "", 15, 0, true});
    REQUIRE(log.since(10)->size() == 2);
    REQUIRE(log.since(12)->size() == 1);
    CHECK(log.since(12)->front().deleted);
    SECTION("beyond the bound the oldest are dropped, and earlier revisions are reported as unavailable")
    {
        for (std::int64_t revision = 20; revision < 10000; ++revision) {
            log.append({"k", "v", revision, 0, false});
        }
        CHECK_FALSE(log.since(15));
        CHECK(log.since(9990));
    }
    SECTION("large values are limited by their size")
    {
        for (std::int64_t revision = 20; revision < 40; ++revision) {
            log.append({"k", std::string(1 << 20, 'x'), revision, 0, false});
        }
        CHECK_FALSE(log.since(20));
        CHECK(log.since(38)->size() == 1);
    }
}

TEST_CASE("In a region of several instances all but one use the same relay", "[relay]")
{
    std::vector<InstanceRecord> region;
    for (const char *id : {"a1", "a2", "a3", "a4", "a5"}) {
        region.push_back(instanceOf(id, "home"));
    }
    const TimePoint now{seconds(100)};
    int direct = 0;
    std::map<std::uint16_t, int> requestsByPort;
    for (const InstanceRecord &record : region) {
        RelayChoice choice(record.id);
        choice.setInstances(region);
        const auto relay = choice.relay(now);
        direct += relay ? 0 : 1;
        if (relay) {
            CHECK(*relay != record.peers);
            ++requestsByPort[relay->port];
        }
    }
    CHECK(direct == 1);
    CHECK(requestsByPort.size() == 1);
    SECTION("a relay that fails is skipped for a while")
    {
        RelayChoice choice(InstanceId("outsider"));
        choice.setInstances(region);
        const auto first = choice.relay(now);
        choice.onFailed(*first, now);
        const auto second = choice.relay(now);
        REQUIRE(second);
        CHECK(*second != *first);
        choice.onFailed(*second, now);
        CHECK_FALSE(choice.relay(now));
        CHECK(choice.relay(now + seconds(6)) == first);
    }
    SECTION("in a region with few instances each watches the store itself")
    {
        region.resize(3);
        for (const InstanceRecord &record : region) {
            RelayChoice choice(record.id);
            choice.setInstances(region);
            CHECK_FALSE(choice.relay(now));
        }
    }
}

TEST_CASE("A listing of a restored store brings back no server that had left", "[servers][restored]")
{
    ServerTable table([](const ServerEntry &, bool) {});
    const ServiceName parts("parts");
    const auto edition = [](std::int64_t born, std::int64_t sequence, bool draining = false) {
        ServerEntry entry = serverOf("p1", 1, born);
        entry.sequence = sequence;
        entry.draining = draining;
        return entry;
    };
    table.put(edition(10, 4));
    SECTION("it was removed")
    {
        table.remove(ServerId("p1"), false);
        table.replace({edition(10, 4)}, true);
        CHECK(table.servers(parts).empty());
    }
    SECTION("it was missing when the time to return was over")
    {
        table.remove(ServerId("p1"), true);
        table.dropLapsed();
        table.replace({edition(10, 4)}, true);
        CHECK(table.servers(parts).empty());
    }
    SECTION("it is draining")
    {
        table.put(edition(10, 5, true));
        table.replace({edition(10, 4)}, true);
        CHECK(table.servers(parts).empty());
    }
    SECTION("the listed entry is of an earlier life")
    {
        table.put(edition(20, 1, true));
        table.replace({edition(10, 9)}, true);
        CHECK(table.servers(parts).empty());
    }
    SECTION("but it is used once it writes again, in a listing or as a change")
    {
        table.remove(ServerId("p1"), false);
        const bool listed = GENERATE(true, false);
        if (listed) {
            table.replace({edition(10, 5)}, true);
        } else {
            table.put(edition(10, 4));
        }
        CHECK(table.servers(parts).size() == 1);
    }
    SECTION("an entry that does not state its edition is believed")
    {
        table.put(edition(10, 0));
        table.remove(ServerId("p1"), false);
        table.replace({edition(10, 0)}, true);
        CHECK(table.servers(parts).size() == 1);
    }
}

TEST_CASE("A listing of a restored store brings back no record of an instance that had left", "[instances][restored]")
{
    InstanceTable table(1);
    const InstanceRecord self = instanceOf("a1", "home");
    InstanceRecord other = instanceOf("a2", "home");
    other.edition = {10, 2};
    table.put(self);
    table.put(other);
    table.remove(InstanceId("a2"), false);
    table.replace({self, other}, true);
    CHECK(table.addressesFor(Region("home"), self, 64).size() == 1);
    other.edition = {20, 1};
    table.replace({self, other}, true);
    CHECK(table.addressesFor(Region("home"), self, 64).size() == 2);
}
