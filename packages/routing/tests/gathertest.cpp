#include <catch2/catch.hpp>

#include "routingfixture.h"

#include <burdock/routing/partmerge.h>

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
    SECTION("over several parts")
    {
        const std::string a = record('b') + record('d');
        const std::string b = record('c') + record('a');
        CHECK(greatestRecords({a, b}, 3) == record('d') + record('c') + record('b'));
    }
    SECTION("equal records all count")
    {
        CHECK(greatestRecords({record('x'), record('x')}, 5) == record('x') + record('x'));
    }
    SECTION("bytes compare as unsigned numbers")
    {
        const std::string high(RecordBytes, '\xff');
        CHECK(greatestRecords({record('z'), high}, 1) == high);
    }
    SECTION("a remainder is no record")
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
    SECTION("all parts: the answer leaves at once")
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
    SECTION("one part is late: the answer leaves just before the target and says so")
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
    SECTION("too few parts at the target: the answer leaves as soon as they suffice")
    {
        fixture.backends.answer(success(record('a')), "a1");
        fixture.backends.answer(success(record('b')), "b1");
        fixture.runtime.advance(milliseconds(500));
        CHECK_FALSE(fixture.answer);
        fixture.backends.answer(success(record('c')), "c1");
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->missing == 1);
    }
    SECTION("the share cannot be reached any more: it fails at once")
    {
        fixture.backends.answer(lostAtServer(), "a1");
        CHECK_FALSE(fixture.answer);
        fixture.backends.answer(lostAtServer(), "b1");
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->status == AnswerStatus::BadGateway);
    }
    SECTION("two answers with one signature are one part")
    {
        fixture.backends.answer(success(record('a'), "same"), "a1");
        fixture.backends.answer(success(record('b'), "same"), "b1");
        fixture.backends.answer(success(record('c')), "c1");
        fixture.backends.answer(success(record('d')), "d1");
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->signatures.size() == 3);
        CHECK(fixture.answer->missing == 1);
    }
    SECTION("a server's failure is no part, though it is signed")
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

TEST_CASE("A shard without servers is left out without waiting for it", "[gather]")
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

TEST_CASE("A request to shards of which too many have no server is refused at once", "[gather][refusal]")
{
    RoutingFixture fixture;
    Route route = fixture.shardRoute({"a", "b"}, 0.75);
    route.shards.emplace_back("deserted");
    fixture.setRoutes({route});
    SECTION("some shards were asked: that is no refusal")
    {
        fixture.sendRequest("all");
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Failed);
    }
    SECTION("none was asked")
    {
        route.shards = {ServiceName("deserted"), ServiceName("deserted too")};
        fixture.setRoutes({route});
        fixture.sendRequest("all");
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    }
}

TEST_CASE("All parts of an answer come from the shards of one version", "[gather][config]")
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

TEST_CASE("A paused server of one shard does not delay the answer where another region can give the part", "[gather][hedge]")
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
