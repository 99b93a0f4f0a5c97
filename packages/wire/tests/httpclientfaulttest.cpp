#include "rawsocket.h"

#include <burdock/wire/factories.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

constexpr Duration TestTimeout = 5s;
constexpr Duration ShortTimeout = 50ms;
constexpr std::size_t BodyLimit = 1000;
const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A client and a server whose response bytes the test controls.
struct Client
{
    explicit Client(RawServer::Behaviour behaviour, std::uint32_t connections = 1)
        : server(loop, std::move(behaviour))
        , client(makeHttpClient(loop, {connections, connections, BodyLimit}))
    {
    }

    HttpRequest request(Duration timeout = TestTimeout) const
    {
        return {server.address(), "POST", "/search", {}, "body", timeout, nullptr};
    }

    Result<HttpResponse> call(HttpRequest wanted)
    {
        std::optional<Result<HttpResponse>> answer;
        client->send(std::move(wanted), [&](Result<HttpResponse> result) { answer = std::move(result); });
        REQUIRE_FALSE(answer.has_value());
        REQUIRE(until([&] { return answer.has_value(); }));
        return *answer;
    }

    bool until(const std::function<bool()> &condition)
    {
        return loop.runUntil(condition, TestTimeout);
    }

    EventLoop loop;
    RawServer server;
    std::unique_ptr<HttpClient> client;
};

bool receivedWholeRequest(const RawSocket &socket)
{
    return socket.received.find("\r\n\r\nbody") != std::string::npos;
}

/// Sends the bytes in response to every complete request, then calls `then` if given.
RawServer::Behaviour answering(std::string bytes, void (RawSocket::*then)() = nullptr)
{
    return [bytes = std::move(bytes), then](RawSocket &socket) {
        if (!receivedWholeRequest(socket)) {
            return;
        }
        socket.received.clear();
        socket.send(bytes);
        if (then != nullptr) {
            (socket.*then)();
        }
    };
}

} // namespace

