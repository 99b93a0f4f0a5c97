#include "queryfixture.h"

using namespace Burdock;
using namespace std::chrono_literals;

TEST_CASE("A query returns the exact top hits of all shards", "[policy][query]")
{
    for (const std::uint32_t limit : {1U, 20U, 150U, 1000U}) {
        QueryFixture fixture;
        const auto &answer = fixture.runQuery(limit);
        INFO("limit " << limit);
        REQUIRE(answer);
        CHECK(answer->coverage.complete());
        CHECK(fixture.findViolation(*answer, limit).empty());
        CHECK(fixture.counters.complete == 1);
    }
}

TEST_CASE("An invalid query is refused as NotRun", "[policy][query]")
{
    QueryFixture fixture;
    struct Row
    {
        Query query;
        Errc code;
    };
    const Query valid{CallerId("technician"), IndexName("parts"), "belt", 20, std::nullopt};
    std::vector<Row> rows(5, Row{valid, Errc::Ok});
    rows[0].query.caller = CallerId("stranger");
    rows[0].code = Errc::UnknownCaller;
    rows[1].query.index = IndexName("nowhere");
    rows[1].code = Errc::NotFound;
    rows[2].query.limit = 0;
    rows[2].code = Errc::BadRequest;
    rows[3].query.deadline = Duration{-1};
    rows[3].code = Errc::DeadlineExceeded;
    rows[4].query.text = std::string(5000, 'x');
    rows[4].code = Errc::TooLarge;
    for (const Row &row : rows) {
        fixture.coordinator.submit(row.query, [&row](const Result<QueryAnswer> &result) {
            REQUIRE_FALSE(result);
            CHECK(result.error().code == row.code);
            CHECK(result.error().verdict == Verdict::NotRun);
        });
    }
    CHECK(fixture.shards.sent == 0);
    fixture.configuration = nullptr;
    fixture.coordinator.submit(valid, [](const Result<QueryAnswer> &result) { CHECK(result.error().code == Errc::NotReady); });
}

TEST_CASE("A single faulty replica does not reduce coverage", "[policy][query]")
{
    const auto fault = GENERATE(ShardFault::Silent,
                                ShardFault::Lost,
                                ShardFault::Shed,
                                ShardFault::Short,
                                ShardFault::Unsorted,
                                ShardFault::Doubled,
                                ShardFault::OtherShard,
                                ShardFault::OtherVersion,
                                ShardFault::WrongTotal);
    QueryFixture fixture;
    fixture.runQuery();
    fixture.shards.server("s1r0").fault = fault;
    const auto &answer = fixture.runQuery(1000);
    INFO("fault " << static_cast<int>(fault));
    REQUIRE(answer);
    CHECK(answer->coverage.complete());
    CHECK(fixture.findViolation(*answer, 1000).empty());
    CHECK(fixture.counters.hedges + fixture.counters.retries >= 1);
}

TEST_CASE("A shard without a working replica is listed as missing or the query is refused", "[policy][query][coverage]")
{
    const auto fault = GENERATE(ShardFault::Silent, ShardFault::Lost, ShardFault::Short, ShardFault::OtherVersion);
    QueryFixture fixture;
    fixture.runQuery();
    fixture.shards.server("s1r0").fault = fault;
    fixture.shards.server("s1r1").fault = fault;

    SECTION("a caller that allows partial answers gets one by the deadline")
    {
        fixture.rule.partialAllowed = true;
        fixture.rule.leastCoverage = 0.5;
        fixture.redeclareRule();
        const TimePoint before = fixture.runtime.now();
        fixture.start();
        fixture.runtime.advance(fixture.rule.longestWait);
        REQUIRE(fixture.result);
        REQUIRE(*fixture.result);
        const QueryAnswer &answer = **fixture.result;
        CHECK(answer.coverage.fraction() == 0.75);
        CHECK(answer.coverage.missing == std::vector<ShardId>{ShardId("g1s1")});
        CHECK(fixture.findViolation(answer, 20).empty());
        CHECK(answer.took <= fixture.runtime.now() - before);
    }
    SECTION("a caller that requires full coverage is refused at its deadline with the names of the missing shards")
    {
        const auto &answer = fixture.runQuery();
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == Errc::CoverageTooLow);
        CHECK(answer.error().verdict == Verdict::MayHaveRun);
        CHECK(answer.error().message.find("g1s1") != std::string::npos);
    }
    SECTION("partial answers below the declared minimum coverage are refused")
    {
        fixture.rule.partialAllowed = true;
        fixture.rule.leastCoverage = 0.9;
        fixture.redeclareRule();
        CHECK_FALSE(fixture.runQuery());
    }
}

TEST_CASE("A refusal has the verdict NotRun only if every attempt had it", "[policy][query][verdict]")
{
    QueryFixture fixture;
    fixture.runQuery();
    for (auto &[name, server] : fixture.shards.servers()) {
        server.fault = ShardFault::Shed;
    }
    CHECK(fixture.runQuery().error().verdict == Verdict::NotRun);
    fixture.shards.server("s2r1").fault = ShardFault::Lost;
    CHECK(fixture.runQuery().error().verdict == Verdict::MayHaveRun);
}

TEST_CASE("A slow attempt is hedged once and the losing attempt is cancelled", "[policy][query][hedge]")
{
    QueryFixture fixture;
    fixture.runQuery();
    fixture.shards.server("s0r0").latency = 150ms;
    const int before = fixture.shards.cancelled;
    const auto &answer = fixture.runQuery();
    REQUIRE(answer);
    CHECK(answer->took < 60ms);
    CHECK(fixture.counters.hedges >= 1);
    CHECK(fixture.shards.cancelled > before);

    SECTION("no hedge is sent without tokens")
    {
        fixture.tactics.hedges = false;
        const auto hedges = fixture.counters.hedges;
        fixture.runQuery();
        CHECK(fixture.counters.hedges == hedges);
    }
}

TEST_CASE("Abandoning a query cancels all its sub-requests", "[policy][query]")
{
    QueryFixture fixture;
    fixture.runQuery();
    const int before = fixture.shards.cancelled;
    const std::uint64_t number = fixture.start();
    fixture.runtime.advance(1ms);
    fixture.coordinator.abandon(number);
    CHECK(fixture.shards.cancelled - before == 4);
    CHECK(fixture.coordinator.running() == 0);
    fixture.runtime.advance(5s);
    CHECK_FALSE(fixture.result);
}
