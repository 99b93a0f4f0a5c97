#include "nodescriptors.h"
#include "rawsocket.h"

#include <burdock/wire/factories.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cerrno>
#include <dlfcn.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

constexpr Duration TestTimeout = 5s;
/// Longer than a connection must have been idle before it is closed for another.
constexpr Duration IdleLongEnough = 1100ms;

/// The error with which the next accepts fail, and how many of them do.
int acceptError = 0;
int failingAccepts = 0;

std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

/// A server that answers each request at once.
struct Server
{
    explicit Server(EventLoop &eventLoop, HttpServerLimits limits = {}, std::shared_ptr<ConnectionPool> pool = nullptr)
        : loop(eventLoop)
        , server(makeHttpServer(loop, limits, std::move(pool)))
        , port(server->listen({"127.0.0.1", 0}).value().port)
    {
        server->setHandler([](const HttpServerRequest &, const std::shared_ptr<HttpResponder> &responder) { responder->respond({200, {}, "served"}); });
    }

    std::unique_ptr<RawSocket> connect()
    {
        auto socket = std::make_unique<RawSocket>(loop, port);
        socket->send(get("/"));
        return socket;
    }

    EventLoop &loop;
    std::unique_ptr<HttpServer> server;
    std::uint16_t port;
};

bool isServed(const RawSocket &socket)
{
    return socket.received.find("served") != std::string::npos;
}

void pass(EventLoop &loop, Duration span)
{
    loop.runUntil([] { return false; }, span);
}

} // namespace

/// Takes the place of the C library's function in the test program.
extern "C" int accept4(int socket, sockaddr *address, socklen_t *length, int flags)
{
    using Function = int (*)(int, sockaddr *, socklen_t *, int);
    static const auto original = reinterpret_cast<Function>(dlsym(RTLD_NEXT, "accept4"));
    if (failingAccepts == 0) {
        return original(socket, address, length, flags);
    }
    --failingAccepts;
    if (acceptError == EPROTO || acceptError == EPERM) {
        // The kernel drops the connection that failed.
        const int dropped = original(socket, nullptr, nullptr, flags);
        if (dropped >= 0) {
            close(dropped);
        }
    }
    errno = acceptError;
    return -1;
}

TEST_CASE("An accept that fails for its own connection closes no idle connection and makes no other wait", "[http][server][accept]")
{
    EventLoop loop;
    Server server(loop);
    const auto kept = server.connect();
    REQUIRE(loop.runUntil([&] { return isServed(*kept); }, TestTimeout));
    pass(loop, IdleLongEnough);
    acceptError = GENERATE(EPROTO, EPERM);
    failingAccepts = 1;
    const auto dropped = server.connect();
    REQUIRE(loop.runUntil([&] { return dropped->closedByPeer; }, TestTimeout));
    const auto next = server.connect();
    CHECK(loop.runUntil([&] { return isServed(*next); }, 90ms));
    CHECK_FALSE(kept->closedByPeer);
    CHECK(server.server->counters().replacedConnections == 0);
    CHECK(server.server->counters().failedAccepts == 1);
    CHECK(server.server->counters().shortages == 0);
    CHECK(next->received.find("Connection: close") == std::string::npos);
}

TEST_CASE("An accept that fails for another reason closes no idle connection and is tried again", "[http][server][accept]")
{
    EventLoop loop;
    Server server(loop);
    const auto kept = server.connect();
    REQUIRE(loop.runUntil([&] { return isServed(*kept); }, TestTimeout));
    pass(loop, IdleLongEnough);
    acceptError = EINVAL;
    failingAccepts = 1;
    const auto next = server.connect();
    CHECK(loop.runUntil([&] { return isServed(*next); }, TestTimeout));
    CHECK_FALSE(kept->closedByPeer);
    CHECK(server.server->counters().replacedConnections == 0);
    CHECK(server.server->counters().shortages == 0);
}

TEST_CASE("For lack of descriptors an idle connection of any server of the process is closed for a new one", "[http][server][accept]")
{
    EventLoop loop;
    const auto pool = std::make_shared<ConnectionPool>(100);
    Server first(loop, {}, pool);
    Server second(loop, {}, pool);
    std::vector<std::unique_ptr<RawSocket>> kept;
    for (int count = 0; count < 3; ++count) {
        kept.push_back(first.connect());
    }
    const auto allServed = [&] { return std::all_of(kept.begin(), kept.end(), [](const auto &socket) { return isServed(*socket); }); };
    REQUIRE(loop.runUntil(allServed, TestTimeout));
    pass(loop, IdleLongEnough);
    acceptError = GENERATE(EMFILE, ENFILE, ENOMEM);
    failingAccepts = 1;
    const auto next = second.connect();
    CHECK(loop.runUntil([&] { return isServed(*next); }, TestTimeout));
    CHECK(second.server->counters().shortages == 1);
    CHECK(first.server->openConnections() == 2);
}

TEST_CASE("Connections over the limit of a pool replace idle ones, and each server keeps its reserve", "[http][server][accept]")
{
    EventLoop loop;
    const auto pool = std::make_shared<ConnectionPool>(3);
    HttpServerLimits reserving;
    reserving.reserved = 1;
    Server clients(loop, {}, pool);
    Server directory(loop, reserving, pool);
    std::vector<std::unique_ptr<RawSocket>> kept;
    for (int count = 0; count < 3; ++count) {
        kept.push_back(clients.connect());
    }
    const auto allServed = [&] { return std::all_of(kept.begin(), kept.end(), [](const auto &socket) { return isServed(*socket); }); };
    REQUIRE(loop.runUntil(allServed, TestTimeout));
    // None has been idle for long enough to be closed.
    const auto reserved = directory.connect();
    CHECK(loop.runUntil([&] { return isServed(*reserved); }, TestTimeout));
    const auto refused = directory.connect();
    CHECK(loop.runUntil([&] { return refused->closedByPeer; }, TestTimeout));
    CHECK_FALSE(isServed(*refused));
    pass(loop, IdleLongEnough);
    const auto replacing = directory.connect();
    CHECK(loop.runUntil([&] { return isServed(*replacing); }, TestTimeout));
    CHECK(clients.server->openConnections() == 2);
}

#ifndef __SANITIZE_ADDRESS__
// The sanitizers open a pipe to look at an object, and report it as broken without a descriptor.
TEST_CASE("A call that cannot connect for lack of a descriptor is tried again once one was closed", "[http][client][accept]")
{
    EventLoop loop;
    Server server(loop);
    const auto client = makeHttpClient(loop, {1, 1, 1000});
    const HttpRequest request{{"127.0.0.1", server.port}, "GET", "/", {}, {}, TestTimeout, nullptr};
    std::optional<Result<HttpResponse>> result;
    auto descriptors = std::make_unique<NoDescriptors>();
    const bool canClose = GENERATE(true, false);
    int asked = 0;
    client->setShortageHandler([&] {
        ++asked;
        descriptors = canClose ? nullptr : std::move(descriptors);
        return canClose;
    });
    client->send(request, [&](Result<HttpResponse> given) { result = std::move(given); });
    REQUIRE(loop.runUntil([&] { return result.has_value(); }, TestTimeout));
    CHECK(asked == 1);
    CHECK(result->has_value() == canClose);
    if (!canClose) {
        CHECK(result->error().verdict == Verdict::NotRun);
    }
}
#endif
