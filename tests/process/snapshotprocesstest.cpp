#include "querystream.h"

using namespace Burdock;
using nlohmann::json;

TEST_CASE("Index versions that switch many times a second under load never mix in one answer", "[process][snapshot]")
{
    Deployment deployment;
    QueryStream stream = deployment.stream("parts-desk", "parts");
    stream.run(300, [&deployment](int step) {
        const int newest = 2 + step;
        deployment.testbed.control("POST", "/fake/versions", {{"index", "parts"}, {"oldest", newest - 1}, {"newest", newest}});
    });
    CHECK(stream.answeredCount() > 200);
    CHECK(deployment.check.checkedCount() == stream.answeredCount());
}

TEST_CASE("Servers that switch their version one after the other never mix in one answer", "[process][snapshot]")
{
    Deployment deployment;
    QueryStream stream = deployment.stream("parts-desk", "parts");
    stream.run(300, [&deployment](int step) {
        json ids = json::array();
        for (int shard = 0; shard < 10; ++shard) {
            ids.push_back("parts-" + std::to_string(shard) + "-" + std::to_string(step % 3));
        }
        const int newest = 2 + step / 3;
        deployment.testbed.control("POST", "/fake/versions", {{"index", "parts"}, {"ids", ids}, {"oldest", newest - 1}, {"newest", newest}});
    });
    CHECK(stream.answeredCount() > 200);
}

TEST_CASE("A replica of each shard that misbehaves does not make an answer lie", "[process][coverage][replies]")
{
    struct Row
    {
        const char *name;
        json conduct;
        json transport;
    };
    const std::vector<Row> rows{
        {"answers for another shard", {{"wrongShard", true}}, json::object()},
        {"answers from another version", {{"wrongVersion", true}}, json::object()},
        {"answers short", {{"shortBy", 1}}, json::object()},
        {"answers with the reply before", {{"crossed", true}}, json::object()},
        {"is thirty times slower", {{"slowFactor", 30}}, json::object()},
        {"drops replies", json::object(), {{"delivery", "dropped"}}},
        {"truncates replies", json::object(), {{"delivery", "truncated"}}},
        {"splits replies over many packets", json::object(), {{"delivery", "split"}}},
        {"sends each reply twice", json::object(), {{"delivery", "doubled"}}},
        {"answers errors at once", json::object(), {{"error", 500}}},
        {"refuses connections", json::object(), {{"outage", "refuse"}}},
        {"hangs", json::object(), {{"outage", "hang"}}},
    };
    Deployment deployment;
    for (const Row &row : rows) {
        INFO(row.name);
        json ids = json::array();
        for (int shard = 0; shard < 10; ++shard) {
            ids.push_back("parts-" + std::to_string(shard) + "-0");
        }
        QueryStream stream = deployment.stream("parts-desk", "parts");
        stream.run(40, [&](int) {
            deployment.testbed.control(
                "POST", "/fake/faults", {{"target", "server"}, {"ids", ids}, {"reset", true}, {"conduct", row.conduct}, {"transport", row.transport}});
        });
        CHECK(stream.answeredCount() + stream.refusedCount() == 40);
        CHECK(stream.answeredCount() >= 10);
    }
    CHECK(deployment.check.checkedCount() > 120);
}
