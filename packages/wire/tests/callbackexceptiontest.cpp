#include "linknode.h"
#include "rawsocket.h"

#include <burdock/wire/factories.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

using namespace Burdock;
using namespace std::chrono_literals;

// An exception that crosses libevent ends the process with all its requests.

namespace
{

[[noreturn]] void fail()
{
    throw std::runtime_error("thrown by a test");
}

std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

/// A server whose handler throws at some paths, and the requests that were ended.
struct ThrowingServer
{
    ThrowingServer()
        : port(server->listen({"127.0.0.1", 0}).value().port)
    {
        server->setHandler([this](const HttpServerRequest &incoming, const std::shared_ptr<HttpResponder> &responder) { serve(incoming, responder); });
    }

    void serve(const HttpServerRequest &incoming, const std::shared_ptr<HttpResponder> &responder)
    {
        responder->setDisconnectHandler([this, path = incoming.path] { ended.push_back(path); });
        if (incoming.path == "/throw") {
            fail();
        }
        if (incoming.path == "/later") {
            loop.schedule(1ms, [] { fail(); });
            return;
        }
        if (incoming.path == "/begun") {
            responder->sendChunk("a part");
            loop.schedule(1ms, [] { fail(); });
            return;
        }
        if (incoming.path == "/wait") {
            responder->setDisconnectHandler([] { fail(); });
            waiting.push_back(responder);
            return;
        }
        responder->respond({200, {}, "served"});
    }

    bool until(const std::function<bool()> &condition)
    {
        return loop.runUntil(condition, TestTimeout);
    }

    EventLoop loop;
    std::unique_ptr<HttpServer> server = makeHttpServer(loop, HttpServerLimits());
    std::uint16_t port;
    std::vector<std::string> ended;
    std::vector<std::shared_ptr<HttpResponder>> waiting;
};

bool contains(const RawSocket &socket, const std::string &text)
{
    return socket.received.find(text) != std::string::npos;
}

} // namespace

TEST_CASE("A request whose handler throws is answered 500 and may have run, and its connection serves the next one", "[boundary][server]")
{
    ThrowingServer fixture;
    const std::string path = GENERATE("/throw", "/later");
    RawSocket socket(fixture.loop, fixture.port);
    socket.send(get(path));
    REQUIRE(fixture.until([&] { return contains(socket, "mayHaveRun"); }));
    CHECK(socket.received.rfind("HTTP/1.1 500 ", 0) == 0);
    const auto error = nlohmann::json::parse(socket.received.substr(socket.received.find("\r\n\r\n") + 4)).at("error");
    CHECK(error.at("code") == "internal");
    CHECK(error.at("verdict") == "mayHaveRun");
    // What the handler has started ends with its request.
    CHECK(fixture.ended == std::vector<std::string>{path});
    socket.send(get("/sound"));
    CHECK(fixture.until([&] { return contains(socket, "served"); }));
    CHECK(fixture.server->requestsInFlight() == 0);
}

TEST_CASE("A response in chunks whose handler throws does not look complete", "[boundary][server]")
{
    ThrowingServer fixture;
    RawSocket socket(fixture.loop, fixture.port);
    socket.send(get("/begun"));
    REQUIRE(fixture.until([&] { return socket.closedByPeer; }));
    CHECK(contains(socket, "a part"));
    CHECK_FALSE(contains(socket, "\r\n0\r\n"));
    CHECK(fixture.ended == std::vector<std::string>{"/begun"});
    CHECK(fixture.until([&] { return fixture.server->openConnections() == 0; }));
}

TEST_CASE("A disconnect handler or a timer that throws ends nothing else", "[boundary][server]")
{
    ThrowingServer fixture;
    RawSocket leaving(fixture.loop, fixture.port);
    leaving.send(get("/wait"));
    REQUIRE(fixture.until([&] { return fixture.waiting.size() == 1; }));
    leaving.close();
    CHECK(fixture.until([&] { return fixture.server->openConnections() == 0; }));
    CHECK(fixture.server->requestsInFlight() == 0);
    bool fired = false;
    fixture.loop.schedule(0ms, [] { fail(); });
    fixture.loop.schedule(1ms, [&] { fired = true; });
    CHECK(fixture.until([&] { return fired; }));
    RawSocket socket(fixture.loop, fixture.port);
    socket.send(get("/sound"));
    CHECK(fixture.until([&] { return contains(socket, "served"); }));
}

