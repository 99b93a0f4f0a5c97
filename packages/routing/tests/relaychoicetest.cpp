#include <burdock/routing/instancerole.h>
#include <burdock/routing/relaychoice.h>

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// A region of instances, a few of which are large, as seen by each of them.
class RegionOfInstances
{
public:
    explicit RegionOfInstances(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            const Address peers{"10.0." + std::to_string(number / 200) + "." + std::to_string(number % 200), 7700};
            const double cores = number % 16 == 5 ? 0.5 : 0.12;
            records_.push_back(
                {InstanceId("i" + std::to_string(number)), peers, peers, Region("home"), DataCentre(number % 2 == 0 ? "a" : "b"), true, cores, false});
            numberOf_[peers.toString()] = number;
        }
        for (const InstanceRecord &record : records_) {
            choices_.emplace_back(record.id);
            choices_.back().setInstances(records_);
        }
    }

    std::size_t size() const
    {
        return records_.size();
    }

    const InstanceRecord &record(std::size_t number) const
    {
        return records_[number];
    }

    RelayChoice &choice(std::size_t number)
    {
        return choices_[number];
    }

    /// Returns the number of the instance's relay, or its own if it has none.
    std::size_t relayOf(std::size_t number, TimePoint now) const
    {
        const auto relay = choices_[number].relay(now);
        return relay ? numberOf_.at(relay->toString()) : number;
    }

    /// Lets each instance try its relays until one of them lives; returns how many may then use the store.
    std::size_t usingStore(const std::set<std::size_t> &dead, TimePoint from, TimePoint until)
    {
        std::size_t count = 0;
        for (std::size_t number = 0; number < size(); ++number) {
            if (dead.count(number) > 0) {
                continue;
            }
            std::size_t relay = relayOf(number, from);
            while (relay != number && dead.count(relay) > 0) {
                choices_[number].onFailed(records_[relay].peers, from);
                relay = relayOf(number, from);
            }
            if (relay != number) {
                choices_[number].onAnswered();
            }
            count += relay == number && choices_[number].mayUseStore(until) ? 1 : 0;
        }
        return count;
    }

private:
    std::vector<InstanceRecord> records_;
    std::vector<RelayChoice> choices_;
    std::map<std::string, std::size_t> numberOf_;
};

const TimePoint Now{seconds(100)};

} // namespace

TEST_CASE("Relays form a tree with a bounded number of children and a depth that hardly grows", "[relay]")
{
    const auto [size, maxDepth] = GENERATE(table<std::size_t, int>({{4, 1}, {11, 1}, {30, 2}, {98, 2}, {333, 3}, {1000, 3}}));
    RegionOfInstances region(size);
    std::map<std::size_t, std::size_t> children;
    std::size_t roots = 0;
    for (std::size_t number = 0; number < size; ++number) {
        INFO("instance " << number << " of " << size);
        const std::size_t relay = region.relayOf(number, Now);
        if (relay == number) {
            ++roots;
            CHECK(region.choice(number).depth() == 0);
            CHECK(region.choice(number).mayUseStore(Now));
            continue;
        }
        ++children[relay];
        CHECK(region.choice(relay).hasChildren());
        CHECK(region.choice(relay).depth() == region.choice(number).depth() - 1);
        CHECK(region.choice(number).depth() <= maxDepth);
        CHECK(region.record(relay).cores >= region.record(number).cores);
    }
    CHECK(roots == 1);
    for (const auto &[relay, count] : children) {
        CHECK(count <= RelayChoice::FanOut);
    }
}

TEST_CASE("Each instance that another one may turn to knows that it is needed as a relay", "[relay]")
{
    // Otherwise it renews its lease rarely, takes its own data for stale and serves nobody.
    const std::size_t size = GENERATE(11U, 27U, 98U, 333U);
    RegionOfInstances region(size);
    for (std::size_t number = 0; number < size; ++number) {
        RelayChoice &choice = region.choice(number);
        for (std::size_t relay = region.relayOf(number, Now); relay != number; relay = region.relayOf(number, Now)) {
            INFO("instance " << number << " of " << size << " may turn to " << relay);
            CHECK(region.choice(relay).hasChildren());
            choice.onFailed(region.record(relay).peers, Now);
        }
    }
}

TEST_CASE("The instances of a failed relay divide among others of its level, and few use the store", "[relay]")
{
    RegionOfInstances region(1000);
    SECTION("a single relay fails")
    {
        std::size_t failed = 0;
        while (region.choice(failed).depth() != 1) {
            ++failed;
        }
        std::map<std::size_t, std::size_t> added;
        for (std::size_t number = 0; number < region.size(); ++number) {
            if (region.relayOf(number, Now) == failed) {
                region.choice(number).onFailed(region.record(failed).peers, Now);
                ++added[region.relayOf(number, Now)];
            }
        }
        CHECK(region.usingStore({failed}, Now, Now + seconds(10)) == 1);
        for (const auto &[relay, count] : added) {
            CHECK(count <= 3);
        }
    }
    SECTION("the root fails")
    {
        std::size_t root = 0;
        while (region.choice(root).depth() != 0) {
            ++root;
        }
        CHECK(region.usingStore({root}, Now, Now + seconds(10)) == 1);
    }
    SECTION("half of the region fails")
    {
        std::set<std::size_t> dead;
        for (std::size_t number = 0; number < region.size(); number += 2) {
            dead.insert(number);
        }
        // Those without any live relay wait, and differ in how long.
        CHECK(region.usingStore(dead, Now, Now + milliseconds(500)) <= 1 + RelayChoice::FanOut);
        CHECK(region.usingStore(dead, Now, Now + seconds(10)) <= region.size() / 6);
    }
}

TEST_CASE("An instance below others waits for its relays before it uses the store", "[relay]")
{
    RegionOfInstances region(98);
    std::size_t leaf = 0;
    while (region.choice(leaf).depth() != 2) {
        ++leaf;
    }
    RelayChoice &choice = region.choice(leaf);
    for (auto relay = choice.relay(Now); relay; relay = choice.relay(Now)) {
        CHECK_FALSE(choice.mayUseStore(Now + seconds(30)));
        choice.onStale(*relay, Now);
    }
    CHECK_FALSE(choice.mayUseStore(Now + milliseconds(1900)));
    CHECK(choice.mayUseStore(Now + seconds(4)));
    CHECK(choice.relay(Now + milliseconds(1100)));
    choice.onAnswered();
    CHECK_FALSE(choice.mayUseStore(Now + seconds(4)));
}

TEST_CASE("An instance becomes active when clients or other instances need it, and stays so", "[relay][role]")
{
    CHECK(instanceRole(InstanceRole::Standby, false, false, true) == InstanceRole::Standby);
    CHECK(instanceRole(InstanceRole::Standby, true, false, true) == InstanceRole::Active);
    CHECK(instanceRole(InstanceRole::Standby, false, true, true) == InstanceRole::Active);
    CHECK(instanceRole(InstanceRole::Standby, true, true, false) == InstanceRole::Standby);
    CHECK(instanceRole(InstanceRole::Active, false, false, true) == InstanceRole::Active);
    for (const InstanceRole role : {InstanceRole::Standby, InstanceRole::Active}) {
        // One lost renewal must not end the lease.
        CHECK(2 * recordTerms(role).renewalInterval < recordTerms(role).term);
    }
}
