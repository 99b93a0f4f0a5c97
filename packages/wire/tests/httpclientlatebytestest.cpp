#include "rawsocket.h"

#include <burdock/wire/factories.h>

#include <catch2/catch.hpp>
#include <optional>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

constexpr Duration TestTimeout = 5s;
constexpr Duration ShortTimeout = 50ms;
const std::string First = "HTTP/1.1 200 OK\r\nAttempt-Id: first\r\nContent-Length: 2\r\n\r\nok";
const std::string Second = "HTTP/1.1 200 OK\r\nAttempt-Id: second\r\nResponse-Stamp: s.2\r\nContent-Length: 4\r\n\r\nmine";
const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n";

/// The copies of earlier responses that a faulty server may begin to send again.
const std::vector<std::string> Copies{
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: the queue is full\r\nAttempt-Id: first\r\nContent-Length: 4\r\n\r\nfull",
    "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: first\r\nRetry-After: 2\r\nServer-Leaving: 1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-9\r\nNot-Executed: other server\r\nAttempt-Id: first\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 429\r\nnot-executed:\tx\t\r\nConnection: close\r\nattempt-id:first\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nResponse-Stamp: s.1\r\nServer-Limit: 3\r\nAttempt-Id: first\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.0 500 Internal Server Error\r\nContent-Type: text/plain\r\nAttempt-Id: first\r\n\r\nfailed",
    "HTTP/1.1 100 Continue\r\nNot-Executed: 1\r\n\r\n" + First,
};

/// How the late bytes reach the client, before the response to its request.
enum class Delivery { AtOnce, Apart, ByteByByte };

struct Outcome
{
    Result<HttpResponse> response;
    std::size_t connections = 0;
};

/// Sends two requests on one connection. When the server has read the second, it sends `late` and the response to it.
Outcome secondResponseAfter(const std::string &late, const std::string &response, Delivery delivery)
{
    EventLoop loop;
    RawServer server(loop, nullptr);
    const auto client = makeHttpClient(loop, {1, 1, 1000});
    std::optional<Result<HttpResponse>> answer;
    const auto hasRequest = [&] { return !server.sockets.empty() && server.sockets[0]->received.find("\r\n\r\nbody") != std::string::npos; };
    const auto send = [&](const std::string &id) {
        answer.reset();
        HttpRequest request{server.address(), "POST", "/order", {{"attempt-id", id}}, "body", TestTimeout, nullptr};
        request.isReplyToRequest = [id](const HttpResponse &reply) {
            const auto echoed = reply.headers.find("attempt-id");
            return echoed == reply.headers.end() || echoed->second == id;
        };
        client->send(std::move(request), [&answer](Result<HttpResponse> result) { answer = std::move(result); });
        REQUIRE(loop.runUntil(hasRequest, TestTimeout));
        server.sockets[0]->received.clear();
    };
    send("first");
    server.sockets[0]->send(First);
    REQUIRE(loop.runUntil([&] { return answer.has_value(); }, TestTimeout));
    REQUIRE(answer->has_value());
    send("second");
    const auto pass = [&loop] { loop.runUntil([] { return false; }, Duration{100}); };
    switch (delivery) {
    case Delivery::AtOnce:
        server.sockets[0]->send(late + response);
        break;
    case Delivery::Apart:
        server.sockets[0]->send(late);
        pass();
        server.sockets[0]->send(response);
        break;
    case Delivery::ByteByByte:
        for (const char byte : late + response) {
            server.sockets[0]->send(std::string(1, byte));
            pass();
        }
        break;
    }
    loop.runUntil([&] { return answer.has_value(); }, ShortTimeout);
    // What has not failed by now waits for the rest of a body, and ends with the connection at the latest.
    server.sockets[0]->close();
    REQUIRE(loop.runUntil([&] { return answer.has_value(); }, TestTimeout));
    loop.runUntil([&] { return client->openConnections(server.address()) == 0; }, TestTimeout);
    return {*answer, client->openConnections(server.address())};
}

void checkMayHaveRun(const Outcome &outcome)
{
    if (outcome.response.has_value()) {
        FAIL_CHECK("status " << outcome.response->status << ", body '" << outcome.response->body << "'");
        return;
    }
    CHECK(outcome.response.error().verdict == Verdict::MayHaveRun);
    CHECK(outcome.connections == 0);
}

} // namespace

TEST_CASE("A late copy that breaks off anywhere never becomes part of the next response", "[http][client][late]")
{
    const auto delivery = GENERATE(Delivery::AtOnce, Delivery::Apart);
    for (const std::string &copy : Copies) {
        for (std::size_t length = 1; length <= copy.size(); ++length) {
            const std::string late = copy.substr(0, length);
            INFO("late: " << late << "|");
            const Outcome outcome = secondResponseAfter(late, Second, delivery);
            if (outcome.response.has_value()) {
                // Only an interim response that is complete may precede the right one.
                CHECK(late == "HTTP/1.1 100 Continue\r\nNot-Executed: 1\r\n\r\n");
                CHECK(outcome.response->status == 200);
                CHECK(outcome.response->body == "mine");
                CHECK(outcome.response->headers.count("not-executed") == 0);
            } else {
                checkMayHaveRun(outcome);
            }
        }
    }
}

