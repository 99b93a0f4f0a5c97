#include "rawsocket.h"

#include <burdock/wire/factories.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <unistd.h>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

constexpr Duration TestTimeout = 5s;

/// A server with small limits, and the requests and disconnects that its handler recorded.
struct Server
{
    explicit Server(HttpServerLimits limits = smallLimits())
        : server(makeHttpServer(loop, limits))
        , port(server->listen({"127.0.0.1", 0}).value().port)
    {
        server->setHandler([this](const HttpServerRequest &incoming, std::shared_ptr<HttpResponder> responder) {
            paths.push_back(incoming.path);
            responder->setDisconnectHandler([this, path = incoming.path] { disconnected.push_back(path); });
            if (incoming.path == "/now") {
                responder->respond({200, {}, "now"});
                return;
            }
            waiting.push_back(std::move(responder));
        });
    }

    static HttpServerLimits smallLimits()
    {
        HttpServerLimits limits;
        limits.headerBytes = 2048;
        limits.bodyBytes = 4096;
        return limits;
    }

    bool until(const std::function<bool()> &condition)
    {
        return loop.runUntil(condition, TestTimeout);
    }

    EventLoop loop;
    std::unique_ptr<HttpServer> server;
    std::uint16_t port;
    std::vector<std::string> paths;
    std::vector<std::string> disconnected;
    std::vector<std::shared_ptr<HttpResponder>> waiting;
};

std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

std::size_t count(const std::string &text, const std::string &pattern)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(pattern); at != std::string::npos; at = text.find(pattern, at + pattern.size())) {
        ++found;
    }
    return found;
}

std::string bodyOf(const std::string &answer)
{
    return answer.substr(answer.find("\r\n\r\n") + 4);
}

} // namespace

