#include "testbed.h"

#include <catch2/catch.hpp>

using namespace Burdock;
using nlohmann::json;

TEST_CASE("A question goes from a caller through instances to servers and back", "[process]")
{
    Testbed bed("pereyra-hermanos", {"litoral", "capital", "norte"});
    bed.startInstance("litoral-a", "litoral");
    bed.startInstance("capital-a", "capital");
    bed.startInstance("norte-a", "norte");
    REQUIRE(bed.publish() == 0);
    REQUIRE(bed.allReady());

    const auto entries = bed.call(bed.callersAddress("capital-a"), "GET", "/v1/entries", "");
    REQUIRE(entries);
    CHECK(json::parse(entries->body).at("entries").at(0).at("instance") == "capital-a");

    struct Row
    {
        const char *caller;
        const char *index;
    };
    for (const Row &row : {Row{"technician-tablet", "parts"}, Row{"dealer-portal", "dealer-catalogue"}, Row{"archive-pull", "ledger"}}) {
        const auto answer = bed.ask("litoral-a", row.caller, row.index);
        INFO(row.index);
        REQUIRE(answer);
        INFO(answer->body);
        REQUIRE(answer->status == 200);
        const json body = json::parse(answer->body);
        const json exact = bed.control("POST", "/fake/oracle", {{"index", row.index}, {"version", 1}, {"query", "belt"}, {"limit", 20}});
        CHECK(body.at("hits") == exact.at("hits"));
        CHECK(body.at("coverage").at("fraction") == 1.0);
    }
}
