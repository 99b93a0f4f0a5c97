#include "rawsocket.h"

#include <burdock/wire/factories.h>

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

constexpr Duration RunTime = 3ms;
constexpr Duration TestTimeout = 10s;
constexpr std::size_t BodyLimit = 2000;
constexpr int MaxDepth = 3;

/// Sends calls to servers that answer at random, and does at random, within the callbacks, whatever the owner of a client may do.
class ClientWorld
{
public:
    explicit ClientWorld(std::uint64_t seed)
        : random_(seed)
        , client_(makeHttpClient(loop_, {2, 1, BodyLimit}))
    {
        for (int count = 0; count < 3; ++count) {
            servers_.push_back(std::make_unique<RawServer>(loop_, [this](RawSocket &socket) { behave(socket); }));
            addresses_.push_back(servers_.back()->address());
        }
        // Connects that fail.
        addresses_.push_back({"127.0.0.1", 1});
        addresses_.push_back({"127.0.0.1", 0});
        addresses_.push_back({"0.0.0.1", 80});
    }

    void step()
    {
        if (number(3) == 0) {
            loop_.runUntil([] { return false; }, RunTime);
        } else {
            act();
        }
    }

    void end()
    {
        ending_ = true;
        CHECK(loop_.runUntil([this] { return pending_ == 0; }, TestTimeout));
        for (const auto &[key, call] : calls_) {
            CHECK(call.answers == (call.cancelled ? 0 : 1));
        }
    }

    std::size_t answers = 0;

private:
    struct Call
    {
        HttpCallId id = 0;
        int answers = 0;
        bool cancelled = false;
    };

    int number(int below)
    {
        return static_cast<int>(random_() % static_cast<std::uint64_t>(below));
    }

    void behave(RawSocket &socket)
    {
        const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
        switch (number(9)) {
        case 0:
            return socket.reset();
        case 1:
            socket.send(ok.substr(0, static_cast<std::size_t>(number(static_cast<int>(ok.size())))));
            return socket.close();
        case 2:
            socket.send(chunked.substr(0, static_cast<std::size_t>(number(static_cast<int>(chunked.size())))));
            return number(2) == 0 ? socket.halfClose() : socket.reset();
        case 3:
            return socket.send(ok + ok);
        case 4:
            return socket.send(chunked);
        case 5:
            return;
        default:
            return socket.send(ok);
        }
    }

    void act()
    {
        switch (number(7)) {
        case 0:
            return cancelOne();
        case 1:
            return client_->setLimits(address(), {static_cast<std::uint32_t>(number(4)), static_cast<std::uint32_t>(number(2)), BodyLimit});
        case 2:
            return client_->closeIdle();
        default:
            return send();
        }
    }

    const Address &address()
    {
        return addresses_[static_cast<std::size_t>(number(static_cast<int>(addresses_.size())))];
    }

    void send()
    {
        const int key = ++last_;
        calls_[key];
        ++pending_;
        constexpr int MaxBodyBytes = 400000;
        HttpRequest request{address(),
                            "POST",
                            "/search",
                            {},
                            std::string(static_cast<std::size_t>(number(4) == 0 ? number(MaxBodyBytes) : 4), 'x'),
                            milliseconds(5 + number(60)),
                            {}};
        if (number(4) == 0) {
            request.onBodyChunk = [this, key](const std::string &) {
                if (number(3) == 0) {
                    cancel(calls_.at(key));
                }
                actWithin();
            };
        }
        calls_.at(key).id = client_->send(std::move(request), [this, key](const Result<HttpResponse> &) {
            Call &call = calls_.at(key);
            CHECK_FALSE(call.cancelled);
            CHECK(++call.answers == 1);
            --pending_;
            ++answers;
            client_->cancel(call.id);
            actWithin();
        });
    }

    void actWithin()
    {
        if (!ending_ && depth_ < MaxDepth) {
            ++depth_;
            act();
            --depth_;
        }
    }

    void cancel(Call &call)
    {
        if (call.answers == 0 && !call.cancelled) {
            call.cancelled = true;
            --pending_;
            client_->cancel(call.id);
        }
    }

    void cancelOne()
    {
        if (!calls_.empty()) {
            cancel(std::next(calls_.begin(), number(static_cast<int>(calls_.size())))->second);
        }
    }

    static Duration milliseconds(int count)
    {
        return std::chrono::milliseconds(count);
    }

    EventLoop loop_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<RawServer>> servers_;
    std::vector<Address> addresses_;
    std::unique_ptr<HttpClient> client_;
    std::map<int, Call> calls_;
    int pending_ = 0;
    int last_ = 0;
    int depth_ = 0;
    bool ending_ = false;
};

} // namespace

TEST_CASE("Calls that end, cancel and send within each other's callbacks are answered once and use nothing that is gone", "[http][client][random]")
{
    constexpr std::uint64_t Seeds = 20;
    constexpr int Steps = 150;
    std::size_t answers = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        INFO("seed " << seed);
        ClientWorld world(seed);
        for (int step = 0; step < Steps; ++step) {
            world.step();
        }
        if (seed % 2 == 0) {
            world.end();
        }
        // Else the client is destroyed with calls in progress.
        answers += world.answers;
    }
    CHECK(answers > Seeds * Steps / 10);
}
