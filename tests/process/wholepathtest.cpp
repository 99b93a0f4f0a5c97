#include "testbed.h"

#include <catch2/catch.hpp>

using namespace Burdock;
using nlohmann::json;

TEST_CASE("A query passes from a caller through the instances to the servers and returns the exact hits", "[process]")
{
    Testbed testbed("pereyra-hermanos", {"litoral", "capital", "norte"});
    testbed.startInstance("litoral-a", "litoral");
    testbed.startInstance("capital-a", "capital");
    testbed.startInstance("norte-a", "norte");
    REQUIRE(testbed.publish() == 0);
    REQUIRE(testbed.waitUntilReady());

    const auto entries = testbed.call(testbed.callersAddress("capital-a"), "GET", "/v1/entries", "");
    REQUIRE(entries);
    CHECK(json::parse(entries->body).at("entries").at(0).at("instance") == "capital-a");

    struct Row
    {
        const char *caller;
        const char *index;
    };
    for (const Row &row : {Row{"technician-tablet", "parts"}, Row{"dealer-portal", "dealer-catalogue"}, Row{"archive-pull", "ledger"}}) {
        const auto answer = testbed.query("litoral-a", row.caller, row.index);
        INFO(row.index);
        REQUIRE(answer);
        INFO(answer->body);
        REQUIRE(answer->status == 200);
        const json body = json::parse(answer->body);
        const json exactHits = testbed.control("POST", "/fake/oracle", {{"index", row.index}, {"version", 1}, {"query", "belt"}, {"limit", 20}});
        CHECK(body.at("hits") == exactHits.at("hits"));
        CHECK(body.at("coverage").at("fraction") == 1.0);
    }
}
