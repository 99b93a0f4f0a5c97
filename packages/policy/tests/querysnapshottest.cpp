#include "queryfixture.h"

#include <random>

using namespace Burdock;
using namespace std::chrono_literals;

TEST_CASE("All shards are read at the version with the largest coverage", "[policy][query][snapshot]")
{
    QueryFixture fixture;
    for (auto &[name, server] : fixture.shards.servers()) {
        server.window = {5, 7};
    }
    fixture.shards.server("s0r0").window = {6, 8};
    const auto &answer = fixture.runQuery();
    REQUIRE(answer);
    CHECK(answer->snapshot.version == 7);
    CHECK(answer->coverage.complete());
}

TEST_CASE("A query restarts at a newer snapshot when its own is dropped", "[policy][query][snapshot]")
{
    QueryFixture fixture;
    fixture.runQuery();
    SECTION("the index version is switched between pin and answer")
    {
        fixture.start();
        fixture.runtime.advance(1ms);
        for (auto &[name, server] : fixture.shards.servers()) {
            server.window = {2, 3};
        }
    }
    SECTION("the index is repartitioned, and the servers follow at once")
    {
        fixture.start();
        fixture.runtime.advance(1ms);
        fixture.repartition(2, 3, 2);
        for (auto &[name, server] : fixture.shards.servers()) {
            server.mapGeneration = 2;
        }
    }
    SECTION("the servers are repartitioned before the configuration changes")
    {
        for (auto &[name, server] : fixture.shards.servers()) {
            server.mapGeneration = 2;
        }
        fixture.start();
        fixture.runtime.advance(50ms);
        CHECK_FALSE(fixture.result);
        fixture.repartition(2, 3, 2);
    }
    fixture.runtime.advance(5s);
    REQUIRE(fixture.result);
    REQUIRE(*fixture.result);
    const QueryAnswer &answer = **fixture.result;
    CHECK(answer.coverage.complete());
    CHECK(fixture.counters.restarts >= 1);
    CHECK(fixture.findViolation(answer, 20).empty());
}

TEST_CASE("A shard is listed as missing when no replica holds the snapshot and no newer one exists", "[policy][query][snapshot]")
{
    QueryFixture fixture;
    fixture.rule.partialAllowed = true;
    fixture.rule.leastCoverage = 0.5;
    fixture.redeclareRule();
    fixture.runQuery();
    for (const std::string name : {"s0r0", "s0r1"}) {
        fixture.shards.server(name).window = {9, 9};
    }
    const auto &answer = fixture.runQuery();
    REQUIRE(answer);
    CHECK(answer->snapshot.version == 1);
    CHECK(answer->coverage.missing == std::vector<ShardId>{ShardId("g1s0")});
    CHECK(fixture.findViolation(*answer, 20).empty());
}

namespace
{

/// Draws a random fault, most often None.
ShardFault drawFault(std::mt19937 &random)
{
    constexpr int FaultCount = static_cast<int>(ShardFault::WrongTotal) + 1;
    const int drawn = std::uniform_int_distribution<int>(0, 3 * FaultCount)(random);
    return drawn < FaultCount ? static_cast<ShardFault>(drawn) : ShardFault::None;
}

void changeServers(QueryFixture &fixture, std::mt19937 &random, std::uint64_t &version, std::uint64_t &generation)
{
    const int what = std::uniform_int_distribution<int>(0, 3)(random);
    if (what == 0) {
        ++version;
    } else if (what == 1) {
        ++generation;
        fixture.repartition(generation, 2 + random() % 5, 2);
    }
    for (auto &[name, server] : fixture.shards.servers()) {
        if (random() % 4 != 0) {
            server.window = {version > 1 ? version - 1 : 1, version};
            server.mapGeneration = generation;
        }
        server.fault = drawFault(random);
        server.latency = Duration{std::uniform_int_distribution<int>(500, 60000)(random)};
    }
}

} // namespace

TEST_CASE("Answers stay correct under random faults, version switches and repartitions", "[policy][query][snapshot][coverage]")
{
    constexpr unsigned FirstSeed = 20261204;
    constexpr unsigned Rounds = 400;
    unsigned answers = 0;
    unsigned partial = 0;
    unsigned restarted = 0;
    for (unsigned seed = FirstSeed; seed < FirstSeed + Rounds; ++seed) {
        std::mt19937 random(seed);
        QueryFixture fixture(2 + seed % 7, 2 + seed % 2);
        fixture.rule.partialAllowed = seed % 3 != 0;
        fixture.rule.leastCoverage = 0.2;
        fixture.redeclareRule();
        std::uint64_t version = 1;
        std::uint64_t generation = 1;
        const std::uint32_t limit = seed % 2 == 0 ? 15 : 120;
        for (int query = 0; query < 4; ++query) {
            fixture.start(limit);
            for (int step = 0; step < 4; ++step) {
                fixture.runtime.advance(Duration{static_cast<int>(random() % 40000)});
                changeServers(fixture, random, version, generation);
            }
            fixture.runtime.advance(5s);
            REQUIRE(fixture.result);
            if (*fixture.result) {
                INFO("seed " << seed << ", query " << query);
                CHECK(fixture.findViolation(**fixture.result, limit) == "");
                ++answers;
                partial += (*fixture.result)->coverage.complete() ? 0 : 1;
            }
        }
        restarted += fixture.counters.restarts > 0 ? 1 : 0;
    }
    CHECK(answers > Rounds);
    CHECK(partial > 0);
    CHECK(restarted > 0);
}
