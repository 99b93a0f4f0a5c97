#include "manualstore.h"

#include <burdock/routing/instancelease.h>
#include <burdock/routing/storefollower.h>
#include <burdock/store/storehistory.h>
#include <burdock/values/manualruntime.h>

#include <algorithm>
#include <catch2/catch.hpp>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct FollowerFixture
{
    ManualRuntime runtime;
    ManualStore store;
    std::vector<std::string> events;
    StoreFollower follower{runtime,
                           store,
                           "servers/",
                           {[this](const std::vector<StoreEntry> &entries, std::int64_t) { events.push_back("all " + std::to_string(entries.size())); },
                            [this](const StoreEntry &entry) { events.push_back((entry.deleted ? "-" : "+") + entry.key); },
                            [this](const Failure *failure) { events.emplace_back(failure != nullptr ? "lost" : "regained"); }}};

    /// Lists one key at revision 10 and starts the watch.
    void begin()
    {
        follower.start();
        store.reply(store.ranges, Result<StoreRange>(StoreRange{{{"k", "v", 7, 0, false}}, 10}));
        REQUIRE(store.watches.size() == 1);
        events.clear();
    }

    void change(const std::string &key, std::int64_t revision)
    {
        store.watches.begin()->second.changed({key, "v", revision, 0, false});
    }
};

/// A follower whose listings cannot be handled, as for lack of memory.
struct ThrowingFollower
{
    ThrowingFollower()
    {
        runtime.boundary().setHandler([](std::string_view, std::string_view) {});
    }

    void list()
    {
        store.reply(store.ranges, Result<StoreRange>(StoreRange{{{"k", "v", 7, 0, false}}, 10}));
    }

    ManualRuntime runtime;
    ManualStore store;
    bool throws = true;
    int listed = 0;
    StoreFollower follower{runtime,
                           store,
                           "servers/",
                           {[this](const std::vector<StoreEntry> &, std::int64_t) {
                                if (throws) {
                                    throw std::runtime_error("thrown by a test");
                                }
                                ++listed;
                            },
                            [](const StoreEntry &) {},
                            [](const Failure *) {}}};
};

struct LeaseFixture
{
    ManualRuntime runtime;
    ManualStore store;
    int lost = 0;
    int regained = 0;
    InstanceLease lease{runtime, store, "instances/a", seconds(3), [this](const Failure *failure) { ++(failure != nullptr ? lost : regained); }};

    void begin()
    {
        lease.start("ready");
        store.reply(store.grants, Result<std::int64_t>(77));
        store.reply(store.commits, Result<StoreCommit>(StoreCommit{true, 5, {}}));
    }
};

const Result<std::int64_t> Unreachable = notRun(Errc::Unavailable, "the store is away");

} // namespace

TEST_CASE("A listing that cannot be handled is read again, each time after a longer pause", "[follower][boundary]")
{
    ThrowingFollower fixture;
    fixture.follower.start();
    fixture.list();
    CHECK(fixture.store.ranges.empty());
    fixture.runtime.advance(milliseconds(100));
    REQUIRE(fixture.store.ranges.size() == 1);
    fixture.list();
    fixture.runtime.advance(milliseconds(100));
    CHECK(fixture.store.ranges.empty());
    fixture.runtime.advance(milliseconds(100));
    REQUIRE(fixture.store.ranges.size() == 1);
    fixture.throws = false;
    fixture.list();
    CHECK(fixture.listed == 1);
    CHECK(fixture.store.watches.size() == 1);
}

TEST_CASE("A follower lists all keys once and watches from that revision", "[follower]")
{
    FollowerFixture fixture;
    fixture.follower.start();
    CHECK_FALSE(fixture.follower.hasListing());
    fixture.store.reply(fixture.store.ranges, Result<StoreRange>(StoreRange{{{"k", "v", 7, 0, false}}, 10}));
    CHECK(fixture.follower.hasListing());
    REQUIRE(fixture.store.watches.size() == 1);
    CHECK(fixture.store.watches.begin()->second.from == 10);
    fixture.change("a", 11);
    CHECK(fixture.events == std::vector<std::string>{"all 1", "+a"});
}

TEST_CASE("Of two entries that are removed in one change of the store, the second removal is noticed as well", "[follower][samerevision]")
{
    FollowerFixture fixture;
    fixture.begin();
    const auto changed = fixture.store.watches.begin()->second.changed;
    changed({"a", "", 11, 0, true});
    changed({"b", "", 11, 0, true});
    CHECK(fixture.events == std::vector<std::string>{"-a", "-b"});
    CHECK(fixture.follower.revision() == 11);
    SECTION("changes up to the revision from which a watch starts are not repeated")
    {
        fixture.store.endWatch(Errc::Unavailable);
        fixture.runtime.advance(seconds(1));
        REQUIRE(fixture.store.watches.size() == 1);
        CHECK(fixture.store.watches.begin()->second.from == 11);
        fixture.events.clear();
        fixture.change("a", 11);
        fixture.change("c", 12);
        CHECK(fixture.events.back() == "+c");
        CHECK(std::count(fixture.events.begin(), fixture.events.end(), "+a") == 0);
    }
    SECTION("an older change is not applied after a newer one")
    {
        fixture.events.clear();
        fixture.change("c", 13);
        fixture.change("c", 12);
        CHECK(fixture.events == std::vector<std::string>{"+c"});
    }
}

