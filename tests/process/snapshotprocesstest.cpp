#include "answercheck.h"

#include <catch2/catch.hpp>

using namespace Burdock;
using nlohmann::json;

namespace
{

constexpr int Limit = 200;

/// Sends queries at an even pace while something else goes on, and checks every answer.
class QueryStream
{
public:
    QueryStream(Testbed &bed, AnswerCheck &check, std::string caller, std::string index, std::vector<std::string> instances)
        : bed_(bed)
        , check_(check)
        , caller_(std::move(caller))
        , index_(std::move(index))
        , instances_(std::move(instances))
    {
    }

    /// Sends one query to the next instance.
    void sendOne()
    {
        const std::string &instance = instances_[static_cast<std::size_t>(sent_++) % instances_.size()];
        const json body{{"index", index_}, {"query", "belt"}, {"limit", Limit}};
        bed_.send(bed_.callersAddress(instance), "POST", "/v1/query", body.dump(), {{"X-Caller", caller_}}, [this](const Result<HttpResponse> &answer) {
            answers_.push_back(answer ? *answer : HttpResponse{});
        });
    }

    /// Sends one query every few milliseconds, calling `disturb` before every tenth.
    void run(int queries, const std::function<void(int)> &disturb)
    {
        for (int number = 0; number < queries; ++number) {
            if (number % 10 == 0) {
                disturb(number / 10);
            }
            sendOne();
            bed_.loop().runUntil([] { return false; }, std::chrono::milliseconds(5));
        }
        REQUIRE(bed_.eventually([this] { return answers_.size() == static_cast<std::size_t>(sent_); }));
        for (const HttpResponse &answer : answers_) {
            judge(answer);
        }
    }

    int answered() const
    {
        return answered_;
    }

    int refused() const
    {
        return refused_;
    }

private:
    void judge(const HttpResponse &answer)
    {
        INFO("status " << answer.status << " " << answer.body.substr(0, 300));
        REQUIRE(answer.status != 0);
        const json body = json::parse(answer.body);
        if (answer.status == 200) {
            ++answered_;
            CHECK(check_.lieIn(body, Limit) == "");
            return;
        }
        ++refused_;
        CHECK(body.at("error").contains("verdict"));
    }

    Testbed &bed_;
    AnswerCheck &check_;
    std::string caller_;
    std::string index_;
    std::vector<std::string> instances_;
    int sent_ = 0;
    int answered_ = 0;
    int refused_ = 0;
    std::vector<HttpResponse> answers_;
};

struct Deployment
{
    Deployment()
        : bed("pereyra-hermanos", {"litoral", "capital", "norte"})
        , check(bed)
    {
        bed.startInstance("litoral-a", "litoral");
        bed.startInstance("capital-a", "capital");
        bed.startInstance("norte-a", "norte");
        REQUIRE(bed.publish() == 0);
        REQUIRE(bed.allReady());
    }

    QueryStream stream(const std::string &caller, const std::string &index)
    {
        return QueryStream(bed, check, caller, index, {"litoral-a", "capital-a", "norte-a"});
    }

    Testbed bed;
    AnswerCheck check;
};

} // namespace

TEST_CASE("Index versions that switch many times a second under load never mix in one answer", "[process][snapshot]")
{
    Deployment deployment;
    QueryStream stream = deployment.stream("parts-desk", "parts");
    stream.run(300, [&deployment](int step) {
        const int newest = 2 + step;
        deployment.bed.control("POST", "/fake/versions", {{"index", "parts"}, {"oldest", newest - 1}, {"newest", newest}});
    });
    CHECK(stream.answered() > 200);
    CHECK(deployment.check.checked() == stream.answered());
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
        deployment.bed.control("POST", "/fake/versions", {{"index", "parts"}, {"ids", ids}, {"oldest", newest - 1}, {"newest", newest}});
    });
    CHECK(stream.answered() > 200);
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
            deployment.bed.control(
                "POST", "/fake/faults", {{"target", "server"}, {"ids", ids}, {"reset", true}, {"conduct", row.conduct}, {"transport", row.transport}});
        });
        CHECK(stream.answered() + stream.refused() == 40);
        CHECK(stream.answered() >= 10);
    }
    CHECK(deployment.check.checked() > 120);
}
