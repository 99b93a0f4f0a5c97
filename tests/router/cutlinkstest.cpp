#include "routertestbed.h"

#include <catch2/catch.hpp>

using namespace Burdock;
using nlohmann::json;

namespace
{

/// The HTTP client of this program connects from 127.0.0.1, which is cut here instead of an instance's address.
struct CutServer
{
    CutServer()
        : address(*Address::parse(bed.control("POST", "/fake/server", {{"id", "one-a"}, {"service", "one"}}).at("address").get<std::string>()))
    {
    }

    void cut(const char *how)
    {
        bed.control("POST", "/fake/cut", {{"clients", {"127.0.0.1"}}, {"how", how}});
    }

    Result<HttpResponse> request(const std::string &attempt, Duration timeout = std::chrono::seconds(5))
    {
        return bed.call(address, "GET", "/one/x", {{"Attempt-Id", attempt}, {"Target-Instance", "one-a"}, {"Timeout-Remaining", "1000"}}, {}, timeout);
    }

    bool isAnswered(const std::string &attempt)
    {
        return request(attempt, std::chrono::milliseconds(300)).has_value();
    }

    bool hasRun(const std::string &attempt)
    {
        return bed.control("GET", "/fake/ran").contains(attempt);
    }

    RouterTestbed bed;
    Address address;
};

std::uint64_t arrivals(RouterTestbed &bed)
{
    std::uint64_t sum = 0;
    for (const json &server : bed.control("GET", "/fake/servers")) {
        sum += server.at("arrived").get<std::uint64_t>();
    }
    return sum;
}

} // namespace

TEST_CASE("A cut of links hangs, loses, holds back or resets what a client sends, and ends", "[router][cut]")
{
    CutServer server;
    REQUIRE(server.request("before"));
    SECTION("hang: nothing runs, neither on kept connections nor on new ones")
    {
        server.cut("hang");
        CHECK_FALSE(server.isAnswered("kept"));
        CHECK_FALSE(server.isAnswered("new"));
        CHECK_FALSE(server.hasRun("kept"));
        CHECK_FALSE(server.hasRun("new"));
    }
    SECTION("hang: what is waiting when the cut ends runs and is answered")
    {
        server.cut("hang");
        server.bed.loop().schedule(std::chrono::milliseconds(100), [&server] { server.cut("none"); });
        CHECK(server.request("kept"));
    }
    SECTION("lose: what was sent is never answered, also after the cut")
    {
        server.cut("lose");
        server.bed.loop().schedule(std::chrono::milliseconds(100), [&server] { server.cut("none"); });
        CHECK_FALSE(server.isAnswered("kept"));
        CHECK_FALSE(server.hasRun("kept"));
    }
    SECTION("oneWay: it runs, and the answer is held")
    {
        server.cut("oneWay");
        CHECK_FALSE(server.isAnswered("kept"));
        CHECK(server.bed.eventually([&server] { return server.hasRun("kept"); }));
    }
    SECTION("reset: kept connections and new ones are lost at once")
    {
        server.cut("reset");
        for (const char *attempt : {"kept", "new"}) {
            const auto answer = server.request(attempt);
            REQUIRE_FALSE(answer);
            CHECK(answer.error().code != Errc::DeadlineExceeded);
            CHECK_FALSE(server.hasRun(attempt));
        }
    }
    SECTION("refuseNew: a kept connection works")
    {
        server.cut("refuseNew");
        CHECK(server.request("kept"));
    }
    server.cut("none");
    const auto after = server.request("after");
    INFO((after ? std::string() : after.error().message));
    CHECK(after);
}

TEST_CASE("Instances that are cut off reach no server until the cut ends", "[router][cut]")
{
    RouterTestbed bed;
    for (const char *id : {"one-a", "one-b"}) {
        bed.addServer(id, "one");
    }
    bed.control("POST", "/fake/config", RouterTestbed::config(1, {}));
    const std::vector<std::string> instances{"i1", "i2"};
    for (const std::string &id : instances) {
        bed.startInstance(id);
    }
    for (const std::string &id : instances) {
        REQUIRE(bed.waitUntilReady(id));
        for (int number = 0; number < 10; ++number) {
            REQUIRE(bed.sendRequest(id, "/one/x", "before" + std::to_string(number)));
        }
    }
    const char *const how = GENERATE("hang", "lose", "reset");
    INFO(how);
    bed.cut(instances, how);
    const std::uint64_t before = arrivals(bed);
    for (const std::string &id : instances) {
        for (int number = 0; number < 3; ++number) {
            const auto answer = bed.sendRequest(id, "/one/x", "cut" + std::to_string(number));
            CHECK((!answer || answer->status != 200));
        }
    }
    CHECK(arrivals(bed) == before);
    bed.heal();
    for (const std::string &id : instances) {
        CHECK(bed.eventually([&] {
            const auto answer = bed.sendRequest(id, "/one/x", "after");
            return answer && answer->status == 200;
        }));
    }
}
