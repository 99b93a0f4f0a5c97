#include "configfleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Burdock;

namespace
{

constexpr Duration Target = std::chrono::seconds(4);
constexpr std::size_t InstanceCount = 7;

std::vector<std::size_t> watchersOf(ConfigFleet &fleet)
{
    std::vector<std::size_t> watchers;
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
        if (fleet.keeper(i).status().watching) {
            watchers.push_back(i);
        }
    }
    return watchers;
}

void requireNoRevert(const ConfigFleet &fleet)
{
    for (const auto &node : fleet.nodes) {
        REQUIRE_FALSE(node->reverted);
    }
}

} // namespace

TEST_CASE("An accepted configuration is in force on all instances within the target time", "[spread][faults]")
{
    struct FaultCase
    {
        const char *name;
        void (*before)(ConfigFleet &fleet);
        void (*after)(ConfigFleet &fleet);
    };
    const auto nothing = [](ConfigFleet &) {};
    const FaultCase cases[] = {
        {"no fault", nothing, nothing},
        {"no watch delivers events, and none reports an error",
         [](ConfigFleet &fleet) {
             for (const std::size_t watcher : watchersOf(fleet)) {
                 fleet.nodes[watcher]->store.watchesSilent = true;
             }
         },
         nothing},
        {"all watchers but one are disconnected from the store",
         [](ConfigFleet &fleet) {
             for (const std::size_t watcher : watchersOf(fleet)) {
                 fleet.nodes[watcher]->store.disconnected = watcher != watchersOf(fleet).front();
             }
         },
         nothing},
        {"store outage as soon as one watcher has read the version",
         nothing,
         [](ConfigFleet &fleet) {
             fleet.timeUntil([&] { return std::any_of(fleet.nodes.begin(), fleet.nodes.end(), [](const auto &node) { return node->highestInForce == 2; }); },
                             Target);
             fleet.store.beginOutage();
         }},
        {"store outage right after acceptance, and the publisher sends the version to two instances",
         [](ConfigFleet &fleet) { fleet.store.onApplied = [&fleet] { fleet.runtime.schedule(Duration{0}, [&fleet] { fleet.store.beginOutage(); }); }; },
         [](ConfigFleet &fleet) {
             const DeclarationSet set = ConfigFleet::files(3);
             const DeclarationFile &file = set.files().begin()->second;
             const ConfigHead head{2, "p2", set.hash(), set.hashes()};
             for (const std::size_t i : {0U, 1U}) {
                 fleet.nodes[i]->distributor->onOffer(InstanceId("burdockctl"),
                                                      {0, 2, head.toJson(), {{set.files().begin()->first, file.hash(), file.text()}}, true});
             }
         }},
        {"one instance is disconnected from the store and half of its peers",
         [](ConfigFleet &fleet) {
             fleet.nodes[0]->store.disconnected = true;
             fleet.nodes[0]->disconnectedPeers = {1, 2, 3};
         },
         nothing},
        {"one watcher is frozen during the change",
         [](ConfigFleet &fleet) { fleet.nodes[watchersOf(fleet).front()]->runtime.freeze(); },
         [](ConfigFleet &fleet) { fleet.nodes[watchersOf(fleet).front()]->runtime.thaw(); }},
        {"store outage of 20 s",
         nothing,
         [](ConfigFleet &fleet) {
             fleet.store.beginOutage();
             fleet.runtime.advance(std::chrono::seconds(20));
             fleet.store.outage = false;
         }},
    };
    for (const FaultCase &fault : cases) {
        INFO(fault.name);
        ConfigFleet fleet(InstanceCount, 3, 11);
        fleet.startAll();
        fleet.publish(1);
        REQUIRE(fleet.timeUntil([&] { return fleet.allHave(1); }, Target) < Target);
        fleet.runtime.advance(std::chrono::seconds(5));
        fault.before(fleet);
        fleet.publish(2);
        fault.after(fleet);
        CHECK(fleet.timeUntil([&] { return fleet.allHave(2); }, 2 * Target) < Target);
        requireNoRevert(fleet);
    }
}

