#include <burdock/values/address.h>
#include <burdock/values/manualruntime.h>
#include <burdock/values/rank.h>
#include <burdock/values/snapshot.h>

#include <catch2/catch.hpp>

using namespace Burdock;

TEST_CASE("An address is an IP address and a port", "[values][address]")
{
    SECTION("IPv4 and IPv6 addresses are parsed and formatted")
    {
        for (const std::string text : {"127.0.0.1:80", "[::1]:8080"}) {
            REQUIRE(Address::parse(text));
            CHECK(Address::parse(text)->toString() == text);
        }
    }
    SECTION("invalid addresses are rejected")
    {
        for (const std::string text : {"", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x", "::1"}) {
            INFO(text);
            REQUIRE_FALSE(Address::parse(text));
            CHECK(Address::parse(text).error().verdict == Verdict::NotRun);
        }
    }
}

TEST_CASE("The manual runtime fires timers only when time is advanced", "[values][runtime]")
{
    ManualRuntime runtime;
    std::vector<int> fired;
    runtime.schedule(Duration{20}, [&] { fired.push_back(2); });
    runtime.schedule(Duration{10}, [&] {
        fired.push_back(1);
        runtime.schedule(Duration{5}, [&] { fired.push_back(3); });
    });
    const TimerId cancelled = runtime.schedule(Duration{1}, [&] { fired.push_back(9); });
    runtime.cancel(cancelled);
    CHECK(fired.empty());
    runtime.advance(Duration{12});
    CHECK(fired == std::vector<int>{1});
    runtime.advance(Duration{12});
    CHECK(fired == std::vector<int>{1, 3, 2});

    SECTION("timers due during a freeze fire at the next advance")
    {
        runtime.schedule(Duration{1}, [&] { fired.push_back(4); });
        runtime.freezeFor(Duration{100});
        CHECK(fired.size() == 3);
        runtime.advance(Duration{0});
        CHECK(fired.size() == 4);
    }
}

TEST_CASE("A shard map is complete only if its shards cover the key space without gap or overlap", "[values][shardmap]")
{
    const auto shard = [](std::string id, std::uint64_t begin, std::uint64_t end) {
        return Shard{ShardId(std::move(id)), KeyRange{begin, end}, {ServerId("s")}};
    };
    CHECK(ShardMap{1, {shard("b", KeySpace / 2, KeySpace), shard("a", 0, KeySpace / 2)}}.isComplete());
    CHECK_FALSE(ShardMap{1, {}}.isComplete());
    CHECK_FALSE(ShardMap{1, {shard("a", 0, KeySpace / 2)}}.isComplete());
    CHECK_FALSE(ShardMap{1, {shard("a", 0, KeySpace / 2 + 1), shard("b", KeySpace / 2, KeySpace)}}.isComplete());
    CHECK_FALSE(ShardMap{1, {Shard{ShardId("a"), KeyRange{0, KeySpace}, {}}}}.isComplete());
}

TEST_CASE("The coverage fraction is 1 only if nothing is missing", "[values][coverage]")
{
    CHECK(Coverage{KeySpace, {}}.fraction() == 1.0);
    CHECK(Coverage{KeySpace - 1, {ShardId("a")}}.fraction() < 1.0);
    CHECK(Coverage{0, {ShardId("a")}}.fraction() == 0.0);
}

TEST_CASE("Names of ranks, verdicts and errors convert back to their values", "[values][names]")
{
    for (const Rank rank : AllRanks) {
        CHECK(rankFromName(rankName(rank)) == rank);
    }
    for (const Verdict verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran}) {
        CHECK(verdictFromName(verdictName(verdict)) == verdict);
    }
    for (int code = 0; code <= static_cast<int>(Errc::Internal); ++code) {
        CHECK(errcFromName(errcName(static_cast<Errc>(code))) == static_cast<Errc>(code));
    }
    CHECK(errcFromName("fromTheFuture") == Errc::Internal);
    CHECK(std::error_code(Errc::Draining).message() == "draining");
}