TEST_CASE("an incomplete or malformed response fails the call with MayHaveRun", "[http][client]")
{
    struct Fault
    {
        const char *name;
        std::string reply;
        /// How the server ends the connection after the response, or null to keep it open.
        void (RawSocket::*then)();
    };
    const std::vector<Fault> faults{
        {"no response, then a reset", "", &RawSocket::reset},
        {"garbage", "what is this\r\n\r\n", nullptr},
        {"an invalid version", "HTTX/1.1 200 OK\r\n\r\n", nullptr},
        {"an invalid status", "HTTP/1.1 abc OK\r\n\r\n", nullptr},
        {"a header without colon", "HTTP/1.1 200 OK\r\nnonsense\r\n\r\n", nullptr},
        {"an invalid content length", "HTTP/1.1 200 OK\r\nContent-Length: abc\r\n\r\n", nullptr},
        {"a body over the limit with a content length", "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x'), nullptr},
        {"a body over the limit without a content length", "HTTP/1.1 200 OK\r\n\r\n" + std::string(1001, 'x'), nullptr},
        {"a chunked body over the limit",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1f4\r\n" + std::string(500, 'x') + "\r\n1f5\r\n" + std::string(501, 'x') + "\r\n0\r\n\r\n",
         nullptr},
        {"unterminated headers", "HTTP/1.1 200 OK\r\nA: " + std::string(200000, 'x'), nullptr},
        {"an invalid chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", nullptr},
    };
    for (const Fault &fault : faults) {
        INFO(fault.name);
        Client client(answering(fault.reply, fault.then));
        const auto answer = client.call(client.request());
        REQUIRE_FALSE(answer.has_value());
        CHECK(answer.error().code == Errc::ConnectionLost);
        CHECK(answer.error().verdict == Verdict::MayHaveRun);
        CHECK(client.until([&] { return client.client->openConnections(client.server.address()) == 0; }));
    }
}

TEST_CASE("a response truncated at any byte fails the call", "[http][client]")
{
    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    for (std::size_t length = 0; length < reply.size(); ++length) {
        INFO("truncated after " << length);
        Client client(nullptr);
        client.client->send(client.request(), [](const Result<HttpResponse> &result) { CHECK_FALSE(result.has_value()); });
        REQUIRE(client.until([&] { return !client.server.sockets.empty() && receivedWholeRequest(*client.server.sockets[0]); }));
        client.server.sockets[0]->send(reply.substr(0, length));
        client.loop.runUntil([] { return false; }, 1ms);
        client.server.sockets[0]->close();
        REQUIRE(client.until([&] { return client.client->openConnections(client.server.address()) == 0; }));
    }
}

TEST_CASE("a response that ends in its head is no response, whatever frames its body", "[http][client]")
{
    for (const std::string frame : {"Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", ""}) {
        const std::string head = "HTTP/1.1 200 OK\r\nResponse-Stamp: 3e1b\r\n" + frame + "Date: now\r\n\r\n";
        for (std::size_t length = 0; length < head.size(); ++length) {
            INFO("'" << frame << "', truncated after " << length);
            Client client(nullptr);
            std::optional<Result<HttpResponse>> answer;
            client.client->send(client.request(), [&answer](Result<HttpResponse> result) { answer = std::move(result); });
            REQUIRE(client.until([&] { return !client.server.sockets.empty() && receivedWholeRequest(*client.server.sockets[0]); }));
            client.server.sockets[0]->send(head.substr(0, length));
            if (length % 2 == 0) {
                client.loop.runUntil([] { return false; }, 1ms);
            }
            client.server.sockets[0]->close();
            REQUIRE(client.until([&answer] { return answer.has_value(); }));
            CHECK_FALSE(answer->has_value());
        }
    }
}

TEST_CASE("bytes without end are no response: the call fails, and little of them is read", "[http][client][endless]")
{
    const std::string block(16384, 'x');
    std::string continues;
    for (int number = 0; number < 500; ++number) {
        continues += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    const auto [what, start, endless] = GENERATE_COPY(table<std::string, std::string, std::string>({
        {"a status line", "HTTP/1.1 200 ", block},
        {"bytes that are no head", "", std::string(block.size(), '\0')},
        {"a header", "HTTP/1.1 200 OK\r\nX-Long: ", block},
        {"headers", "HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n"},
        {"interim responses", "", continues},
        {"a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n", block},
        {"a body that ends with the connection", "HTTP/1.1 200 OK\r\n\r\n", block},
        {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
        {"a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", block},
        {"the size of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", std::string(block.size(), '0')},
        {"the extension of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", block},
        {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Many: 1\r\n"},
    }));
    INFO(what << " without end");
    Client f([start = start, endless = endless](RawSocket &socket) {
        if (receivedWholeRequest(socket)) {
            socket.received.clear();
            socket.send(start);
            socket.sendEndlessly(endless);
        }
    });
    const TimePoint sent = f.loop.now();
    const Result<HttpResponse> answer = f.call(f.request(400ms));
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().verdict == Verdict::MayHaveRun);
    CHECK(f.loop.now() - sent < 2s);
    REQUIRE(f.until([&] { return f.server.sockets.front()->closedByPeer; }));
    // What is not read waits in the sockets' buffers, of a few megabytes on loopback.
    const bool isRead = what == "interim responses";
    CHECK((isRead || f.server.sockets.front()->sentEndlessly < 8U << 20));
    CHECK(f.client->openConnections(f.server.address()) == 0);
}

TEST_CASE("bytes without end after a whole response do not reach the next call", "[http][client][endless]")
{
    int answered = 0;
    Client f([&answered](RawSocket &socket) {
        if (receivedWholeRequest(socket)) {
            socket.received.clear();
            socket.send(Ok);
            if (++answered == 1) {
                socket.sendEndlessly(std::string(16384, 'x'));
            }
        }
    });
    CHECK(f.call(f.request()).has_value());
    const Result<HttpResponse> next = f.call(f.request());
    REQUIRE(next.has_value());
    CHECK(next->body == "ok");
    REQUIRE(f.until([&] { return f.server.sockets.front()->closedByPeer; }));
    CHECK(f.server.sockets.front()->sentEndlessly < 8U << 20);
}

TEST_CASE("a response sent in packets of one byte is read completely", "[http][client]")
{
    const std::string reply = GENERATE(std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"),
                                       std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"),
                                       std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"));
    Client client(nullptr);
    std::optional<Result<HttpResponse>> answer;
    client.client->send(client.request(), [&](Result<HttpResponse> result) { answer = std::move(result); });
    REQUIRE(client.until([&] { return !client.server.sockets.empty() && receivedWholeRequest(*client.server.sockets[0]); }));
    for (const char byte : reply) {
        client.server.sockets[0]->send(std::string(1, byte));
        client.loop.runUntil([] { return false; }, 1ms);
    }
    REQUIRE(client.until([&] { return answer.has_value(); }));
    REQUIRE(answer->has_value());
    CHECK((*answer)->body == "hello");
}

TEST_CASE("a failure before anything was written has the verdict NotRun", "[http][client]")
{
    SECTION("connection refused")
    {
        std::optional<Address> closed;
        {
            EventLoop other;
            closed = RawServer(other, nullptr).address();
        }
        Client client(nullptr);
        HttpRequest request = client.request();
        request.address = *closed;
        const auto answer = client.call(request);
        REQUIRE_FALSE(answer.has_value());
        CHECK(answer.error().code == Errc::Unavailable);
        CHECK(answer.error().verdict == Verdict::NotRun);
    }
    SECTION("a connection that fails at once")
    {
        Client client(nullptr);
        HttpRequest request = client.request();
        request.address = {"127.0.0.1", 0};
        const auto answer = client.call(request);
        REQUIRE_FALSE(answer.has_value());
        CHECK(answer.error().code == Errc::Unavailable);
        CHECK(answer.error().verdict == Verdict::NotRun);
        CHECK(client.call(client.request(ShortTimeout)).error().verdict == Verdict::MayHaveRun);
    }
    SECTION("no connection within the timeout")
    {
        // TEST-NET-1 does not respond. Some networks reject it immediately.
        Client client(nullptr);
        HttpRequest request = client.request(ShortTimeout);
        request.address = {"192.0.2.1", 9};
        const auto answer = client.call(request);
        REQUIRE_FALSE(answer.has_value());
        CHECK(answer.error().verdict == Verdict::NotRun);
    }
    SECTION("still queued at the timeout")
    {
        Client client(nullptr);
        client.client->send(client.request(), [](const Result<HttpResponse> &) {});
        const auto answer = client.call(client.request(ShortTimeout));
        REQUIRE_FALSE(answer.has_value());
        CHECK(answer.error().code == Errc::DeadlineExceeded);
        CHECK(answer.error().verdict == Verdict::NotRun);
    }
    SECTION("an invalid path or header")
    {
        Client client(nullptr);
        HttpRequest request = client.request();
        const bool path = GENERATE(true, false);
        if (path) {
            request.path = "/a HTTP/1.1\r\nX: y";
        } else {
            request.headers["X"] = "a\r\nY: b";
        }
        const auto answer = client.call(request);
        REQUIRE_FALSE(answer.has_value());
        CHECK(answer.error().code == Errc::BadRequest);
        CHECK(answer.error().verdict == Verdict::NotRun);
        CHECK(client.server.sockets.empty());
    }
}

TEST_CASE("calls of which nothing was written do not wait for their timeout once they are ended", "[http][client]")
{
    Client client(nullptr);
    std::vector<std::pair<std::string, Failure>> ended;
    const auto send = [&](const std::string &name, HttpRequest request) {
        client.client->send(std::move(request), [&ended, name](const Result<HttpResponse> &result) { ended.emplace_back(name, result.error()); });
    };
    send("written", client.request());
    send("queued", client.request());
    HttpRequest unconnected = client.request();
    unconnected.address = {"192.0.2.1", 9};
    send("unconnected", unconnected);
    REQUIRE(client.until([&] { return !client.server.sockets.empty() && receivedWholeRequest(*client.server.sockets[0]); }));
    client.client->failUnsent(client.server.address());
    client.client->failUnsent(unconnected.address);
    client.client->failUnsent({"192.0.2.1", 10});
    REQUIRE(ended.size() == 2);
    for (const auto &[name, failure] : ended) {
        CHECK(name != "written");
        CHECK(failure.code == Errc::Unavailable);
        CHECK(failure.verdict == Verdict::NotRun);
    }
    CHECK(client.client->openConnections(client.server.address()) == 1);
}

TEST_CASE("a call that ends before its connection is made never reaches the server", "[http][client]")
{
    Client client(nullptr);
    std::optional<Result<HttpResponse>> ended;
    const HttpCallId id = client.client->send(client.request(), [&](Result<HttpResponse> result) { ended = std::move(result); });
    SECTION("failed as unsent")
    {
        client.client->failUnsent(client.server.address());
        REQUIRE(ended);
        CHECK(ended->error().verdict == Verdict::NotRun);
    }
    SECTION("cancelled")
    {
        client.client->cancel(id);
    }
    REQUIRE(client.until([&] { return client.client->openConnections(client.server.address()) == 0; }));
    REQUIRE(client.until([&] { return !client.server.sockets.empty() && client.server.sockets[0]->closedByPeer; }));
    CHECK(client.server.sockets[0]->received.empty());
}

TEST_CASE("a timeout after the request was written has the verdict MayHaveRun and closes the connection", "[http][client]")
{
    Client client(nullptr);
    const auto answer = client.call(client.request(ShortTimeout));
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().code == Errc::DeadlineExceeded);
    CHECK(answer.error().verdict == Verdict::MayHaveRun);
    CHECK(client.until([&] { return client.server.sockets[0]->closedByPeer; }));
    CHECK(client.client->openConnections(client.server.address()) == 0);
}

TEST_CASE("a late response to a timed-out call is not returned for the next call", "[http][client]")
{
    Client client(nullptr);
    const auto first = client.call(client.request(ShortTimeout));
    CHECK_FALSE(first.has_value());
    client.server.sockets[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    std::optional<Result<HttpResponse>> answer;
    client.client->send(client.request(), [&](Result<HttpResponse> result) { answer = std::move(result); });
    REQUIRE(client.until([&] { return client.server.sockets.size() == 2 && receivedWholeRequest(*client.server.sockets[1]); }));
    client.server.sockets[1]->send(Ok);
    REQUIRE(client.until([&] { return answer.has_value(); }));
    REQUIRE(answer->has_value());
    CHECK((*answer)->body == "ok");
}

TEST_CASE("a surplus response is not returned for the next call", "[http][client]")
{
    const bool atOnce = GENERATE(true, false);
    INFO("surplus response in the same packet: " << atOnce);
    Client client(answering(atOnce ? Ok + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra" : Ok));
    CHECK(client.call(client.request())->body == "ok");
    if (!atOnce) {
        client.server.sockets[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
        client.loop.runUntil([] { return false; }, 5ms);
    }
    const auto second = client.call(client.request());
    REQUIRE(second.has_value());
    CHECK(second->body == "ok");
    CHECK(client.server.sockets.size() == 2);
}

TEST_CASE("an open persistent connection is reused, a closed one is not", "[http][client]")
{
    Client client(answering(Ok));
    CHECK(client.call(client.request()).has_value());
    CHECK(client.call(client.request()).has_value());
    CHECK(client.server.sockets.size() == 1);
    client.server.sockets[0]->close();
    REQUIRE(client.until([&] { return client.client->openConnections(client.server.address()) == 0; }));
    CHECK(client.call(client.request()).has_value());
    CHECK(client.server.sockets.size() == 2);
}

TEST_CASE("a request that races with the server's idle close is sent at most once", "[http][client]")
{
    Client client(answering(Ok));
    CHECK(client.call(client.request()).has_value());
    SECTION("closed before the request was written")
    {
        client.server.sockets[0]->halfClose();
        // The end of file is readable on the socket, but the loop has not processed it yet.
        const auto answer = client.call(client.request());
        CHECK(answer.has_value());
        CHECK(client.server.sockets.size() == 2);
    }
    SECTION("closed after the request was read")
    {
        std::size_t requests = 0;
        client.server.sockets[0]->onBytes = [&](RawSocket &socket) {
            ++requests;
            socket.close();
        };
        const auto answer = client.call(client.request());
        REQUIRE_FALSE(answer.has_value());
        CHECK(answer.error().verdict == Verdict::MayHaveRun);
        client.loop.runUntil([] { return false; }, 20ms);
        CHECK(requests == 1);
        CHECK(client.server.sockets.size() == 1);
    }
}

TEST_CASE("after a response with Connection: close the next call uses a new connection", "[http][client]")
{
    Client client(answering("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"));
    CHECK(client.call(client.request()).has_value());
    CHECK(client.call(client.request()).has_value());
    CHECK(client.server.sockets.size() == 2);
}

TEST_CASE("an early error response is read or the call has the verdict MayHaveRun", "[http][client]")
{
    Client client([](RawSocket &socket) {
        socket.send("HTTP/1.1 413 Too Large\r\nConnection: close\r\nContent-Length: 3\r\n\r\nbig");
        socket.halfClose();
        socket.stopReading();
    });
    HttpRequest request = client.request();
    request.body = std::string(20000000, 'x');
    std::optional<Result<HttpResponse>> answer;
    client.client->send(std::move(request), [&](Result<HttpResponse> result) { answer = std::move(result); });
    client.loop.runUntil([&] { return answer.has_value(); }, 200ms);
    client.server.sockets.clear();
    REQUIRE(client.until([&] { return answer.has_value(); }));
    // Either the response was read or the call may have run. The verdict NotRun would be wrong.
    CHECK((answer->has_value() || answer->error().verdict == Verdict::MayHaveRun));
}

TEST_CASE("a cancelled call does not call its callback and its connection is closed", "[http][client]")
{
    Client client(nullptr);
    bool called = false;
    const HttpCallId first = client.client->send(client.request(ShortTimeout), [&](const Result<HttpResponse> &) { called = true; });
    const HttpCallId second = client.client->send(client.request(ShortTimeout), [&](const Result<HttpResponse> &) { called = true; });
    REQUIRE(client.until([&] { return !client.server.sockets.empty() && receivedWholeRequest(*client.server.sockets[0]); }));
    SECTION("in use")
    {
        client.client->cancel(first);
        CHECK(client.until([&] { return client.server.sockets[0]->closedByPeer; }));
        CHECK(client.until([&] { return client.server.sockets.size() == 2 && receivedWholeRequest(*client.server.sockets[1]); }));
        client.client->cancel(second);
    }
    SECTION("queued")
    {
        client.client->cancel(second);
        CHECK_FALSE(client.server.sockets[0]->closedByPeer);
        client.client->cancel(first);
    }
    client.client->cancel(first);
    client.client->cancel(99);
    client.loop.runUntil([] { return false; }, 2 * ShortTimeout);
    CHECK_FALSE(called);
    CHECK(client.client->openConnections(client.server.address()) == 0);
}

TEST_CASE("a call can be cancelled from its onBodyChunk callback", "[http][client]")
{
    Client client(answering("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n3\r\ntwo\r\n"));
    HttpRequest request = client.request();
    std::vector<std::string> pieces;
    HttpCallId id = 0;
    request.onBodyChunk = [&](const std::string &piece) {
        pieces.push_back(piece);
        client.client->cancel(id);
    };
    id = client.client->send(std::move(request), [](const Result<HttpResponse> &) { FAIL("callback of a cancelled call"); });
    CHECK(client.until([&] { return !client.server.sockets.empty() && client.server.sockets[0]->closedByPeer; }));
    CHECK(pieces == std::vector<std::string>{"one"});
}

TEST_CASE("the body limit applies to each chunk of a watch, not to its total", "[http][client]")
{
    const std::string chunk = "1f4\r\n" + std::string(500, 'x') + "\r\n";
    std::string reply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 10; ++i) {
        reply += chunk;
    }
    const bool large = GENERATE(false, true);
    reply += large ? "3e9\r\n" + std::string(1001, 'x') + "\r\n0\r\n\r\n" : "0\r\n\r\n";
    Client client(answering(reply));
    HttpRequest request = client.request();
    std::size_t received = 0;
    request.onBodyChunk = [&](const std::string &piece) { received += piece.size(); };
    const auto answer = client.call(std::move(request));
    CHECK(answer.has_value() != large);
    CHECK(received == 5000);
}

TEST_CASE("the body of an error response to a watch is returned whole", "[http][client]")
{
    Client client(answering("HTTP/1.1 503 Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"));
    HttpRequest request = client.request();
    request.onBodyChunk = [](const std::string &) { FAIL("onBodyChunk was called for an error response"); };
    const auto answer = client.call(std::move(request));
    REQUIRE(answer.has_value());
    CHECK(answer->status == 503);
    CHECK(answer->body == "onetwo");
}

TEST_CASE("connections in excess of lowered limits are closed when they become idle", "[http][client]")
{
    Client client(nullptr, 3);
    int answered = 0;
    for (int i = 0; i < 3; ++i) {
        client.client->send(client.request(), [&](const Result<HttpResponse> &result) { answered += result.has_value() ? 1 : 0; });
    }
    const auto &sockets = client.server.sockets;
    REQUIRE(client.until(
        [&] { return sockets.size() == 3 && std::all_of(sockets.begin(), sockets.end(), [](const auto &socket) { return receivedWholeRequest(*socket); }); }));
    client.client->setLimits(client.server.address(), {1, 1, BodyLimit});
    CHECK(client.client->openConnections(client.server.address()) == 3);
    for (const auto &socket : sockets) {
        socket->send(Ok);
    }
    CHECK(client.until([&] { return answered == 3 && client.client->openConnections(client.server.address()) == 1; }));
}
