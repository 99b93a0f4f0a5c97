#include "rawsocket.h"

#include <burdock/wire/factories.h>

#include <catch2/catch.hpp>
#include <optional>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

constexpr Duration TestTimeout = 5s;
constexpr Duration BetweenPieces = 200us;
const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// What follows the version in a status line whose status is none of a final response.
const std::vector<std::string> InvalidStatuses{
    "000 Trouble", "000", "099 Trouble", "600 Trouble", "999 Trouble", "1000 Trouble", "+20 OK", "-20 OK", "2x0 OK", " OK", "", "101 Switching Protocols"};

std::string responseWith(const std::string &status)
{
    return "HTTP/1.1 " + status + "\r\nResponse-Stamp: s.1\r\nContent-Length: 4\r\n\r\nmine";
}

/// Which call of the connection gets the response.
enum class Connection { Fresh, Kept };

/// The result of a call whose response is sent in two pieces, the first of the given size, and whether the connection was closed.
struct Outcome
{
    Result<HttpResponse> result;
    bool closed = false;
};

Outcome callAnsweredWith(const std::string &response, std::size_t firstPiece, Connection connection)
{
    EventLoop loop;
    RawServer server(loop, nullptr);
    const auto client = makeHttpClient(loop, {1, 1, 1000});
    std::optional<Result<HttpResponse>> answer;
    const auto send = [&] {
        answer.reset();
        client->send({server.address(), "POST", "/search", {}, "body", TestTimeout, nullptr},
                     [&answer](Result<HttpResponse> result) { answer = std::move(result); });
        REQUIRE(loop.runUntil([&] { return !server.sockets.empty() && server.sockets[0]->received.find("\r\n\r\nbody") != std::string::npos; }, TestTimeout));
        server.sockets[0]->received.clear();
    };
    const auto isAnswered = [&answer] { return answer.has_value(); };
    if (connection == Connection::Kept) {
        send();
        server.sockets[0]->send(Ok);
        REQUIRE(loop.runUntil(isAnswered, TestTimeout));
        REQUIRE(answer->has_value());
    }
    send();
    server.sockets[0]->send(response.substr(0, firstPiece));
    if (firstPiece < response.size()) {
        loop.runUntil(isAnswered, BetweenPieces);
        server.sockets[0]->send(response.substr(firstPiece));
    }
    REQUIRE(loop.runUntil(isAnswered, TestTimeout));
    return {*answer, loop.runUntil([&] { return server.sockets[0]->closedByPeer; }, TestTimeout)};
}

} // namespace

TEST_CASE("a response whose status is 000, or another that no final response has, fails the call", "[http][client][status]")
{
    const std::string status = GENERATE(from_range(InvalidStatuses));
    const Connection connection = GENERATE(Connection::Fresh, Connection::Kept);
    const std::string response = responseWith(status);
    for (std::size_t firstPiece = 1; firstPiece <= response.size(); ++firstPiece) {
        INFO("status '" << status << "', " << (connection == Connection::Fresh ? "fresh" : "kept") << " connection, first piece " << firstPiece);
        const Outcome outcome = callAnsweredWith(response, firstPiece, connection);
        REQUIRE_FALSE(outcome.result.has_value());
        CHECK(outcome.result.error().code == Errc::ConnectionLost);
        CHECK(outcome.result.error().verdict == Verdict::MayHaveRun);
        CHECK(outcome.closed);
    }
}

TEST_CASE("interim responses without end fail the call long before its timeout", "[http][client][status]")
{
    const std::string status = GENERATE("100 Continue", "102 Processing", "199 Other");
    const Connection connection = GENERATE(Connection::Fresh, Connection::Kept);
    std::string interim;
    while (interim.size() <= 2U << 16) {
        interim += "HTTP/1.1 " + status + "\r\nX-Note: wait\r\n\r\n";
    }
    for (const std::size_t firstPiece : {std::size_t{1}, std::size_t{9}, std::size_t{30}, interim.size() / 3, interim.size()}) {
        INFO("status '" << status << "', first piece " << firstPiece);
        const Outcome outcome = callAnsweredWith(interim, firstPiece, connection);
        REQUIRE_FALSE(outcome.result.has_value());
        // The timeout would be another code.
        CHECK(outcome.result.error().code == Errc::ConnectionLost);
        CHECK(outcome.result.error().verdict == Verdict::MayHaveRun);
        CHECK(outcome.closed);
    }
}