TEST_CASE("A follower resumes from the last known revision after a failure", "[follower]")
{
    FollowerFixture fixture;
    fixture.begin();
    fixture.change("a", 11);
    fixture.store.endWatch(Errc::Unavailable);
    CHECK(fixture.events.back() == "lost");
    CHECK(fixture.store.watches.empty());
    fixture.runtime.advance(seconds(2));
    REQUIRE(fixture.store.watches.size() == 1);
    CHECK(fixture.store.watches.begin()->second.from == 11);
    SECTION("a repeated change is reported once")
    {
        fixture.change("a", 11);
        CHECK(fixture.events.back() == "regained");
        fixture.change("b", 12);
        CHECK(fixture.events.back() == "+b");
    }
    SECTION("an outage is reported once, and retry delays stay below two seconds")
    {
        for (int attempt = 0; attempt < 10; ++attempt) {
            fixture.store.endWatch(Errc::Unavailable);
            fixture.runtime.advance(seconds(2));
            REQUIRE(fixture.store.watches.size() == 1);
        }
        CHECK(std::count(fixture.events.begin(), fixture.events.end(), "lost") == 1);
    }
}

TEST_CASE("A follower knows that the store is back when it answers, also without a change", "[follower]")
{
    // Otherwise the entries that lapsed during the outage would be kept, and used, until the next change.
    FollowerFixture fixture;
    fixture.begin();
    fixture.store.endWatch(Errc::Unavailable);
    CHECK(fixture.events == std::vector<std::string>{"lost"});
    fixture.runtime.advance(seconds(1));
    REQUIRE(fixture.store.watches.size() == 1);
    CHECK(fixture.events == std::vector<std::string>{"lost"});
    fixture.store.watches.begin()->second.answered(fixture.runtime.now());
    CHECK(fixture.events == std::vector<std::string>{"lost", "regained"});
}

TEST_CASE("A follower lists all keys again if the history was compacted", "[follower]")
{
    FollowerFixture fixture;
    fixture.begin();
    fixture.store.endWatch(Errc::WrongVersion);
    REQUIRE(fixture.store.ranges.size() == 1);
    SECTION("the new listing replaces the old one")
    {
        fixture.store.reply(fixture.store.ranges, Result<StoreRange>(StoreRange{{}, 30}));
        CHECK(fixture.events.back() == "all 0");
        CHECK(fixture.store.watches.begin()->second.from == 30);
    }
    SECTION("a listing older than the known revision is ignored")
    {
        fixture.store.reply(fixture.store.ranges, Result<StoreRange>(StoreRange{{}, 9}));
        CHECK(fixture.events.empty());
        CHECK(fixture.store.watches.begin()->second.from == 10);
    }
    SECTION("a failed listing is retried")
    {
        fixture.store.reply(fixture.store.ranges, Result<StoreRange>(notRun(Errc::Unavailable, "away")));
        CHECK(fixture.events.back() == "lost");
        fixture.runtime.advance(seconds(2));
        CHECK(fixture.store.ranges.size() == 1);
    }
}

TEST_CASE("A restarted follower ignores callbacks of the previous watch", "[follower]")
{
    FollowerFixture fixture;
    fixture.begin();
    const auto old = fixture.store.watches.begin()->second;
    fixture.follower.restart();
    CHECK(fixture.store.watches.empty());
    old.changed({"late", "v", 50, 0, false});
    old.ended(Failure{Errc::Unavailable, Verdict::NotRun, "late", Duration{0}});
    CHECK(fixture.events.empty());
    fixture.store.reply(fixture.store.ranges, Result<StoreRange>(StoreRange{{}, 12}));
    CHECK(fixture.events == std::vector<std::string>{"all 0"});
}