TEST_CASE("A call whose callback throws does not keep the calls behind it from their answers", "[boundary][client]")
{
    EventLoop loop;
    RawServer server(loop, [](RawSocket &socket) {
        while (contains(socket, "\r\n\r\n")) {
            socket.received.erase(0, socket.received.find("\r\n\r\n") + 4);
            socket.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    const auto client = makeHttpClient(loop, {1, 1, 1000});
    const HttpRequest request{server.address(), "GET", "/", {}, {}, TestTimeout, nullptr};
    int answered = 0;
    client->send(request, [](const Result<HttpResponse> &) { fail(); });
    client->send(request, [&](const Result<HttpResponse> &response) { answered += response.has_value() ? 1 : 0; });
    HttpRequest expired = request;
    expired.timeout = 0ms;
    expired.address = {"127.0.0.1", server.address().port};
    client->send(expired, [](const Result<HttpResponse> &) { fail(); });
    client->send(request, [&](const Result<HttpResponse> &response) { answered += response.has_value() ? 1 : 0; });
    CHECK(loop.runUntil([&] { return answered == 2; }, TestTimeout));
}

TEST_CASE("A call whose piece of the body cannot be handled fails", "[boundary][client]")
{
    EventLoop loop;
    RawServer server(loop, [](RawSocket &socket) {
        if (contains(socket, "\r\n\r\n")) {
            socket.received.clear();
            socket.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n3\r\ntwo\r\n");
        }
    });
    const auto client = makeHttpClient(loop, {1, 1, 1000});
    HttpRequest request{server.address(), "GET", "/", {}, {}, TestTimeout, nullptr};
    int pieces = 0;
    request.onBodyChunk = [&](const std::string &) {
        ++pieces;
        fail();
    };
    std::optional<Result<HttpResponse>> result;
    client->send(request, [&](Result<HttpResponse> given) { result = std::move(given); });
    REQUIRE(loop.runUntil([&] { return result.has_value(); }, TestTimeout));
    CHECK_FALSE(result->has_value());
    CHECK(result->error().verdict == Verdict::MayHaveRun);
    CHECK(pieces == 1);
    CHECK(loop.runUntil([&] { return client->openConnections(server.address()) == 0; }, TestTimeout));
}

TEST_CASE("A peer's message that cannot be handled costs no other message and no link", "[boundary][links]")
{
    EventLoop loop;
    Node sender(loop, "a");
    Node receiver(loop, "b");
    std::vector<std::uint64_t> received;
    receiver.links->setHandlers(
        [&](const InstanceId &, const PeerMessage &message) {
            const std::uint64_t number = std::get<CancelSubRequest>(message).id.number;
            if (number == 2) {
                fail();
            }
            received.push_back(number);
        },
        [](const InstanceId &) { fail(); });
    sender.links->setPeer(receiver.id, receiver.address);
    for (std::uint64_t number = 1; number <= 3; ++number) {
        sender.links->send(receiver.id, numbered(number));
    }
    REQUIRE(loop.runUntil([&] { return received.size() == 2; }, TestTimeout));
    CHECK(received == std::vector<std::uint64_t>{1, 3});
    CHECK(receiver.links->openLinks() == 1);
    CHECK(sender.lost.empty());
}

TEST_CASE("A datagram that cannot be handled costs no other datagram", "[boundary][datagram]")
{
    EventLoop loop;
    const auto sender = makeDatagramSocket(loop);
    const auto receiver = makeDatagramSocket(loop);
    REQUIRE(sender->bind({"127.0.0.1", 0}));
    const auto address = receiver->bind({"127.0.0.1", 0});
    REQUIRE(address);
    std::vector<std::string> received;
    receiver->setHandler([&](const Address &, const std::string &datagram) {
        received.push_back(datagram);
        if (received.size() == 1) {
            fail();
        }
    });
    sender->send(*address, "first");
    sender->send(*address, "second");
    CHECK(loop.runUntil([&] { return received.size() == 2; }, TestTimeout));
}
