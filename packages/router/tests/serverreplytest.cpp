#include <burdock/router/httpbackends.h>
#include <burdock/router/instancecodec.h>
#include <burdock/router/relaycodec.h>

#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

#include "../../../tests/manualclient.h"
#include <unistd.h>

using namespace Burdock;

namespace
{

const HeaderNames Names{"x-id", "x-left", "x-sign", "x-target", "x-notrun", "x-server", "X-Parts", "X-Missing", "x-limit", "x-leaving"};
const ServerEntry Server{ServerId("p1"), ServiceName("parts"), Address{"10.0.0.1", 80}, DataCentre("a"), false, 4, Duration{0}, 1};

struct ReplyCase
{
    std::string name;
    HttpResponse response;
    /// The verdict of the failure, or nothing if the response is a reply.
    std::optional<Verdict> verdict;
};

} // namespace

TEST_CASE("A server's response is converted to a reply or to a failure with a verdict", "[backends]")
{
    const std::vector<ReplyCase> cases{
        {"a signed success", {200, {{"x-sign", "s"}}, "body"}, std::nullopt},
        {"a success without a signature", {200, {}, "body"}, Verdict::MayHaveRun},
        {"a success with an encoded body", {200, {{"x-sign", "s"}, {"content-encoding", "gzip"}}, "body"}, Verdict::MayHaveRun},
        {"an overloaded server with the not-run header", {503, {{"x-notrun", "1"}}, ""}, Verdict::NotRun},
        {"an overloaded server without the not-run header", {503, {}, ""}, std::nullopt},
        {"another server uses the address", {421, {{"x-server", "p9"}}, ""}, Verdict::NotRun},
        {"a request that ran and failed", {500, {{"x-sign", "s"}}, ""}, std::nullopt},
    };
    for (const ReplyCase &each : cases) {
        INFO(each.name);
        const auto reply = HttpBackends::interpretResponse(Names, Server, each.response);
        REQUIRE(reply.has_value() == !each.verdict.has_value());
        if (each.verdict) {
            CHECK(reply.error().verdict == *each.verdict);
        } else {
            CHECK(reply->status == each.response.status);
            CHECK(reply->body == each.response.body);
        }
    }
    SECTION("a connection failure is passed on unchanged")
    {
        const auto reply = HttpBackends::interpretResponse(Names, Server, notRun(Errc::Unavailable, "refused"));
        CHECK(reply.error().verdict == Verdict::NotRun);
    }
}

TEST_CASE("Hop-by-hop headers are removed, including those listed in Connection", "[backends]")
{
    std::map<std::string, std::string> headers{
        {"connection", "close, X-Hop"}, {"x-hop", "1"}, {"keep-alive", "timeout=5"}, {"transfer-encoding", "chunked"}, {"x-kept", "1"}};
    removeConnectionHeaders(headers);
    CHECK(headers == std::map<std::string, std::string>{{"x-kept", "1"}});
}

TEST_CASE("An instance's record is unchanged after encoding and decoding", "[codec]")
{
    InstanceRecord record{InstanceId("front-1"), Address{"10.0.0.1", 80}, Address{"10.0.0.1", 90}, Region("home"), DataCentre("a"), true, 0.25, true, {7, 3}};
    record.cutOff = GENERATE(true, false);
    record.followsEmptied = !record.cutOff;
    const auto read = readInstance(writeInstance(record));
    REQUIRE(read);
    CHECK(*read == record);
    for (const char *bad : {"", "{}", "[1]", "{\"id\":1}", R"({"id":"x","address":"nowhere","peers":"1.2.3.4:5"})"}) {
        INFO(bad);
        CHECK_FALSE(readInstance(bad));
    }
}

TEST_CASE("An instance's record of an older version says that the instance is not cut off", "[codec]")
{
    const auto read = readInstance(
        R"({"id":"front-1","address":"10.0.0.1:80","peers":"10.0.0.1:90","region":"home","dataCentre":"a","ready":true,"cores":1,"crowded":false})");
    REQUIRE(read);
    CHECK_FALSE(read->cutOff);
}

