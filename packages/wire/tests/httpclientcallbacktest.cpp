#include "rawsocket.h"

#include <burdock/wire/factories.h>

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <vector>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

constexpr int Calls = 4000;
constexpr std::size_t BodyLimit = 1000;

/// Answers, closes or stays silent, depending on how many requests it has seen.
RawServer::Behaviour changeable()
{
    return [seen = 0](RawSocket &socket) mutable {
        if (socket.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        socket.received.clear();
        constexpr int Behaviours = 7;
        switch (++seen % Behaviours) {
        case 1:
            return socket.close();
        case 2:
            socket.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
            return socket.close();
        case 3:
            return;
        case 4:
            return socket.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
        case 5:
            return socket.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nsurplus");
        default:
            return socket.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    };
}

/// Sends calls to addresses that fail in different ways. Each callback sends, cancels and changes limits.
class Storm
{
public:
    explicit Storm(std::uint32_t seed)
        : server_(loop_, changeable())
        , client_(makeHttpClient(loop_, {3, 2, BodyLimit}))
        , random_(seed)
    {
        EventLoop other;
        const Address closed = RawServer(other, nullptr).address();
        // The last two fail at once: no route, and no valid port.
        addresses_ = {server_.address(), server_.address(), closed, {"255.255.255.255", 9}, {"127.0.0.1", 0}};
    }

    void run()
    {
        constexpr int AtOnce = 40;
        for (int number = 0; number < AtOnce; ++number) {
            send();
        }
        REQUIRE(loop_.runUntil([this] { return sent_ == Calls && open_.empty(); }, 60s));
    }

    /// Each call that was not cancelled ended once.
    void check() const
    {
        CHECK(ended_ + cancelled_ == Calls);
        CHECK(wrong_ == 0);
        CHECK(ended_ > 0);
        CHECK(cancelled_ > 0);
    }

private:
    int draw(int below)
    {
        return std::uniform_int_distribution<int>(0, below - 1)(random_);
    }

    void send()
    {
        if (sent_ == Calls) {
            return;
        }
        const int number = ++sent_;
        HttpRequest request;
        request.address = addresses_[static_cast<std::size_t>(draw(static_cast<int>(addresses_.size())))];
        request.method = "POST";
        request.path = draw(50) == 0 ? "not a path" : "/x";
        request.body = "body";
        request.timeout = std::chrono::milliseconds(1 + draw(20));
        if (draw(3) == 0) {
            request.onBodyChunk = [this](const std::string &) { act(); };
        }
        inSend_ = true;
        open_[number] = client_->send(std::move(request), [this, number](const Result<HttpResponse> &) { onDone(number); });
        inSend_ = false;
    }

    void onDone(int number)
    {
        wrong_ += inSend_ || open_.erase(number) != 1 ? 1 : 0;
        ++ended_;
        act();
        send();
    }

    void act()
    {
        switch (draw(6)) {
        case 0:
            send();
            break;
        case 1:
            if (!open_.empty()) {
                const auto chosen = open_.begin();
                client_->cancel(chosen->second);
                open_.erase(chosen);
                ++cancelled_;
                send();
            }
            break;
        case 2:
            client_->setLimits(addresses_[static_cast<std::size_t>(draw(4))], {static_cast<std::uint32_t>(1 + draw(4)), 1, BodyLimit});
            break;
        case 3:
            client_->closeIdle();
            break;
        default:
            break;
        }
    }

    EventLoop loop_;
    RawServer server_;
    std::unique_ptr<HttpClient> client_;
    std::mt19937 random_;
    std::vector<Address> addresses_;
    std::map<int, HttpCallId> open_;
    int sent_ = 0;
    int ended_ = 0;
    int cancelled_ = 0;
    int wrong_ = 0;
    bool inSend_ = false;
};

} // namespace

TEST_CASE("calls that end others and change limits within their callbacks, while connects fail, end once each", "[http][client][callbacks]")
{
    Storm storm(GENERATE(1U, 2U, 3U, 4U));
    storm.run();
    storm.check();
}
