#include <catch2/catch.hpp>

#include "routingfixture.h"

#include <burdock/routing/partmerge.h>

#include <algorithm>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// A record of sixteen equal bytes.
std::string record(char letter)
{
    return std::string(RecordBytes, letter);
}

} // namespace

TEST_CASE("The greatest records of all parts are merged, greatest first", "[gather][merge]")
{
    SECTION("records are merged over several parts")
    {
        const std::string a = record('b') + record('d');
        const std::string b = record('c') + record('a');
        CHECK(greatestRecords({a, b}, 3) == record('d') + record('c') + record('b'));
    }
    SECTION("duplicates are kept")
    {
        CHECK(greatestRecords({record('x'), record('x')}, 5) == record('x') + record('x'));
    }
    SECTION("bytes compare as unsigned numbers")
    {
        const std::string high(RecordBytes, '\xff');
        CHECK(greatestRecords({record('z'), high}, 1) == high);
    }
    SECTION("an incomplete record is ignored")
    {
        CHECK(greatestRecords({record('a') + "zzzz"}, 2) == record('a'));
        CHECK(greatestRecords({}, 2).empty());
    }
}

TEST_CASE("An answer is gathered from one server of each shard", "[gather]")
{
    RoutingFixture fixture;
    fixture.setRoutes({fixture.shardRoute({"a", "b", "c", "d"}, 0.75)});
    fixture.sendRequest("all");
    REQUIRE(fixture.backends.open.size() == 4);
    SECTION("the answer is sent immediately when all parts are present")
    {
        for (const char letter : {'a', 'b', 'c', 'd'}) {
            CHECK_FALSE(fixture.answer);
            fixture.backends.answer(success(record(letter)));
        }
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Gathered);
        CHECK(fixture.answer->signatures.size() == 4);
        CHECK(fixture.answer->missing == 0);
        CHECK(fixture.answer->body == record('d') + record('c'));
    }
    SECTION("with one late part the answer is sent just before the target time and reports a missing part")
    {
        for (const char *server : {"a1", "b1", "c1"}) {
            fixture.backends.answer(success(record(server[0])), server);
        }
        fixture.runtime.advance(milliseconds(150));
        CHECK_FALSE(fixture.answer);
        fixture.runtime.advance(milliseconds(49));
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->signatures.size() == 3);
        CHECK(fixture.answer->missing == 1);
        CHECK(fixture.answer->body == record('c') + record('b'));
    }
    SECTION("with too few parts at the target time the answer is sent once the minimum share is reached")
    {
        fixture.backends.answer(success(record('a')), "a1");
        fixture.backends.answer(success(record('b')), "b1");
        fixture.runtime.advance(milliseconds(500));
        CHECK_FALSE(fixture.answer);
        fixture.backends.answer(success(record('c')), "c1");
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->missing == 1);
    }
    SECTION("the request fails as soon as the minimum share is out of reach")
    {
        fixture.backends.answer(lostAtServer(), "a1");
        CHECK_FALSE(fixture.answer);
        fixture.backends.answer(lostAtServer(), "b1");
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->status == AnswerStatus::BadGateway);
    }
    SECTION("two responses with the same signature count as one part")
    {
        fixture.backends.answer(success(record('a'), "same"), "a1");
        fixture.backends.answer(success(record('b'), "same"), "b1");
        fixture.backends.answer(success(record('c')), "c1");
        fixture.backends.answer(success(record('d')), "d1");
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->signatures.size() == 3);
        CHECK(fixture.answer->missing == 1);
    }
    SECTION("a signed failure of a server does not count as a part")
    {
        fixture.backends.answer(ServerReply{500, "signed", {}, record('z')}, "a1");
        for (const char *server : {"b1", "c1", "d1"}) {
            fixture.backends.answer(success(record(server[0])), server);
        }
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->missing == 1);
        CHECK(fixture.answer->body == record('d') + record('c'));
    }
}

TEST_CASE("A request is refused before anything is sent if there are no connections left for all its shards", "[gather][refusal]")
{
    RoutingFixture fixture;
    fixture.setRoutes({fixture.shardRoute({"a", "b", "c", "d"}, 0.75)});
    fixture.backends.room = 3;
    fixture.sendRequest("all");
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    CHECK(fixture.answer->status == 503);
    CHECK(fixture.answer->retryAfter > Duration{0});
    CHECK(fixture.backends.all == 0);
    CHECK(fixture.counters.refusedForConnections == 1);
    fixture.answer.reset();
    fixture.backends.room = 4;
    fixture.sendRequest("all");
    CHECK_FALSE(fixture.answer);
    CHECK(fixture.backends.open.size() == 4);
}