TEST_CASE("Two broken copies, or bytes of any kind, before a response make it count for no request", "[http][client][late]")
{
    const std::string refusal = Copies.front();
    std::vector<std::string> late{" ", "\r\n", "\n", "\r", "\t", std::string(1, '\0'), "x", "HTTP", "\xff", "0\r\n\r\n", "ok"};
    for (std::size_t length = 1; length < refusal.size(); length += 7) {
        late.push_back(refusal.substr(0, length) + refusal.substr(0, refusal.size() - length));
        late.push_back(refusal.substr(0, length) + Interim);
        late.push_back(Interim + refusal.substr(0, length));
    }
    for (const std::string &bytes : late) {
        INFO("late: " << bytes << "|");
        checkMayHaveRun(secondResponseAfter(bytes, Second, Delivery::Apart));
    }
}

TEST_CASE("A status line with a colon does not make a late beginning of a copy a header", "[http][client][late]")
{
    const std::string copy = Copies.front();
    const std::string response = "HTTP/1.1 500 Failed: disk\r\nAttempt-Id: second\r\nContent-Length: 4\r\n\r\nmine";
    for (std::size_t length = 1; length <= copy.size(); ++length) {
        INFO("late: " << copy.substr(0, length) << "|");
        checkMayHaveRun(secondResponseAfter(copy.substr(0, length), response, Delivery::AtOnce));
    }
    const Outcome alone = secondResponseAfter("", response, Delivery::AtOnce);
    REQUIRE(alone.response.has_value());
    CHECK(alone.response->status == 500);
}

TEST_CASE("Sound responses of ordinary servers are accepted as they are written", "[http][client][late]")
{
    const std::vector<std::string> responses{
        Second,
        Interim + Second,
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + Second,
        "HTTP/1.1 200\r\nATTEMPT-ID:second\r\ncontent-length:\t4 \t\r\n\r\nmine",
        "HTTP/1.1 200 \r\nattempt-id:  second  \r\nX-Empty:\r\ntransfer-encoding: \tCHUNKED \r\n\r\n2\r\nmi\r\n2\r\nne\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\nNot-Executed: 1\r\nX-Trailer: 1\r\n\r\n",
        "HTTP/1.0 200 OK\r\nAttempt-Id: second\r\n\r\nmine",
        "HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\nContent-Length: 4\r\n\r\nmine",
        "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy, 1.1 other\r\nUpgrade: HTTP/2.0\r\nSet-Cookie: a\r\nSet-Cookie: b\r\nConnection: keep-alive\r\n"
        "Connection: close\r\nContent-Length: 4\r\n\r\nmine",
        "HTTP/1.1 200 Tr\xe8s bien\r\nX-Name: \xc3\xa9t\xc3\xa9\r\nContent-Length: 4\r\n\r\nmine",
    };
    for (const Delivery delivery : {Delivery::AtOnce, Delivery::ByteByByte}) {
        for (const std::string &response : responses) {
            INFO(response);
            const Outcome outcome = secondResponseAfter("", response, delivery);
            REQUIRE(outcome.response.has_value());
            CHECK(outcome.response->status == 200);
            CHECK(outcome.response->body == "mine");
            CHECK(outcome.response->headers.count("not-executed") == 0);
        }
    }
}

TEST_CASE("A body without a stated length ends with the connection, also if its server meant to keep that", "[http][client][late]")
{
    for (const char *head : {"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n", "HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\n\r\n"}) {
        INFO(head);
        const Outcome outcome = secondResponseAfter("", head + std::string("mine"), Delivery::AtOnce);
        REQUIRE(outcome.response.has_value());
        CHECK(outcome.response->body == "mine");
        CHECK(outcome.connections == 0);
    }
}

TEST_CASE("Bytes that arrive on an idle connection close it", "[http][client][late]")
{
    for (std::size_t length = 1; length <= Copies.front().size(); length += 5) {
        EventLoop loop;
        RawServer server(loop, nullptr);
        const auto client = makeHttpClient(loop, {1, 1, 1000});
        std::optional<Result<HttpResponse>> answer;
        client->send({server.address(), "GET", "/", {}, "", TestTimeout, nullptr}, [&answer](Result<HttpResponse> result) { answer = std::move(result); });
        REQUIRE(loop.runUntil([&] { return !server.sockets.empty() && !server.sockets[0]->received.empty(); }, TestTimeout));
        server.sockets[0]->send(First);
        REQUIRE(loop.runUntil([&] { return answer.has_value(); }, TestTimeout));
        CHECK(client->openConnections(server.address()) == 1);
        server.sockets[0]->send(Copies.front().substr(0, length));
        CHECK(loop.runUntil([&] { return client->openConnections(server.address()) == 0; }, TestTimeout));
        CHECK(loop.runUntil([&] { return server.sockets[0]->closedByPeer; }, TestTimeout));
    }
}
