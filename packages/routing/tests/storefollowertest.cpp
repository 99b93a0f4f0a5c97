#include "heldstore.h"

#include <burdock/routing/instancelease.h>
#include <burdock/routing/storefollower.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct Following
{
    ManualRuntime runtime;
    HeldStore store;
    std::vector<std::string> heard;
    StoreFollower follower{runtime,
                           store,
                           "servers/",
                           {[this](const std::vector<StoreEntry> &entries, std::int64_t) { heard.push_back("all " + std::to_string(entries.size())); },
                            [this](const StoreEntry &entry) { heard.push_back((entry.deleted ? "-" : "+") + entry.key); },
                            [this](const Failure *failure) { heard.emplace_back(failure != nullptr ? "lost" : "regained"); }}};

    /// Reads one key at revision 10 and begins to watch.
    void begin()
    {
        follower.start();
        store.reply(store.ranges, Result<StoreRange>(StoreRange{{{"k", "v", 7, 0, false}}, 10}));
        REQUIRE(store.watches.size() == 1);
        heard.clear();
    }

    void change(const std::string &key, std::int64_t revision)
    {
        store.watches.begin()->second.changed({key, "v", revision, 0, false});
    }
};

struct Leasing
{
    ManualRuntime runtime;
    HeldStore store;
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

TEST_CASE("A follower reads all keys once and hears of changes from there", "[follower]")
{
    Following bench;
    bench.follower.start();
    CHECK_FALSE(bench.follower.known());
    bench.store.reply(bench.store.ranges, Result<StoreRange>(StoreRange{{{"k", "v", 7, 0, false}}, 10}));
    CHECK(bench.follower.known());
    REQUIRE(bench.store.watches.size() == 1);
    CHECK(bench.store.watches.begin()->second.from == 10);
    bench.change("a", 11);
    CHECK(bench.heard == std::vector<std::string>{"all 1", "+a"});
}

TEST_CASE("A follower goes on from where it was after a failure", "[follower]")
{
    Following bench;
    bench.begin();
    bench.change("a", 11);
    bench.store.endWatch(Errc::Unavailable);
    CHECK(bench.heard.back() == "lost");
    CHECK(bench.store.watches.empty());
    bench.runtime.advance(seconds(2));
    REQUIRE(bench.store.watches.size() == 1);
    CHECK(bench.store.watches.begin()->second.from == 11);
    SECTION("a change heard again is not told again")
    {
        bench.change("a", 11);
        CHECK(bench.heard.back() == "regained");
        bench.change("b", 12);
        CHECK(bench.heard.back() == "+b");
    }
    SECTION("one loss is told once, and pauses grow but stay below two seconds")
    {
        for (int attempt = 0; attempt < 10; ++attempt) {
            bench.store.endWatch(Errc::Unavailable);
            bench.runtime.advance(seconds(2));
            REQUIRE(bench.store.watches.size() == 1);
        }
        CHECK(std::count(bench.heard.begin(), bench.heard.end(), "lost") == 1);
    }
}

TEST_CASE("A follower reads all keys again where the history is gone", "[follower]")
{
    Following bench;
    bench.begin();
    bench.store.endWatch(Errc::WrongVersion);
    REQUIRE(bench.store.ranges.size() == 1);
    SECTION("the new listing replaces what was known")
    {
        bench.store.reply(bench.store.ranges, Result<StoreRange>(StoreRange{{}, 30}));
        CHECK(bench.heard.back() == "all 0");
        CHECK(bench.store.watches.begin()->second.from == 30);
    }
    SECTION("a listing older than what is known changes nothing")
    {
        bench.store.reply(bench.store.ranges, Result<StoreRange>(StoreRange{{}, 9}));
        CHECK(bench.heard.empty());
        CHECK(bench.store.watches.begin()->second.from == 10);
    }
    SECTION("a listing that fails is tried again")
    {
        bench.store.reply(bench.store.ranges, Result<StoreRange>(notRun(Errc::Unavailable, "away")));
        CHECK(bench.heard.back() == "lost");
        bench.runtime.advance(seconds(2));
        CHECK(bench.store.ranges.size() == 1);
    }
}

TEST_CASE("A follower that starts over ignores what was under way", "[follower]")
{
    Following bench;
    bench.begin();
    const auto old = bench.store.watches.begin()->second;
    bench.follower.restart();
    CHECK(bench.store.watches.empty());
    old.changed({"late", "v", 50, 0, false});
    old.ended(Failure{Errc::Unavailable, Verdict::NotRun, "late", Duration{0}});
    CHECK(bench.heard.empty());
    bench.store.reply(bench.store.ranges, Result<StoreRange>(StoreRange{{}, 12}));
    CHECK(bench.heard == std::vector<std::string>{"all 0"});
}

TEST_CASE("An instance's record is written under a lease that is renewed within its term", "[lease]")
{
    Leasing bench;
    bench.begin();
    CHECK(bench.lease.held());
    REQUIRE(bench.store.written.size() == 1);
    CHECK(bench.store.written.front().key == "instances/a");
    CHECK(bench.store.written.front().lease == 77);
    bench.runtime.advance(milliseconds(1100));
    REQUIRE(bench.store.keeps.size() == 1);
    CHECK(bench.store.kept == std::vector<std::int64_t>{77});
    SECTION("a record that is written again tells that the store answers, but renews no lease")
    {
        bench.lease.change("crowded");
        bench.store.reply(bench.store.commits, Result<StoreCommit>(StoreCommit{true, 6, {}}));
        CHECK(bench.lease.confirmedAt() == bench.runtime.now());
        bench.runtime.advance(milliseconds(2000));
        CHECK_FALSE(bench.lease.held());
    }
    SECTION("a renewal holds from when it was sent")
    {
        bench.runtime.advance(milliseconds(500));
        bench.store.reply(bench.store.keeps, Result<std::int64_t>(3));
        bench.runtime.advance(milliseconds(2300));
        CHECK(bench.lease.held());
        bench.runtime.advance(milliseconds(300));
        CHECK_FALSE(bench.lease.held());
    }
    SECTION("a renewal that fails is soon tried again, and told once")
    {
        bench.store.reply(bench.store.keeps, Unreachable);
        bench.runtime.advance(milliseconds(400));
        REQUIRE(bench.store.keeps.size() == 1);
        bench.store.reply(bench.store.keeps, Unreachable);
        CHECK(bench.lost == 1);
        bench.runtime.advance(milliseconds(400));
        bench.store.reply(bench.store.keeps, Result<std::int64_t>(3));
        CHECK(bench.regained == 1);
        CHECK(bench.lease.held());
    }
    SECTION("a lease that lapsed is replaced and the record written again")
    {
        bench.store.reply(bench.store.keeps, Result<std::int64_t>(notRun(Errc::NotFound, "no such lease")));
        REQUIRE(bench.store.grants.size() == 1);
        bench.store.reply(bench.store.grants, Result<std::int64_t>(78));
        REQUIRE(bench.store.written.size() == 2);
        CHECK(bench.store.written.back().lease == 78);
    }
}

TEST_CASE("An instance that leaves ends its lease and starts no other", "[lease]")
{
    Leasing bench;
    SECTION("while it holds one")
    {
        bench.begin();
        bench.lease.withdraw();
        CHECK(bench.store.revoked == std::vector<std::int64_t>{77});
        CHECK_FALSE(bench.lease.held());
    }
    SECTION("before it has one")
    {
        bench.lease.start("ready");
        bench.lease.withdraw();
        bench.store.reply(bench.store.grants, Result<std::int64_t>(77));
        CHECK(bench.store.written.empty());
    }
    bench.runtime.advance(seconds(20));
    CHECK(bench.store.keeps.empty());
    CHECK(bench.store.grants.empty());
}

TEST_CASE("An instance whose record could not be written begins anew", "[lease]")
{
    Leasing bench;
    bench.lease.start("ready");
    bench.store.reply(bench.store.grants, Unreachable);
    bench.runtime.advance(seconds(1));
    REQUIRE(bench.store.grants.size() == 1);
    bench.store.reply(bench.store.grants, Result<std::int64_t>(5));
    bench.store.reply(bench.store.commits, Result<StoreCommit>(mayHaveRun(Errc::ConnectionLost, "the reply was lost")));
    bench.runtime.advance(seconds(1));
    REQUIRE(bench.store.grants.size() == 1);
    bench.store.reply(bench.store.grants, Result<std::int64_t>(6));
    bench.store.reply(bench.store.commits, Result<StoreCommit>(StoreCommit{true, 9, {}}));
    CHECK(bench.lease.held());
    SECTION("a changed record is written under the same lease")
    {
        bench.lease.change("crowded");
        CHECK(bench.store.written.back().value == "crowded");
        CHECK(bench.store.written.back().lease == 6);
    }
}