TEST_CASE("Long parts are not kept until the last one has arrived", "[gather][merge]")
{
    constexpr std::size_t Records = 5000;
    RoutingFixture fixture;
    fixture.setRoutes({fixture.shardRoute({"a", "b", "c", "d"}, 0.75)});
    fixture.sendRequest("all");
    REQUIRE(fixture.backends.open.size() == 4);
    std::vector<std::weak_ptr<const std::string>> parts;
    for (const char letter : {'c', 'd', 'a'}) {
        std::string records;
        for (std::size_t index = 0; index < Records; ++index) {
            records += record('A');
        }
        const auto part = std::make_shared<const std::string>(records + record(letter));
        parts.emplace_back(part);
        ServerReply reply = success({}, std::string(1, letter));
        reply.body = SharedText(part);
        fixture.backends.answer(std::move(reply), std::string(1, letter) + "1");
    }
    CHECK(std::all_of(parts.begin(), parts.end(), [](const auto &part) { return part.expired(); }));
    CHECK_FALSE(fixture.answer);
    fixture.backends.answer(success(record('b')), "b1");
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->signatures.size() == 4);
    CHECK(fixture.answer->body == record('d') + record('c'));
}

TEST_CASE("A shard without servers is skipped without waiting", "[gather]")
{
    RoutingFixture fixture;
    Route route = fixture.shardRoute({"a", "b", "c"}, 0.75);
    route.shards.emplace_back("deserted");
    fixture.setRoutes({route});
    fixture.sendRequest("all");
    for (const char *server : {"a1", "b1", "c1"}) {
        fixture.backends.answer(success(record(server[0])), server);
    }
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->missing == 1);
}

TEST_CASE("A request is answered immediately if too many shards have no server", "[gather][refusal]")
{
    RoutingFixture fixture;
    Route route = fixture.shardRoute({"a", "b"}, 0.75);
    route.shards.emplace_back("deserted");
    fixture.setRoutes({route});
    SECTION("it fails if it was sent to some shards")
    {
        fixture.sendRequest("all");
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Failed);
    }
    SECTION("it is refused if it was sent to no shard")
    {
        route.shards = {ServiceName("deserted"), ServiceName("deserted too")};
        fixture.setRoutes({route});
        fixture.sendRequest("all");
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    }
}

TEST_CASE("A request keeps the shards of one configuration version", "[gather][config]")
{
    RoutingFixture fixture;
    fixture.setRoutes({fixture.shardRoute({"a", "b"}, 1)});
    fixture.sendRequest("all");
    fixture.setRoutes({fixture.shardRoute({"c", "d"}, 1)});
    REQUIRE(fixture.backends.open.size() == 2);
    fixture.backends.answer(success(record('a')), "a1");
    fixture.backends.answer(success(record('b')), "b1");
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->body == record('b') + record('a'));
    fixture.sendRequest("all");
    CHECK(fixture.backends.isOpenAt("c1"));
    CHECK(fixture.backends.isOpenAt("d1"));
}

TEST_CASE("A paused server of one shard does not delay the answer if another region has the shard", "[gather][hedge]")
{
    RoutingFixture fixture;
    Route route = fixture.shardRoute({"a", "b", "c", "d"}, 0.75);
    fixture.addServer("a2", "a", RoutingFixture::Far);
    fixture.setRoutes({route});
    fixture.sendRequest("all");
    for (const char *server : {"b1", "c1", "d1"}) {
        fixture.backends.answer(success(record(server[0])), server);
    }
    fixture.runtime.advance(milliseconds(120));
    REQUIRE(fixture.backends.isOpenAt("a2"));
    fixture.backends.answer(success(record('a')), "a2");
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->missing == 0);
}

TEST_CASE("An answer to a client that has waited already leaves earlier, so that it is in time for the client", "[gather][age]")
{
    RoutingFixture fixture;
    fixture.setRoutes({fixture.shardRoute({"a", "b", "c", "d"}, 0.75)});
    const auto answerAll = [&fixture] {
        for (const char letter : {'a', 'b', 'c', 'd'}) {
            fixture.backends.answer(success(record(letter)), std::string(1, letter) + "1");
        }
    };
    for (int request = 0; request < 10; ++request) {
        fixture.sendRequest("all", milliseconds(800));
        answerAll();
        fixture.runtime.advance(milliseconds(500));
    }
    const auto answeredAfter = [&fixture](Duration timeLeft) {
        fixture.sendRequest("all", timeLeft);
        for (const char *server : {"a1", "b1", "c1"}) {
            fixture.backends.answer(success(record(server[0])), server);
        }
        const TimePoint sent = fixture.runtime.now();
        while (!fixture.answer) {
            fixture.runtime.advance(milliseconds(1));
        }
        CHECK(fixture.answer->missing == 1);
        return std::chrono::duration_cast<milliseconds>(fixture.runtime.now() - sent).count();
    };
    const auto onTime = answeredAfter(milliseconds(800));
    SECTION("a client that opened a connection first")
    {
        CHECK(answeredAfter(milliseconds(775)) == onTime - 25);
    }
    SECTION("a client for which the target is out of reach gets the usual time")
    {
        CHECK(answeredAfter(milliseconds(620)) == onTime);
    }
}