TEST_CASE("an oversized or malformed request gets an error response with the verdict notRun", "[http][server]")
{
    struct Fault
    {
        const char *name;
        std::string bytes;
        const char *status;
        const char *code;
    };
    const std::string chunk = "800\r\n" + std::string(2048, 'x') + "\r\n";
    const std::vector<Fault> faults{
        {"a header that is too large", "GET / HTTP/1.1\r\nA: " + std::string(3000, 'x') + "\r\n\r\n", "413", "tooLarge"},
        {"headers that are too large in total",
         "GET / HTTP/1.1\r\n" +
             [] {
                 std::string lines;
                 for (int i = 0; i < 500; ++i) {
                     lines += "A: b\r\n";
                 }
                 return lines;
             }()
             + "\r\n",
         "413",
         "tooLarge"},
        {"a content length over the limit", "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", "413", "tooLarge"},
        {"a body over the limit that is sent in full", "POST / HTTP/1.1\r\nContent-Length: 5000000\r\n\r\n" + std::string(5000000, 'x'), "413", "tooLarge"},
        {"a chunked body over the limit", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk + chunk, "413", "tooLarge"},
        {"a header with a zero byte", std::string("GET / HTTP/1.1\r\nA: b\0c\r\n\r\n", 27), "400", "badRequest"},
        {"not HTTP", "hello there, this is no HTTP\r\n\r\n", "400", "badRequest"},
        {"an unknown method", "FETCH / HTTP/1.1\r\n\r\n", "400", "badRequest"},
        {"an invalid version", "GET / HTTX/1.1\r\n\r\n", "400", "badRequest"},
        {"a header without colon", "GET / HTTP/1.1\r\nnonsense\r\n\r\n", "400", "badRequest"},
        {"a header without name", "GET / HTTP/1.1\r\n: value\r\n\r\n", "400", "badRequest"},
        {"a last header without colon", "GET / HTTP/1.1\r\nA: b\r\nnonsense\r\nC: d\r\n\r\n", "400", "badRequest"},
        {"a content length that is not a number", "POST / HTTP/1.1\r\nContent-Length: abc\r\n\r\n", "400", "badRequest"},
        {"a negative content length", "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", "400", "badRequest"},
        {"a content length over 64 bits", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", "400", "badRequest"},
        {"a chunk size that is not a number", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400", "badRequest"},
        {"a chunk size over 64 bits", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffffffff\r\nabc", "413", "tooLarge"},
        {"a chunk size of 2^63", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n8000000000000000\r\n" + std::string(5000, 'x'), "413", "tooLarge"},
        {"two different content lengths", "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello", "400", "badRequest"},
        {"a content length and chunked encoding", "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400", "badRequest"},
        {"an unterminated request line", "GET /" + std::string(20000, 'x'), "413", "tooLarge"},
    };
    for (const Fault &fault : faults) {
        INFO(fault.name);
        Server server;
        RawSocket client(server.loop, server.port);
        client.send(fault.bytes);
        CHECK(server.until([&] { return client.closedByPeer; }));
        INFO(client.received.substr(0, 400));
        REQUIRE(client.received.rfind(std::string("HTTP/1.1 ") + fault.status + " ", 0) == 0);
        const auto error = nlohmann::json::parse(bodyOf(client.received)).at("error");
        CHECK(error.at("code") == fault.code);
        CHECK(error.at("verdict") == "notRun");
        CHECK(server.paths.empty());
        CHECK(server.server->counters().badRequests + server.server->counters().tooLarge == 1);
        client.close();
        CHECK(server.until([&] { return server.server->openConnections() == 0; }));
    }
}

TEST_CASE("a request whose transfer encoding is not understood is refused, and not handled without its body", "[http][server]")
{
    for (const char *encoding : {"CHUNKED", "chunked ", "chunked\t", "gzip, chunked", "identity", ""}) {
        INFO("'" << encoding << "'");
        Server server;
        RawSocket client(server.loop, server.port);
        client.send(std::string("POST /order HTTP/1.1\r\nTransfer-Encoding: ") + encoding + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
        CHECK(server.until([&] { return client.closedByPeer; }));
        CHECK(client.received.rfind("HTTP/1.1 400 ", 0) == 0);
        CHECK(server.paths.empty());
    }
}

TEST_CASE("pipelined requests are answered in order even if the first response is delayed", "[http][server]")
{
    Server server;
    RawSocket client(server.loop, server.port);
    client.send(get("/late") + get("/now") + get("/now") + get("/late"));
    REQUIRE(server.until([&] { return server.waiting.size() == 1; }));
    CHECK(server.paths == std::vector<std::string>{"/late"});
    server.waiting[0]->respond({200, {}, "late"});
    REQUIRE(server.until([&] { return server.waiting.size() == 2; }));
    server.waiting[1]->respond({200, {}, "last"});
    REQUIRE(server.until([&] { return count(client.received, "HTTP/1.1 200") == 4 && client.received.find("last") != std::string::npos; }));
    CHECK(client.received.find("late") < client.received.find("now"));
    CHECK(client.received.rfind("now") < client.received.find("last"));
    CHECK(server.server->requestsInFlight() == 0);
}

TEST_CASE("a disconnect while a request is handled calls the disconnect handler", "[http][server]")
{
    struct Fault
    {
        const char *name;
        std::string bytes;
        void (RawSocket::*leave)();
    };
    const std::vector<Fault> faults{
        {"closes", get("/late"), &RawSocket::close},
        {"resets", get("/late"), &RawSocket::reset},
        {"closes with a second request pipelined", get("/late") + get("/late2"), &RawSocket::close},
        {"resets with a second request pipelined", get("/late") + get("/late2"), &RawSocket::reset},
        {"closes in the middle of a second request", get("/late") + "GET /la", &RawSocket::close},
    };
    for (const Fault &fault : faults) {
        INFO(fault.name);
        Server server;
        RawSocket client(server.loop, server.port);
        client.send(fault.bytes);
        REQUIRE(server.until([&] { return server.waiting.size() == 1; }));
        server.loop.runUntil([] { return false; }, 10ms);
        (client.*fault.leave)();
        CHECK(server.until([&] { return !server.disconnected.empty(); }));
        CHECK(server.disconnected == std::vector<std::string>{"/late"});
        CHECK(server.until([&] { return server.server->openConnections() == 0; }));
        CHECK(server.server->requestsInFlight() == 0);
        server.waiting[0]->respond({200, {}, "too late"});
        server.waiting[0]->sendChunk("too late");
        server.waiting[0]->finish();
        CHECK(server.server->counters().droppedAnswers == 1);
        CHECK(server.paths.size() == 1);
    }
}

TEST_CASE("connections of slow and idle clients are closed", "[http][server]")
{
    HttpServerLimits limits = Server::smallLimits();
    limits.requestTime = 40ms;
    limits.idleTime = 40ms;
    struct Fault
    {
        const char *name;
        std::string bytes;
        bool timedOut;
    };
    const std::vector<Fault> faults{
        {"nothing sent", "", false},
        {"half a request line", "GET /la", true},
        {"half a header", "GET /now HTTP/1.1\r\nHo", true},
        {"half a body", "POST /now HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", true},
        {"idle after an answer", get("/now"), false},
        {"half of a second request", get("/now") + "GET /now HTTP/1.1\r\nHo", true},
    };
    for (const Fault &fault : faults) {
        INFO(fault.name);
        Server server(limits);
        RawSocket client(server.loop, server.port);
        client.send(fault.bytes);
        CHECK(server.until([&] { return client.closedByPeer; }));
        CHECK(server.server->openConnections() == 0);
        CHECK(server.server->counters().timedOut == (fault.timedOut ? 1 : 0));
    }
}

TEST_CASE("a connection is not closed while the handler takes longer than the time limits", "[http][server]")
{
    HttpServerLimits limits = Server::smallLimits();
    limits.requestTime = 20ms;
    limits.idleTime = 20ms;
    Server server(limits);
    RawSocket client(server.loop, server.port);
    client.send(get("/late"));
    server.loop.runUntil([] { return false; }, 150ms);
    REQUIRE(server.waiting.size() == 1);
    server.waiting[0]->respond({200, {}, "done"});
    CHECK(server.until([&] { return client.received.find("done") != std::string::npos; }));
}

TEST_CASE("a connection is closed only if the client does not read a large response", "[http][server]")
{
    HttpServerLimits limits = Server::smallLimits();
    limits.requestTime = 500ms;
    Server server(limits);
    RawSocket client(server.loop, server.port);
    client.send(get("/late"));
    REQUIRE(server.until([&] { return server.waiting.size() == 1; }));
    const std::string large(20000000, 'x');
    SECTION("does not read")
    {
        client.stopReading();
        server.waiting[0]->respond({200, {}, large});
        CHECK(server.until([&] { return server.server->openConnections() == 0; }));
        CHECK(server.server->counters().timedOut == 1);
    }
    SECTION("reads, but not all within the limit")
    {
        server.waiting[0]->respond({200, {}, large});
        constexpr std::size_t PieceBytes = 2000000;
        for (std::size_t bytes = PieceBytes; bytes < large.size() / 2; bytes += PieceBytes) {
            REQUIRE(server.until([&] { return client.received.size() > bytes; }));
            client.stopReading();
            server.loop.runUntil([] { return false; }, 150ms);
            client.startReading();
        }
        CHECK(server.until([&] { return client.received.size() > large.size(); }));
        CHECK(server.server->counters().timedOut == 0);
    }
}

TEST_CASE("connections in excess of the limit are closed immediately", "[http][server]")
{
    HttpServerLimits limits = Server::smallLimits();
    limits.connections = 2;
    Server server(limits);
    RawSocket first(server.loop, server.port);
    RawSocket second(server.loop, server.port);
    first.send(get("/now"));
    second.send(get("/now"));
    REQUIRE(server.until([&] { return !first.received.empty() && !second.received.empty(); }));
    RawSocket third(server.loop, server.port);
    third.send(get("/now"));
    CHECK(server.until([&] { return third.closedByPeer; }));
    CHECK(third.received.empty());
    CHECK(server.server->counters().refusedConnections == 1);
    first.close();
    CHECK(server.until([&] { return server.server->openConnections() == 1; }));
    RawSocket fourth(server.loop, server.port);
    fourth.send(get("/now"));
    CHECK(server.until([&] { return !fourth.received.empty(); }));
}

TEST_CASE("a new connection in excess of the limit takes the place of the one that has been idle longest", "[http][server]")
{
    HttpServerLimits limits = Server::smallLimits();
    limits.connections = 3;
    Server server(limits);
    RawSocket busy(server.loop, server.port);
    busy.send(get("/late"));
    REQUIRE(server.until([&] { return server.waiting.size() == 1; }));
    RawSocket idle(server.loop, server.port);
    RawSocket recent(server.loop, server.port);
    idle.send(get("/now"));
    recent.send(get("/now"));
    REQUIRE(server.until([&] { return !idle.received.empty() && !recent.received.empty(); }));
    server.loop.runUntil([] { return false; }, 600ms);
    recent.send(get("/now"));
    server.loop.runUntil([] { return false; }, 600ms);
    RawSocket added(server.loop, server.port);
    added.send(get("/now"));
    CHECK(server.until([&] { return idle.closedByPeer && !added.received.empty(); }));
    CHECK_FALSE(recent.closedByPeer);
    CHECK_FALSE(busy.closedByPeer);
    CHECK(server.server->counters().replacedConnections == 1);
    CHECK(server.server->counters().refusedConnections == 0);
    server.waiting[0]->respond({200, {}, "late"});
    CHECK(server.until([&] { return busy.received.find("late") != std::string::npos; }));
}

TEST_CASE("a new connection takes the place of the next one if a request is arriving on the one that has been idle longest", "[http][server]")
{
    HttpServerLimits limits = Server::smallLimits();
    limits.connections = 2;
    Server server(limits);
    const int oldest = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(server.port);
    REQUIRE(connect(oldest, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
    REQUIRE(server.until([&] { return server.server->openConnections() == 1; }));
    RawSocket other(server.loop, server.port);
    REQUIRE(server.until([&] { return server.server->openConnections() == 2; }));
    server.loop.runUntil([] { return false; }, 1200ms);
    // The server accepts the new connection before it reads the request.
    RawSocket added(server.loop, server.port);
    const std::string request = get("/now");
    REQUIRE(send(oldest, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
    added.send(request);
    CHECK(server.until([&] { return !server.paths.empty() && (!added.received.empty() || added.closedByPeer); }));
    CHECK_FALSE(added.received.empty());
    CHECK(other.closedByPeer);
    CHECK(server.server->counters().replacedConnections == 1);
    CHECK(server.server->counters().refusedConnections == 0);
    close(oldest);
}

TEST_CASE("responses close their connections while others are refused at the limit", "[http][server]")
{
    HttpServerLimits limits = Server::smallLimits();
    limits.connections = 1;
    Server server(limits);
    RawSocket client(server.loop, server.port);
    client.send(get("/now"));
    REQUIRE(server.until([&] { return !client.received.empty(); }));
    CHECK(client.received.find("Connection: close") == std::string::npos);
    RawSocket refused(server.loop, server.port);
    REQUIRE(server.until([&] { return refused.closedByPeer; }));
    client.received.clear();
    client.send(get("/now"));
    CHECK(server.until([&] { return client.closedByPeer; }));
    CHECK(client.received.find("Connection: close") != std::string::npos);
    SECTION("and are kept again a second later")
    {
        client.close();
        server.loop.runUntil([] { return false; }, 1100ms);
        RawSocket later(server.loop, server.port);
        later.send(get("/now"));
        REQUIRE(server.until([&] { return !later.received.empty(); }));
        CHECK(later.received.find("Connection: close") == std::string::npos);
    }
}

TEST_CASE("closeConnectionsAfterAnswers completes all requests", "[http][server]")
{
    Server server;
    RawSocket idle(server.loop, server.port);
    RawSocket late(server.loop, server.port);
    RawSocket pipelined(server.loop, server.port);
    RawSocket arriving(server.loop, server.port);
    idle.send(get("/now"));
    late.send(get("/late"));
    pipelined.send(get("/late") + get("/now"));
    REQUIRE(server.until([&] { return !idle.received.empty() && server.waiting.size() == 2 && server.server->openConnections() == 4; }));
    arriving.send("GET /now HTTP/1.1\r\n");
    server.loop.runUntil([] { return false; }, 10ms);

    server.server->closeConnectionsAfterAnswers();
    CHECK(server.until([&] { return idle.closedByPeer; }));
    arriving.send("Host: x\r\n\r\n");
    for (const auto &responder : server.waiting) {
        responder->respond({200, {}, "late"});
    }
    for (RawSocket *client : {&late, &pipelined, &arriving}) {
        CHECK(server.until([&] { return client->closedByPeer; }));
        CHECK(client->received.find("Connection: close") != std::string::npos);
        client->close();
    }
    CHECK(late.received.find("late") != std::string::npos);
    CHECK(arriving.received.find("now") != std::string::npos);
    CHECK(server.until([&] { return server.server->openConnections() == 0; }));
}

TEST_CASE("the connection of an HTTP/1.0 client is closed after the response", "[http][server]")
{
    Server server;
    RawSocket client(server.loop, server.port);
    const char *path = GENERATE("/now", "/late");
    client.send(std::string("GET ") + path + " HTTP/1.0\r\n\r\n");
    REQUIRE(server.until([&] { return !server.paths.empty(); }));
    if (!server.waiting.empty()) {
        server.waiting[0]->respond({200, {}, "now"});
    }
    CHECK(server.until([&] { return client.closedByPeer; }));
    CHECK(bodyOf(client.received) == "now");
}

TEST_CASE("the body of a request with a form content type is not decoded", "[http][server]")
{
    Server server;
    std::string body;
    server.server->setHandler([&](const HttpServerRequest &incoming, const std::shared_ptr<HttpResponder> &responder) {
        body = incoming.body;
        responder->respond({});
    });
    RawSocket client(server.loop, server.port);
    const std::string sent = R"({"index":"parts","query":"a&b=%zz"})";
    client.send("POST / HTTP/1.1\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: " + std::to_string(sent.size()) + "\r\n\r\n" + sent);
    CHECK(server.until([&] { return !client.received.empty(); }));
    CHECK(body == sent);
}

TEST_CASE("random input neither crashes the server nor leaks connections or requests", "[http][server]")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    INFO("seed " << seed);
    std::mt19937 random(seed);
    Server server;
    const std::vector<std::string> fragments{get("/now"),
                                             get("/late"),
                                             "GET ",
                                             "POST / HTTP/1.1\r\n",
                                             "Content-Length: 3\r\n",
                                             "\r\n",
                                             "abc",
                                             "Transfer-Encoding: chunked\r\n",
                                             "3\r\nabc\r\n",
                                             "0\r\n\r\n",
                                             std::string(1, '\0'),
                                             "%",
                                             "\xff\xfe",
                                             ":",
                                             " "};
    for (int round = 0; round < 150; ++round) {
        RawSocket client(server.loop, server.port);
        for (unsigned piece = 0; piece < 1 + random() % 8; ++piece) {
            client.send(fragments[random() % fragments.size()]);
            server.loop.runUntil([] { return false; }, Duration(random() % 200));
        }
        if (!server.waiting.empty() && random() % 2 == 0) {
            server.waiting.back()->respond({200, {}, "drawn"});
        }
        server.loop.runUntil([] { return false; }, Duration(random() % 200));
    }
    server.waiting.clear();
    CHECK(server.until([&] { return server.server->openConnections() == 0; }));
    CHECK(server.server->requestsInFlight() == 0);
}