TEST_CASE("An instance that was frozen during a change admits no work until its version is confirmed", "[spread][faults]")
{
    ConfigFleet fleet(InstanceCount, 3, 12);
    fleet.startAll();
    fleet.publish(1);
    REQUIRE(fleet.timeUntil([&] { return fleet.allHave(1); }, Target) < Target);
    ConfigKeeper &frozen = fleet.keeper(3);
    REQUIRE(frozen.mayAdmit());
    fleet.nodes[3]->runtime.freeze();
    fleet.publish(2);
    fleet.runtime.advance(std::chrono::seconds(3));
    const auto admitsOnlyNewVersion = [&] {
        const bool admits = frozen.mayAdmit();
        REQUIRE_FALSE((admits && frozen.version() < 2));
        return admits;
    };
    SECTION("the store is available")
    {
    }
    SECTION("the store is unavailable")
    {
        fleet.store.beginOutage();
    }
    SECTION("messages from before the change arrive first")
    {
        for (int i = 0; i < 5; ++i) {
            fleet.keeper(3).onOffer(1, fleet.nodes[0]->listed.id, true, {1, nullptr, {}});
        }
        CHECK_FALSE(frozen.mayAdmit());
        fleet.store.beginOutage();
    }
    // A request may be the first event that the thawed process handles.
    CHECK_FALSE(frozen.mayAdmit());
    fleet.nodes[3]->runtime.thaw();
    CHECK(fleet.timeUntil(admitsOnlyNewVersion, Target) < Target);
    CHECK(frozen.version() == 2);
    CHECK(frozen.counters().pauses == 1);
}

TEST_CASE("An instance that restarts during a store outage gets the highest version among its peers", "[spread][faults]")
{
    ConfigFleet fleet(InstanceCount, 3, 13);
    fleet.startAll();
    fleet.publish(1);
    REQUIRE(fleet.timeUntil([&] { return fleet.allHave(1); }, Target) < Target);
    // Two instances are disconnected and keep the old version.
    for (const std::size_t behind : {1U, 2U}) {
        fleet.nodes[behind]->store.disconnected = true;
        fleet.nodes[behind]->disconnectedPeers = {0, 3, 4, 5, 6};
    }
    fleet.publish(2);
    fleet.runtime.advance(std::chrono::seconds(1));
    fleet.store.beginOutage();
    for (const std::size_t behind : {1U, 2U}) {
        fleet.nodes[behind]->disconnectedPeers = {0, 3, 4, 5};
        fleet.nodes[behind]->runtime.freeze();
    }
    fleet.start(6);
    CHECK_FALSE(fleet.keeper(6).mayAdmit());
    const Duration took = fleet.timeUntil(
        [&] {
            const bool admits = fleet.keeper(6).mayAdmit();
            REQUIRE_FALSE((admits && fleet.keeper(6).version() < 2));
            return admits;
        },
        3 * Target);
    CHECK(took < Target);
    CHECK(fleet.keeper(6).version() == 2);
}

TEST_CASE("An instance without store and peers stops admitting work after the time limit and recovers by itself", "[spread][stale]")
{
    ConfigFleet fleet(InstanceCount, 3, 14);
    fleet.startAll();
    fleet.publish(1);
    REQUIRE(fleet.timeUntil([&] { return fleet.allHave(1); }, Target) < Target);
    fleet.nodes[2]->store.disconnected = true;
    fleet.nodes[2]->disconnectedPeers = {0, 1, 3, 4, 5, 6};
    fleet.publish(2);
    CHECK(fleet.timeUntil([&] { return !fleet.keeper(2).mayAdmit(); }, 2 * Target) <= Target);
    CHECK(fleet.keeper(2).status().state == "isolated");
    CHECK(fleet.keeper(2).version() == 1);
    CHECK(nlohmann::json::parse(fleet.nodes[2]->distributor->statusJson())["state"] == "isolated");

    SECTION("it recovers through a peer alone")
    {
        fleet.nodes[2]->disconnectedPeers = {0, 1, 3, 4, 5};
    }
    SECTION("it recovers through the store alone")
    {
        fleet.nodes[2]->store.disconnected = false;
    }
    CHECK(fleet.timeUntil([&] { return fleet.keeper(2).mayAdmit(); }, 3 * Target) < 2 * Target);
    CHECK(fleet.keeper(2).version() == 2);
}

