#include "querystream.h"

using namespace Burdock;
using nlohmann::json;

TEST_CASE("No answer mixes index versions while all servers switch versions many times per second", "[process][snapshot]")
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

TEST_CASE("No answer mixes index versions while servers switch versions one after another", "[process][snapshot]")
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

TEST_CASE("Answers stay correct while one replica of each shard misbehaves", "[process][coverage][replies]")
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
        {"returns too few hits", {{"shortBy", 1}}, json::object()},
        {"returns the previous reply", {{"crossed", true}}, json::object()},
        {"is thirty times slower", {{"slowFactor", 30}}, json::object()},
        {"drops replies", json::object(), {{"delivery", "dropped"}}},
        {"truncates replies", json::object(), {{"delivery", "truncated"}}},
        {"splits replies over many packets", json::object(), {{"delivery", "split"}}},
        {"sends each reply twice", json::object(), {{"delivery", "doubled"}}},
        {"returns errors immediately", json::object(), {{"error", 500}}},
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
