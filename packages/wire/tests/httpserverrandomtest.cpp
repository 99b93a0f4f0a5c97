#include "rawsocket.h"

#include <burdock/wire/factories.h>

#include <catch2/catch.hpp>
#include <random>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

constexpr Duration RunTime = 2ms;
constexpr Duration TestTimeout = 5s;

/// A server whose handler answers at random, at once or later, and does within it whatever the owner of a server may do; its clients
/// send requests in pieces and go away at random.
class ServerWorld
{
public:
    explicit ServerWorld(std::uint64_t seed)
        : random_(seed)
        , server_(makeHttpServer(loop_, HttpServerLimits()))
    {
        server_->setHandler([this](const HttpServerRequest &, const std::shared_ptr<HttpResponder> &responder) { handle(responder); });
        const auto bound = server_->listen({"127.0.0.1", 0});
        REQUIRE(bound);
        port_ = bound->port;
    }

    void step()
    {
        switch (number(8)) {
        case 0:
            clients_.push_back(std::make_unique<RawSocket>(loop_, port_));
            return;
        case 1:
            return leave();
        case 2:
        case 3:
            return sendPiece();
        case 4:
            return answerWaiting();
        default:
            loop_.runUntil([] { return false; }, RunTime);
        }
    }

    void end()
    {
        clients_.clear();
        waiting_.clear();
        CHECK(loop_.runUntil([this] { return server_->openConnections() == 0; }, TestTimeout));
        CHECK(server_->requestsInFlight() == 0);
    }

    std::size_t handled = 0;

private:
    int number(int below)
    {
        return static_cast<int>(random_() % static_cast<std::uint64_t>(below));
    }

    void handle(const std::shared_ptr<HttpResponder> &responder)
    {
        ++handled;
        if (number(3) == 0) {
            waiting_.push_back(responder);
            responder->setDisconnectHandler([this] { act(); });
            return;
        }
        respond(*responder);
    }

    void respond(HttpResponder &responder)
    {
        if (number(4) == 0) {
            responder.sendChunk("piece");
            act();
            responder.finish();
        } else {
            responder.respond({200, {}, std::string(static_cast<std::size_t>(number(3) == 0 ? 100000 : 2), 'x')});
        }
        act();
        responder.respond({200, {}, "again"});
    }

    void act()
    {
        switch (number(6)) {
        case 0:
            return server_->closeConnectionsAfterAnswers();
        case 1:
            return server_->announceClose();
        case 2:
            return leave();
        case 3:
            return answerWaiting();
        default:
            return;
        }
    }

    void answerWaiting()
    {
        if (!waiting_.empty()) {
            const auto responder = waiting_.back();
            waiting_.pop_back();
            respond(*responder);
        }
    }

    void leave()
    {
        if (!clients_.empty()) {
            const auto client = clients_.begin() + number(static_cast<int>(clients_.size()));
            if (number(2) == 0) {
                (*client)->reset();
            } else {
                (*client)->halfClose();
            }
            clients_.erase(client);
        }
    }

    void sendPiece()
    {
        const std::string request = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
        if (clients_.empty()) {
            return;
        }
        RawSocket &client = *clients_[static_cast<std::size_t>(number(static_cast<int>(clients_.size())))];
        if (number(5) == 0) {
            client.send(request.substr(0, static_cast<std::size_t>(number(static_cast<int>(request.size())))));
        } else {
            client.send(number(3) == 0 ? request + request + request : request);
        }
    }

    EventLoop loop_;
    std::mt19937_64 random_;
    std::unique_ptr<HttpServer> server_;
    std::uint16_t port_ = 0;
    std::vector<std::unique_ptr<RawSocket>> clients_;
    std::vector<std::shared_ptr<HttpResponder>> waiting_;
};

} // namespace

TEST_CASE("Connections that are closed within the handlers of their own requests use nothing that is gone", "[http][server][random]")
{
    constexpr std::uint64_t Seeds = 30;
    constexpr int Steps = 150;
    std::size_t handled = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        INFO("seed " << seed);
        ServerWorld world(seed);
        for (int step = 0; step < Steps; ++step) {
            world.step();
        }
        if (seed % 2 == 0) {
            world.end();
        }
        handled += world.handled;
    }
    CHECK(handled > Seeds * Steps / 20);
}
