#include <burdock/wire/factories.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

constexpr Duration TestTimeout = 5s;
constexpr ConnectionLimits FourConnections{4, 4, 1024 * 1024};

struct Pair
{
    EventLoop loop;
    std::unique_ptr<HttpServer> server = makeHttpServer(loop, HttpServerLimits{});
    std::unique_ptr<HttpClient> client = makeHttpClient(loop, FourConnections);
    Address address = server->listen({"127.0.0.1", 0}).value();

    HttpRequest post(const std::string &path, const std::string &body) const
    {
        return {address, "POST", path, {{"X-Caller", "tester"}, {"X-Empty", ""}}, body, TestTimeout, nullptr};
    }

    Result<HttpResponse> call(HttpRequest request)
    {
        Result<HttpResponse> answer = notRun(Errc::Internal, "no answer");
        bool done = false;
        client->send(std::move(request), [&](Result<HttpResponse> result) {
            answer = std::move(result);
            done = true;
        });
        REQUIRE_FALSE(done);
        REQUIRE(loop.runUntil([&] { return done; }, TestTimeout));
        return answer;
    }
};

} // namespace

TEST_CASE("the handler receives the complete request and the client the complete response", "[http]")
{
    Pair pair;
    HttpServerRequest seen;
    pair.server->setHandler([&](HttpServerRequest incoming, const std::shared_ptr<HttpResponder> &responder) {
        seen = std::move(incoming);
        responder->respond({201, {{"X-Answer", "yes"}}, "{\"a\":1}"});
    });
    const auto answer = pair.call(pair.post("/v1/query?after=3&name=a%20b", "body"));
    REQUIRE(answer.has_value());
    CHECK(answer->status == 201);
    CHECK(answer->body == "{\"a\":1}");
    CHECK(answer->headers.at("x-answer") == "yes");
    CHECK(answer->headers.at("content-type") == "application/json");
    CHECK(seen.method == "POST");
    CHECK(seen.path == "/v1/query");
    CHECK(seen.query == std::map<std::string, std::string>{{"after", "3"}, {"name", "a b"}});
    CHECK(seen.headers.at("x-caller") == "tester");
    CHECK(seen.headers.at("x-empty").empty());
    CHECK(seen.body == "body");
}

TEST_CASE("a handler may respond after it has returned", "[http]")
{
    Pair pair;
    pair.server->setHandler([&](const HttpServerRequest &incoming, const std::shared_ptr<HttpResponder> &responder) {
        pair.loop.schedule(20ms, [responder, body = incoming.body] { responder->respond({200, {}, body}); });
    });
    for (int i = 0; i < 5; ++i) {
        const auto answer = pair.call(pair.post("/", std::to_string(i)));
        REQUIRE(answer.has_value());
        CHECK(answer->body == std::to_string(i));
    }
    CHECK(pair.server->counters().accepted == 1);
    CHECK(pair.server->requestsInFlight() == 0);
}

TEST_CASE("a chunked response is delivered chunk by chunk", "[http]")
{
    Pair pair;
    pair.server->setHandler([&](const HttpServerRequest &, const std::shared_ptr<HttpResponder> &responder) {
        responder->sendChunk("one");
        pair.loop.schedule(20ms, [responder] {
            responder->sendChunk("two");
            responder->finish();
        });
    });
    std::vector<std::string> pieces;
    HttpRequest request = pair.post("/watch", "");
    request.onBodyChunk = [&](const std::string &piece) { pieces.push_back(piece); };
    const auto answer = pair.call(std::move(request));
    REQUIRE(answer.has_value());
    CHECK(pieces == std::vector<std::string>{"one", "two"});
    CHECK(answer->body.empty());
}

TEST_CASE("an idle connection gives way to one to another address at the limit on all connections", "[http]")
{
    Pair pair;
    const auto respond = [](const HttpServerRequest &, const std::shared_ptr<HttpResponder> &responder) { responder->respond({}); };
    pair.server->setHandler(respond);
    const auto second = makeHttpServer(pair.loop, HttpServerLimits{});
    second->setHandler(respond);
    const Address address = second->listen({"127.0.0.1", 0}).value();
    std::size_t limit = 1;
    pair.client->setTotalLimit([&limit] { return limit; });
    CHECK(pair.client->hasRoom(1));
    CHECK_FALSE(pair.client->hasRoom(2));
    REQUIRE(pair.call(pair.post("/", "")));
    CHECK(pair.client->openConnections(pair.address) == 1);
    HttpRequest request = pair.post("/", "");
    request.address = address;
    REQUIRE(pair.call(request));
    CHECK(pair.client->openConnections(address) == 1);
    CHECK(pair.loop.runUntil([&] { return pair.client->openConnections(pair.address) == 0; }, TestTimeout));
}

TEST_CASE("calls in excess of the connection limit are queued", "[http]")
{
    Pair pair;
    std::vector<std::shared_ptr<HttpResponder>> open;
    pair.server->setHandler([&](const HttpServerRequest &, const std::shared_ptr<HttpResponder> &responder) { open.push_back(responder); });
    int answered = 0;
    for (int i = 0; i < 10; ++i) {
        pair.client->send(pair.post("/", ""), [&](const Result<HttpResponse> &result) { answered += result.has_value() ? 1 : 0; });
    }
    CHECK(pair.loop.runUntil([&] { return open.size() == 4; }, TestTimeout));
    CHECK(pair.client->openConnections(pair.address) == 4);
    CHECK(pair.loop.runUntil(
        [&] {
            CHECK(pair.server->openConnections() <= 4);
            for (const auto &responder : std::exchange(open, {})) {
                responder->respond({});
            }
            return answered == 10;
        },
        TestTimeout));
}
