#include <burdock/router/httpbackends.h>
#include <burdock/wire/factories.h>

#include <catch2/catch.hpp>

#include "../../wire/tests/rawsocket.h"
#include <unistd.h>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

constexpr Duration TestTimeout = 5s;
constexpr Duration ShortTimeout = 20ms;
const HeaderNames Names{"x-id", "x-left", "x-sign", "x-target", "x-notrun", "x-server", "X-Parts", "X-Missing", "x-limit", "x-leaving"};

std::string success(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Sign: s" + id + "\r\nContent-Length: 3\r\n\r\nran";
}

/// What a request comes to whose response follows `late` on a connection that carried another request before.
Result<ServerReply> replyAfter(const std::string &late)
{
    EventLoop loop;
    RawServer server(loop, nullptr);
    const auto client = makeHttpClient(loop, {1, 1, 1000});
    DecisionLog log{loop, STDERR_FILENO, "test"};
    HttpBackends backends(
        loop, *client, Names, [](const ServerEntry &, const ServerHints &) {}, log);
    const auto entry =
        std::make_shared<const ServerEntry>(ServerEntry{ServerId("p1"), ServiceName("parts"), server.address(), DataCentre("a"), false, 4, Duration{0}, 1});
    std::optional<Result<ServerReply>> reply;
    const auto send = [&](const std::string &id) {
        reply.reset();
        const auto request = std::make_shared<const ClientRequest>(ClientRequest{id, "POST", "/parts/x", {{"x-id", id}}, "body", loop.now(), {}});
        backends.send(entry, request, loop.now() + TestTimeout, [&reply](Result<ServerReply> result) { reply = std::move(result); });
        const auto arrived = [&] { return !server.sockets.empty() && server.sockets[0]->received.find("\r\n\r\nbody") != std::string::npos; };
        REQUIRE(loop.runUntil(arrived, TestTimeout));
        server.sockets[0]->received.clear();
    };
    send("1");
    server.sockets[0]->send(success("1"));
    REQUIRE(loop.runUntil([&] { return reply.has_value(); }, TestTimeout));
    REQUIRE(reply->has_value());
    send("2");
    server.sockets[0]->send(late + success("2"));
    loop.runUntil([&] { return reply.has_value(); }, ShortTimeout);
    // Ends what waits for the rest of a body.
    server.sockets[0]->close();
    REQUIRE(loop.runUntil([&] { return reply.has_value(); }, TestTimeout));
    return *reply;
}

} // namespace

TEST_CASE("A late refusal, whole or broken off anywhere, never makes a request that ran count as refused", "[backends][late]")
{
    const std::string end = "Content-Length: 4\r\n\r\nfull";
    const std::vector<std::string> copies{
        "HTTP/1.1 503 Service Unavailable\r\nX-NotRun: the queue is full\r\nX-Id: 1\r\n" + end,
        "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nRetry-After: 2\r\nX-Leaving: 1\r\nX-Limit: 0\r\nX-NotRun: 1\r\n" + end,
        "HTTP/1.1 421 Misdirected Request\r\nX-NotRun: another server\r\nX-Server: p9\r\nX-Id: 1\r\n" + end,
        // These do not name the request that they refused.
        "HTTP/1.1 503 Service Unavailable\r\nX-NotRun: 1\r\n" + end,
        "HTTP/1.1 421 Misdirected Request\r\nX-Server: p9\r\n" + end,
    };
    for (const std::string &copy : copies) {
        for (std::size_t length = 1; length <= copy.size(); ++length) {
            INFO("late: " << copy.substr(0, length) << "|");
            const auto reply = replyAfter(copy.substr(0, length));
            REQUIRE_FALSE(reply.has_value());
            CHECK(reply.error().verdict == Verdict::MayHaveRun);
        }
    }
    CHECK(replyAfter("").has_value());
}