TEST_CASE("An instance that reaches only the store keeps admitting work and gets new versions", "[spread][stale]")
{
    ConfigFleet fleet(InstanceCount, 3, 19);
    fleet.startAll();
    for (std::size_t i = 0; i < InstanceCount; ++i) {
        fleet.nodes[i]->disconnectedPeers = {0, 1, 2, 3, 4, 5, 6};
    }
    fleet.publish(1);
    REQUIRE(fleet.timeUntil([&] { return fleet.allHave(1); }, 2 * Target) < Target);
    for (int second = 0; second < 20; ++second) {
        fleet.runtime.advance(std::chrono::seconds(1));
        for (std::size_t i = 0; i < InstanceCount; ++i) {
            REQUIRE(fleet.keeper(i).mayAdmit());
        }
    }
}

TEST_CASE("The last version stays in force during a store outage of 10 minutes", "[spread][faults]")
{
    ConfigFleet fleet(InstanceCount, 3, 15);
    fleet.startAll();
    fleet.publish(1);
    REQUIRE(fleet.timeUntil([&] { return fleet.allHave(1); }, Target) < Target);
    fleet.store.beginOutage();
    for (int minute = 0; minute < 10; ++minute) {
        fleet.runtime.advance(std::chrono::minutes(1));
        for (std::size_t i = 0; i < InstanceCount; ++i) {
            REQUIRE(fleet.keeper(i).mayAdmit());
        }
    }
}

TEST_CASE("An unusable configuration leaves the previous one in force", "[spread][hostile]")
{
    ConfigFleet fleet(InstanceCount, 3, 16);
    fleet.startAll();
    fleet.publish(1);
    REQUIRE(fleet.timeUntil([&] { return fleet.allHave(1); }, Target) < Target);
    const std::string future = ConfigFleet::files(5).files().at("fleet.toml").text() + "from-the-future = true\n";
    const DeclarationSet broken({{"fleet.toml", DeclarationFile(future)}});
    const bool headIsBroken = GENERATE(false, true);
    fleet.writeUnchecked(2, broken, headIsBroken ? "{\"version\":\"two\"}" : "");
    const std::string fault = headIsBroken ? "head record" : "from-the-future";
    fleet.runtime.advance(std::chrono::seconds(10));
    for (std::size_t i = 0; i < InstanceCount; ++i) {
        CHECK(fleet.keeper(i).version() == 1);
        CHECK(fleet.keeper(i).mayAdmit());
        CHECK(fleet.keeper(i).counters().unusable <= 1);
    }
    const std::size_t watcher = watchersOf(fleet).front();
    INFO(fleet.nodes[watcher]->distributor->statusJson());
    CHECK(fleet.nodes[watcher]->distributor->statusJson().find(fault) != std::string::npos);

    SECTION("a restarted instance gets the previous version from its peers")
    {
        fleet.start(watcher);
        CHECK(fleet.timeUntil([&] { return fleet.keeper(watcher).mayAdmit(); }, 3 * Target) < 2 * Target);
        CHECK(fleet.keeper(watcher).version() == 1);
    }
    SECTION("the next valid version is installed")
    {
        fleet.writeUnchecked(3, ConfigFleet::files(9));
        CHECK(fleet.timeUntil([&] { return fleet.allHave(3); }, 2 * Target) < Target);
    }
}