TEST_CASE("An instance's record is written under a lease that is renewed within its term", "[lease]")
{
    LeaseFixture fixture;
    fixture.begin();
    CHECK(fixture.lease.held());
    REQUIRE(fixture.store.written.size() == 1);
    CHECK(fixture.store.written.front().key == "instances/a");
    CHECK(fixture.store.written.front().lease == 77);
    fixture.runtime.advance(milliseconds(1100));
    REQUIRE(fixture.store.renewals.size() == 1);
    CHECK(fixture.store.renewedLeases == std::vector<std::int64_t>{77});
    SECTION("rewriting the record confirms the store but does not renew the lease")
    {
        fixture.lease.change("crowded");
        fixture.store.reply(fixture.store.commits, Result<StoreCommit>(StoreCommit{true, 6, {}}));
        CHECK(fixture.lease.confirmedAt() == fixture.runtime.now());
        fixture.runtime.advance(milliseconds(2000));
        CHECK_FALSE(fixture.lease.held());
    }
    SECTION("the renewed term starts when the renewal was sent")
    {
        fixture.runtime.advance(milliseconds(500));
        fixture.store.reply(fixture.store.renewals, Result<std::int64_t>(3));
        fixture.runtime.advance(milliseconds(2300));
        CHECK(fixture.lease.held());
        fixture.runtime.advance(milliseconds(300));
        CHECK_FALSE(fixture.lease.held());
    }
    SECTION("a failed renewal is retried soon and reported once")
    {
        fixture.store.reply(fixture.store.renewals, Unreachable);
        fixture.runtime.advance(milliseconds(400));
        REQUIRE(fixture.store.renewals.size() == 1);
        fixture.store.reply(fixture.store.renewals, Unreachable);
        CHECK(fixture.lost == 1);
        fixture.runtime.advance(milliseconds(400));
        fixture.store.reply(fixture.store.renewals, Result<std::int64_t>(3));
        CHECK(fixture.regained == 1);
        CHECK(fixture.lease.held());
    }
    SECTION("an expired lease is replaced and the record is written again")
    {
        fixture.store.reply(fixture.store.renewals, Result<std::int64_t>(notRun(Errc::NotFound, "no such lease")));
        REQUIRE(fixture.store.grants.size() == 1);
        fixture.store.reply(fixture.store.grants, Result<std::int64_t>(78));
        REQUIRE(fixture.store.written.size() == 2);
        CHECK(fixture.store.written.back().lease == 78);
    }
}

TEST_CASE("Withdrawing revokes the lease and requests no other", "[lease]")
{
    LeaseFixture fixture;
    SECTION("with a granted lease")
    {
        fixture.begin();
        fixture.lease.withdraw();
        CHECK(fixture.store.revoked == std::vector<std::int64_t>{77});
        CHECK_FALSE(fixture.lease.held());
    }
    SECTION("before a lease is granted")
    {
        fixture.lease.start("ready");
        fixture.lease.withdraw();
        fixture.store.reply(fixture.store.grants, Result<std::int64_t>(77));
        CHECK(fixture.store.written.empty());
    }
    fixture.runtime.advance(seconds(20));
    CHECK(fixture.store.renewals.empty());
    CHECK(fixture.store.grants.empty());
}

TEST_CASE("A failed grant or write is retried with a new lease", "[lease]")
{
    LeaseFixture fixture;
    fixture.lease.start("ready");
    fixture.store.reply(fixture.store.grants, Unreachable);
    fixture.runtime.advance(seconds(1));
    REQUIRE(fixture.store.grants.size() == 1);
    fixture.store.reply(fixture.store.grants, Result<std::int64_t>(5));
    fixture.store.reply(fixture.store.commits, Result<StoreCommit>(mayHaveRun(Errc::ConnectionLost, "the reply was lost")));
    fixture.runtime.advance(seconds(1));
    REQUIRE(fixture.store.grants.size() == 1);
    fixture.store.reply(fixture.store.grants, Result<std::int64_t>(6));
    fixture.store.reply(fixture.store.commits, Result<StoreCommit>(StoreCommit{true, 9, {}}));
    CHECK(fixture.lease.held());
    SECTION("a changed record is written under the same lease")
    {
        fixture.lease.change("crowded");
        CHECK(fixture.store.written.back().value == "crowded");
        CHECK(fixture.store.written.back().lease == 6);
    }
}

TEST_CASE("A lease is requested anew when the store was restored, unless the record was written since", "[lease][restored]")
{
    LeaseFixture fixture;
    fixture.begin();
    fixture.lease.onHistoryLost(1);
    REQUIRE(fixture.store.grants.size() == 1);
    fixture.store.reply(fixture.store.grants, Result<std::int64_t>(78));
    fixture.store.reply(fixture.store.commits, Result<StoreCommit>(StoreCommit{true, StoreHistory::combine(1, 2), {}}));
    CHECK(fixture.store.written.back().lease == 78);
    fixture.lease.onHistoryLost(1);
    CHECK(fixture.store.grants.empty());
}

TEST_CASE("Each write of a record has a later number", "[lease][restored]")
{
    ManualRuntime runtime;
    ManualStore store;
    InstanceLease lease(
        runtime,
        store,
        "instances/a",
        seconds(3),
        [](const Failure *) {},
        [](const std::string &value, std::int64_t write) { return value + std::to_string(write); });
    lease.start("ready");
    store.reply(store.grants, Result<std::int64_t>(77));
    store.reply(store.commits, Result<StoreCommit>(StoreCommit{true, 5, {}}));
    lease.change("crowded");
    REQUIRE(store.written.size() == 2);
    CHECK(store.written[0].value == "ready1");
    CHECK(store.written[1].value == "crowded2");
}