TEST_CASE("Changes with binary values are unchanged after encoding and decoding", "[codec][relay]")
{
    const std::vector<StoreEntry> entries{{"k", std::string("\x00\xff", 2), 12, 3, false}, {"gone", "", 13, 0, true}};
    const auto read = readChanges(writeChanges(entries));
    REQUIRE(read);
    CHECK(*read == entries);
    CHECK(readChanges(writeChanges({}))->empty());
    for (const char *bad : {"", "x", "\x81\x01"}) {
        CHECK_FALSE(readChanges(bad));
    }
}

TEST_CASE("A limit that a server names is read from any response, and a malformed one is an error", "[backends][limit]")
{
    const auto read = [](const std::string &value) { return HttpBackends::readLimit(Names, HttpResponse{503, {{"x-limit", value}}, ""}); };
    CHECK(read("34.9").value() == 34.9);
    CHECK(read("0").value() == 0.0);
    CHECK_FALSE(HttpBackends::readLimit(Names, HttpResponse{200, {}, ""}).value());
    for (const char *malformed : {"-1", "nan", "inf", "12,5", "12 a second", "1e999"}) {
        INFO(malformed);
        CHECK_FALSE(read(malformed));
    }
}

TEST_CASE("The load that a server tells is read from any response, and a malformed one is an error", "[backends][load]")
{
    HeaderNames names = Names;
    names.serverLoad = "x-load";
    const auto read = [&names](const std::string &value) { return HttpBackends::readLoad(names, HttpResponse{503, {{"x-load", value}}, ""}); };
    CHECK(read("3,2,4").value() == ToldLoad{3, 2, 4, 1});
    CHECK(read("3, 2, 4, 250").value() == ToldLoad{3, 2, 4, 2.5});
    CHECK(read("0,0,1,0").value() == ToldLoad{0, 0, 1, 1});
    CHECK_FALSE(HttpBackends::readLoad(names, HttpResponse{200, {}, ""}).value());
    CHECK_FALSE(HttpBackends::readLoad(Names, HttpResponse{200, {{"x-load", "3,2,4"}}, ""}).value());
    for (const char *malformed : {",", "3,2", "3,2,0", "-1,2,4", "3,2,4,nan", "3,2,4,inf", "3,2,4,100,3,2,4", "3;2;4", "9999999,0,4", "a,b,c"}) {
        INFO(malformed);
        CHECK_FALSE(read(malformed));
    }
}

