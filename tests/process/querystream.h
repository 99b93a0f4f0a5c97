#pragma once

#include "answercheck.h"

#include <catch2/catch.hpp>

namespace Burdock
{

/// The number of hits that each query of a stream requests.
constexpr int QueryLimit = 200;
/// The maximum number of queries of a stream in flight, so that a slow machine is not overloaded.
constexpr int MaxInFlight = 3;

/// Sends queries at a steady rate while the test injects changes, and checks every answer.
class QueryStream
{
public:
    QueryStream(Testbed &testbed, AnswerCheck &check, std::string caller, std::string index, std::vector<std::string> instances)
        : testbed_(testbed)
        , check_(check)
        , caller_(std::move(caller))
        , index_(std::move(index))
        , instances_(std::move(instances))
    {
    }

    /// Sends one query to the next instance.
    void sendQuery()
    {
        const std::string &instance = instances_[static_cast<std::size_t>(sent_++) % instances_.size()];
        const nlohmann::json body{{"index", index_}, {"query", "belt"}, {"limit", QueryLimit}};
        testbed_.send(testbed_.callersAddress(instance), "POST", "/v1/query", body.dump(), {{"X-Caller", caller_}}, [this](const Result<HttpResponse> &answer) {
            answers_.push_back(answer ? *answer : HttpResponse{});
        });
    }

    /// Sends the queries at least 5 ms apart, waits for all answers and checks them. Calls `onStep` before every tenth query.
    void run(int queries, const std::function<void(int)> &onStep)
    {
        for (int number = 0; number < queries; ++number) {
            if (number % 10 == 0) {
                onStep(number / 10);
            }
            sendQuery();
            testbed_.loop().runUntil([] { return false; }, std::chrono::milliseconds(5));
            testbed_.loop().runUntil([this] { return sent_ < static_cast<int>(answers_.size()) + MaxInFlight; }, std::chrono::seconds(5));
        }
        REQUIRE(testbed_.eventually([this] { return answers_.size() == static_cast<std::size_t>(sent_); }));
        for (const HttpResponse &answer : answers_) {
            checkAnswer(answer);
        }
    }

    int answeredCount() const
    {
        return answeredCount_;
    }

    int refusedCount() const
    {
        return refusedCount_;
    }

private:
    void checkAnswer(const HttpResponse &answer)
    {
        INFO("status " << answer.status << " " << answer.body.text().substr(0, 300));
        REQUIRE(answer.status != 0);
        const nlohmann::json body = nlohmann::json::parse(answer.body);
        if (answer.status == 200) {
            ++answeredCount_;
            CHECK(check_.findViolation(body, QueryLimit) == "");
            return;
        }
        ++refusedCount_;
        CHECK(body.at("error").contains("verdict"));
    }

    Testbed &testbed_;
    AnswerCheck &check_;
    std::string caller_;
    std::string index_;
    std::vector<std::string> instances_;
    int sent_ = 0;
    int answeredCount_ = 0;
    int refusedCount_ = 0;
    std::vector<HttpResponse> answers_;
};

/// Pereyra Hermanos' deployment with one instance in each region; the constructor waits until all are ready.
struct Deployment
{
    explicit Deployment(const std::string &declarations = "pereyra-hermanos")
        : testbed(declarations, {"litoral", "capital", "norte"})
        , check(testbed)
    {
        testbed.startInstance("litoral-a", "litoral");
        testbed.startInstance("capital-a", "capital");
        testbed.startInstance("norte-a", "norte");
        REQUIRE(testbed.publish() == 0);
        REQUIRE(testbed.waitUntilReady());
    }

    QueryStream stream(const std::string &caller, const std::string &index)
    {
        return QueryStream(testbed, check, caller, index, {"litoral-a", "capital-a", "norte-a"});
    }

    Testbed testbed;
    AnswerCheck check;
};

} // namespace Burdock
