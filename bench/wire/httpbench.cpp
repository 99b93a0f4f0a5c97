#include "bench.h"

#include <array>
#include <burdock/wire/factories.h>
#include <cstdlib>
#include <fcntl.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

namespace Burdock::Bench
{

namespace
{

constexpr std::size_t Runs = 7;
constexpr std::size_t Calls = 8000;
constexpr std::size_t Parallel = 16;
constexpr Duration Patience = std::chrono::seconds(60);
const Address AnyPort{"127.0.0.1", 0};
const std::string RequestBody(200, 'q');
const std::string ResponseBody(1200, 'r');

void require(bool condition, const char *what)
{
    if (!condition) {
        std::fprintf(stderr, "wirebench: %s\n", what);
        std::_Exit(1);
    }
}

HttpServerLimits roomyLimits()
{
    HttpServerLimits limits;
    limits.connections = 2000;
    return limits;
}

HttpRequest request(const Address &address)
{
    return {address, "POST", "/search", {{"X-Request-Id", "capital-1-entry-017-3-1234567"}, {"X-Rank", "urgent"}}, RequestBody, Patience, nullptr};
}

/// Makes the calls, sixteen at a time over as many connections.
void makeCalls(EventLoop &loop, HttpClient &client, const Address &address, std::size_t count)
{
    std::size_t started = 0;
    std::size_t done = 0;
    std::function<void()> next = [&] {
        if (started == count) {
            return;
        }
        ++started;
        client.send(request(address), [&](const Result<HttpResponse> &result) {
            require(result.has_value() && result->body.size() == ResponseBody.size(), "a call failed");
            ++done;
            next();
        });
    };
    for (std::size_t i = 0; i < Parallel; ++i) {
        next();
    }
    require(loop.runUntil([&] { return done == count; }, Patience), "calls did not end");
}

/// Serves in a child process until its input ends; then writes its own processor time per request.
[[noreturn]] void serve(int portPipe, int stopPipe, int resultPipe)
{
    EventLoop loop;
    const auto server = makeHttpServer(loop, roomyLimits());
    server->setHandler([](const HttpServerRequest &, const std::shared_ptr<HttpResponder> &responder) { responder->respond({200, {}, ResponseBody}); });
    const Address address = server->listen(AnyPort).value();
    require(write(portPipe, &address.port, sizeof(address.port)) == sizeof(address.port), "pipe");
    close(portPipe);
    const double before = processorMicroseconds();
    std::function<void()> poll = [&] {
        char byte = 0;
        if (read(stopPipe, &byte, 1) == 0) {
            loop.stop();
            return;
        }
        loop.schedule(std::chrono::milliseconds(100), poll);
    };
    loop.schedule(std::chrono::milliseconds(100), poll);
    loop.run();
    const double perRequest = (processorMicroseconds() - before) / static_cast<double>(server->counters().requests);
    require(write(resultPipe, &perRequest, sizeof(perRequest)) == sizeof(perRequest), "pipe");
    std::_Exit(0);
}

void benchCalls()
{
    std::array<int, 2> port{};
    std::array<int, 2> stop{};
    std::array<int, 2> result{};
    require(pipe(port.data()) == 0 && pipe2(stop.data(), O_NONBLOCK) == 0 && pipe(result.data()) == 0, "pipe");
    std::fflush(stdout);
    const pid_t child = fork();
    if (child == 0) {
        close(stop[1]);
        serve(port[1], stop[0], result[1]);
    }
    close(stop[0]);
    Address address = AnyPort;
    require(read(port[0], &address.port, sizeof(address.port)) == sizeof(address.port), "the server did not start");
    {
        EventLoop loop;
        const auto client = makeHttpClient(loop, {Parallel, Parallel, 0});
        const auto runs = timeRuns(Runs, static_cast<double>(Calls), [&] { makeCalls(loop, *client, address, Calls); });
        printRuns("http.client", runs, "us/call");
    }
    close(stop[1]);
    double perRequest = 0;
    require(read(result[0], &perRequest, sizeof(perRequest)) == sizeof(perRequest), "the server gave no result");
    print("http.server", perRequest, "us/request");
    waitpid(child, nullptr, 0);
}

void benchMemory()
{
    std::vector<std::pair<double, double>> serverPoints;
    std::vector<std::pair<double, double>> clientPoints;
    for (const std::size_t count : {50, 100, 200, 400}) {
        EventLoop loop;
        const auto server = makeHttpServer(loop, roomyLimits());
        std::vector<std::shared_ptr<HttpResponder>> open;
        server->setHandler([&](const HttpServerRequest &, std::shared_ptr<HttpResponder> responder) { open.push_back(std::move(responder)); });
        const Address address = server->listen(AnyPort).value();
        const auto connections = static_cast<std::uint32_t>(count);
        auto client = makeHttpClient(loop, {connections, connections, 0});
        const double before = allocatedBytes();
        std::size_t done = 0;
        for (std::size_t i = 0; i < count; ++i) {
            client->send(request(address), [&](const Result<HttpResponse> &) { ++done; });
        }
        require(loop.runUntil([&] { return open.size() == count; }, Patience), "requests did not arrive");
        for (const auto &responder : std::exchange(open, {})) {
            responder->respond({200, {}, ResponseBody});
        }
        require(loop.runUntil([&] { return done == count; }, Patience), "answers did not arrive");
        const double both = allocatedBytes();
        client.reset();
        const double serverOnly = allocatedBytes();
        // The server still holds its ends: it has not had a turn to see them close.
        print(("http.client.memory." + std::to_string(count)).c_str(), (both - serverOnly) / 1024, "KiB");
        print(("http.server.memory." + std::to_string(count)).c_str(), (serverOnly - before) / 1024, "KiB");
        clientPoints.emplace_back(static_cast<double>(count), both - serverOnly);
        serverPoints.emplace_back(static_cast<double>(count), serverOnly - before);
    }
    print("http.client.memory.slope", slope(clientPoints) / 1024, "KiB/idle connection");
    print("http.server.memory.slope", slope(serverPoints) / 1024, "KiB/idle connection");
}

} // namespace

void benchHttp()
{
    benchCalls();
    benchMemory();
}

} // namespace Burdock::Bench