TEST_CASE("The time for which a server that turns requests away wants none is read as seconds, and nothing else", "[backends][notices]")
{
    const auto read = [](int status, const std::string &value) { return HttpBackends::readPause(HttpResponse{status, {{"retry-after", value}}, ""}); };
    CHECK(read(503, "2").value() == std::chrono::seconds(2));
    CHECK(read(503, "0.25").value() == std::chrono::milliseconds(250));
    CHECK(read(503, "0").value() == Duration{0});
    CHECK_FALSE(read(200, "2").value());
    CHECK_FALSE(HttpBackends::readPause(HttpResponse{503, {}, ""}).value());
    CHECK(read(503, "1e300").value() == std::chrono::hours(1));
    for (const char *value : {"-1", "soon", "2s", "nan", "inf", "1e999", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        INFO(value);
        CHECK_FALSE(read(503, value));
    }
}

TEST_CASE("A server's word on further requests counts on each of its answers, also late and failed ones", "[backends][notices]")
{
    ManualRuntime runtime;
    ManualClient client;
    DecisionLog log{runtime, STDERR_FILENO, "test"};
    std::vector<ServerHints> heard;
    HttpBackends backends(
        runtime, client, Names, [&heard](const ServerEntry &, const ServerHints &hints) { heard.push_back(hints); }, log);
    const auto server = std::make_shared<const ServerEntry>(Server);
    const auto request = std::make_shared<const ClientRequest>(ClientRequest{"1", "GET", "/parts/x", {{"x-id", "1"}}, "", runtime.now(), {}});
    const auto send = [&] { backends.send(server, request, runtime.now() + std::chrono::seconds(1), [](const Result<ServerReply> &) {}); };
    send();
    send();
    client.answer(HttpResponse{200, {{"x-sign", "s"}, {"x-leaving", "1"}}, "body"});
    client.answer(HttpResponse{503, {{"x-notrun", "1"}, {"retry-after", "3"}}, ""});
    REQUIRE(heard.size() == 2);
    CHECK(heard[0].leaving);
    CHECK_FALSE(heard[0].pause);
    CHECK_FALSE(heard[1].leaving);
    CHECK(heard[1].pause == std::chrono::seconds(3));
    SECTION("what cannot be read changes nothing")
    {
        send();
        client.answer(HttpResponse{503, {{"x-limit", "many"}, {"retry-after", "later"}, {"x-leaving", "maybe"}}, ""});
        REQUIRE(heard.size() == 3);
        CHECK_FALSE(heard[2].limitKnown);
        CHECK_FALSE(heard[2].pause);
        CHECK_FALSE(heard[2].leaving);
    }
    SECTION("another server at the address says nothing of this one")
    {
        send();
        client.answer(HttpResponse{421, {{"x-leaving", "1"}}, ""});
        CHECK(heard.size() == 2);
    }
}

TEST_CASE("A response counts only if each header that decides something is there once", "[backends][late]")
{
    ManualRuntime runtime;
    ManualClient client;
    DecisionLog log{runtime, STDERR_FILENO, "test"};
    HttpBackends backends(
        runtime, client, Names, [](const ServerEntry &, const ServerHints &) {}, log);
    const auto server = std::make_shared<const ServerEntry>(Server);
    const auto request = std::make_shared<const ClientRequest>(ClientRequest{"1", "POST", "/parts/x", {{"x-id", "1"}}, "", runtime.now(), {}});
    backends.send(server, request, runtime.now() + std::chrono::seconds(1), [](const Result<ServerReply> &) {});
    const auto isReply = client.calls.begin()->second.first.isReplyToRequest;
    const HttpResponse success{200, {{"x-id", "1"}, {"x-sign", "s"}, {"set-cookie", "a, b"}}, "", {"set-cookie"}};
    CHECK(isReply(success));
    for (const char *name : {"x-id", "x-sign", "x-notrun", "x-server", "x-limit", "x-leaving", "retry-after"}) {
        INFO(name);
        HttpResponse twice = success;
        twice.headers.emplace(name, "1, 1");
        twice.repeatedHeaders.insert(name);
        CHECK_FALSE(isReply(twice));
    }
    CHECK_FALSE(isReply({200, {{"x-id", "2"}, {"x-sign", "s"}}, ""}));
    CHECK_FALSE(isReply({200, {{"x-id", ""}, {"x-sign", "s"}}, ""}));
}

TEST_CASE("A refusal counts only if it names the request that was refused", "[backends][late]")
{
    ManualRuntime runtime;
    ManualClient client;
    DecisionLog log{runtime, STDERR_FILENO, "test"};
    HttpBackends backends(
        runtime, client, Names, [](const ServerEntry &, const ServerHints &) {}, log);
    const auto server = std::make_shared<const ServerEntry>(Server);
    const auto send = [&](const std::string &id) {
        client.calls.clear();
        const auto request = std::make_shared<const ClientRequest>(ClientRequest{id, "POST", "/parts/x", {}, "", runtime.now(), {}});
        backends.send(server, request, runtime.now() + std::chrono::seconds(1), [](const Result<ServerReply> &) {});
        return client.calls.begin()->second.first.isReplyToRequest;
    };
    auto isReply = send("1");
    for (const HttpResponse &refusal : {HttpResponse{503, {{"x-notrun", "1"}}, ""}, HttpResponse{421, {{"x-server", "p9"}}, ""}}) {
        CHECK_FALSE(isReply(refusal));
        HttpResponse naming = refusal;
        naming.headers["x-id"] = "1";
        CHECK(isReply(naming));
    }
    CHECK(isReply({200, {{"x-sign", "s"}}, ""}));
    // A request without an id is refused without one.
    isReply = send("");
    CHECK(isReply({400, {{"x-notrun", "1"}}, ""}));
}