TEST_CASE("Inconsistent or unrequested offers are refused, and older or duplicate versions are not installed", "[spread][hostile]")
{
    ConfigFleet fleet(InstanceCount, 3, 17);
    fleet.startAll();
    fleet.publish(1);
    REQUIRE(fleet.timeUntil([&] { return fleet.allHave(1); }, Target) < Target);
    const auto offerOf = [](std::uint64_t number, std::uint64_t version, const DeclarationSet &set) {
        ConfigOffer offer{number, version, ConfigHead{version, "p", set.hash(), set.hashes()}.toJson(), {}, true};
        for (const auto &[name, file] : set.files()) {
            offer.files.push_back({name, file.hash(), file.text()});
        }
        return offer;
    };
    ConfigDistributor &distributor = *fleet.nodes[0]->distributor;
    const InstanceId peer = fleet.nodes[1]->listed.id;
    ConfigOffer altered = offerOf(0, 9, ConfigFleet::files(9));
    altered.files[0].text += "# altered";
    ConfigOffer mismatched = offerOf(0, 9, ConfigFleet::files(9));
    mismatched.version = 8;
    ConfigOffer unreadable = offerOf(0, 9, ConfigFleet::files(9));
    unreadable.head = "\x01\xff{";
    for (const ConfigOffer &offer : {altered, mismatched, unreadable, offerOf(777777, 9, ConfigFleet::files(9))}) {
        const auto refused = distributor.counters().refusedOffers;
        distributor.onOffer(peer, offer);
        CHECK(distributor.counters().refusedOffers == refused + 1);
        CHECK(distributor.keeper().version() == 1);
    }
    for (const std::uint64_t version : {5U, 3U, 5U, 1U, 4U}) {
        distributor.onOffer(peer, offerOf(0, version, ConfigFleet::files(static_cast<std::uint32_t>(version))));
        CHECK(distributor.keeper().version() == 5);
    }
    CHECK(distributor.keeper().counters().installs == 2);
    requireNoRevert(fleet);
}

TEST_CASE("A configuration larger than one message is transferred in several messages", "[spread]")
{
    ConfigFleet fleet(2, 1, 18);
    std::map<std::string, DeclarationFile> files;
    for (int i = 0; i < 40; ++i) {
        const std::string name = "f" + std::to_string(i);
        files.emplace(name + ".toml",
                      DeclarationFile("[fleet." + name + "]\nslots = \"5 slots\"\nconnections = \"4 connections\"\nconnection-cost = \"6ms\"\n#"
                                      + std::string(20000, 'x')));
    }
    fleet.startAll();
    fleet.nodes[1]->store.disconnected = true;
    fleet.writeUnchecked(1, DeclarationSet(std::move(files)));
    CHECK(fleet.timeUntil([&] { return fleet.allHave(1); }, 2 * Target) < Target);
    CHECK(fleet.nodes[1]->distributor->counters().bytesReceived > 800000);
}

TEST_CASE("Random faults: versions never decrease, and all instances agree after the faults end", "[spread][generated]")
{
    constexpr unsigned Rounds = 40;
    for (unsigned round = 0; round < Rounds; ++round) {
        const unsigned seed = 5000 + round;
        INFO("seed " << seed);
        ConfigFleet fleet(InstanceCount, 3, seed);
        fleet.startAll();
        std::mt19937 random(seed);
        std::uint64_t accepted = 0;
        for (int step = 0; step < 12; ++step) {
            const std::size_t place = random() % InstanceCount;
            auto &node = *fleet.nodes[place];
            switch (random() % 8) {
            case 0:
                fleet.store.beginOutage();
                break;
            case 1:
                fleet.store.outage = false;
                break;
            case 2:
                node.runtime.freeze();
                break;
            case 3:
                node.runtime.thaw();
                break;
            case 4:
                node.store.disconnected = random() % 2 == 0;
                break;
            case 5:
                node.disconnectedPeers = {random() % InstanceCount, random() % InstanceCount, random() % InstanceCount};
                break;
            case 6:
                if (!node.runtime.frozen()) {
                    fleet.start(place);
                }
                break;
            default:
                if (!fleet.store.outage) {
                    fleet.publish(++accepted);
                }
            }
            fleet.runtime.advance(std::chrono::milliseconds(random() % 3000));
        }
        fleet.store.outage = false;
        for (const auto &node : fleet.nodes) {
            node->store.disconnected = false;
            node->disconnectedPeers.clear();
            node->runtime.thaw();
        }
        CHECK(fleet.timeUntil([&] { return fleet.allHave(accepted); }, 3 * Target) < 2 * Target);
        fleet.runtime.advance(std::chrono::seconds(6));
        for (std::size_t i = 0; i < InstanceCount; ++i) {
            CHECK(fleet.keeper(i).mayAdmit() == (accepted != 0));
        }
        requireNoRevert(fleet);
    }
}
