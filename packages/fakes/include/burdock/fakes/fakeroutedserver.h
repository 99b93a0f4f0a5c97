#pragma once

#include <burdock/fakes/fakeresponder.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Burdock
{

/// The records that every server of a shard answers a request target with: `count` of 16 bytes each.
std::vector<std::string> shardRecords(const std::string &service, const std::string &target, std::size_t count);

/// How a stand-in server of the users' platform is laid out.
struct FakeRoutedServerDeclaration
{
    std::string id;
    std::string service;
    std::uint32_t slots = 4;
    std::uint32_t queue = 16;
    Duration work = std::chrono::milliseconds(5);
    /// How many records a part has; 0 for a server that is no shard.
    std::size_t records = 0;
};

/// What a stand-in server does wrong.
struct FakeRoutedServerConduct
{
    /// Does not begin new work until lifted.
    bool paused = false;
    /// Refuses everything as full.
    bool full = false;
    /// The part of requests that run and fail.
    double failing = 0;
    double slowFactor = 1;
    /// It no longer is the server that its address was known for.
    bool replaced = false;
    /// Answers the request before once more after each answer.
    bool strayAnswers = false;
    /// Gives the answer of an earlier request first, where the answer of the next one is due.
    bool lateAnswers = false;
};

/// A server as the users' pages describe it: slots and a queue, refusals that say so, the server that is meant, signatures.
class FakeRoutedServer
{
public:
    FakeRoutedServer(Runtime &runtime, FakeRoutedServerDeclaration declaration, std::uint64_t seed);
    ~FakeRoutedServer();
    FakeRoutedServer(const FakeRoutedServer &) = delete;
    FakeRoutedServer &operator=(const FakeRoutedServer &) = delete;

    /// Answers one request.
    void handle(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder);

    void setConduct(const FakeRoutedServerConduct &conduct);

    const FakeRoutedServerDeclaration &declaration() const
    {
        return declaration_;
    }

    /// How often each client attempt was run here; it counts from the start of its work.
    const std::map<std::string, std::uint32_t> &ran() const
    {
        return ran_;
    }

    /// How many requests arrived.
    std::uint64_t arrived() const
    {
        return arrived_;
    }

    /// When each request arrived and for which attempt; the latest ones, up to a bound.
    struct Arrival
    {
        TimePoint at;
        std::string attempt;
    };
    const std::deque<Arrival> &arrivals() const
    {
        return arrivals_;
    }

    /// Requests that broke the protocol, such as a target server or a time left that is missing.
    const std::vector<std::string> &complaints() const
    {
        return complaints_;
    }

private:
    struct Job
    {
        HttpServerRequest request;
        std::shared_ptr<FakeResponder> responder;
        std::string attempt;
        bool gone = false;
        TimerId timer = 0;
    };
    using JobPtr = std::shared_ptr<Job>;

    void startNext();
    void finish(const JobPtr &job);
    void answerDone(const JobPtr &job);
    Duration workTime();

    Runtime &runtime_;
    const FakeRoutedServerDeclaration declaration_;
    FakeRoutedServerConduct conduct_;
    /// The last answer.
    std::optional<HttpServerResponse> earlier_;
    std::mt19937_64 random_;
    std::deque<JobPtr> queue_;
    std::set<JobPtr> running_;
    std::map<std::string, std::uint32_t> ran_;
    std::uint64_t arrived_ = 0;
    std::deque<Arrival> arrivals_;
    std::uint64_t answers_ = 0;
    std::vector<std::string> complaints_;
};

} // namespace Burdock
