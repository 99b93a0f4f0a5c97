#pragma once

#include "answercheck.h"

#include <catch2/catch.hpp>

namespace Burdock
{

/// How many hits each query of a stream asks for.
constexpr int StreamLimit = 200;
/// How many queries of a stream wait for their answers at most, so that a slow machine is not flooded.
constexpr int InFlight = 3;

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
        const nlohmann::json body{{"index", index_}, {"query", "belt"}, {"limit", StreamLimit}};
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
            bed_.loop().runUntil([this] { return sent_ < static_cast<int>(answers_.size()) + InFlight; }, std::chrono::seconds(5));
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
        const nlohmann::json body = nlohmann::json::parse(answer.body);
        if (answer.status == 200) {
            ++answered_;
            CHECK(check_.lieIn(body, StreamLimit) == "");
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

/// Pereyra Hermanos' deployment with one instance in each region, ready to be asked.
struct Deployment
{
    explicit Deployment(const std::string &declarations = "pereyra-hermanos")
        : bed(declarations, {"litoral", "capital", "norte"})
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

} // namespace Burdock
