#pragma once

#include <burdock/fakes/fakeresponder.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Burdock
{

/// Returns the records with which every server of a shard responds to a request target: `count` records of 16 bytes.
std::vector<std::string> shardRecords(const std::string &service, const std::string &target, std::size_t count);

/// The configuration of a fake server of the users' platform.
struct FakeRoutedServerDeclaration
{
    std::string id;
    std::string service;
    std::uint32_t slots = 4;
    std::uint32_t queue = 16;
    Duration work = std::chrono::milliseconds(5);
    /// Number of records in a response; 0 if the server is not a shard.
    std::size_t records = 0;
};

/// Faults of a fake server.
struct FakeRoutedServerBehaviour
{
    /// No queued request starts until this is cleared.
    bool paused = false;
    /// All requests are refused as if the queue were full.
    bool full = false;
    /// The fraction of requests that are executed and then fail.
    double failureRate = 0;
    double slowFactor = 1;
    /// The address now belongs to another server, so all requests are refused as misdirected.
    bool replaced = false;
    /// Each response is sent twice.
    bool strayAnswers = false;
    /// The response of the previous request is sent before each response.
    bool reorderedAnswers = false;
    /// The requests per second that the server names as its limit in each response.
    std::optional<double> limit;
    /// Each response says that the server is leaving.
    bool leaving = false;
    /// All requests are refused, and asked to come back after this many seconds.
    std::optional<double> pause;
};

/// A server that follows the users' documented protocol: slots and a queue, explicit refusals, a check of the target server
/// and response signatures.
///
/// A request whose target contains `DeadlyWord` crashes the server when it runs: all requests in progress are lost.
class FakeRoutedServer
{
public:
    static constexpr const char *DeadlyWord = "deadly";
    /// Requests for this path get an answer at once, without a slot, unless the server is paused.
    static constexpr const char *HealthPath = "/health";

    FakeRoutedServer(Runtime &runtime, FakeRoutedServerDeclaration declaration, std::uint64_t seed);
    ~FakeRoutedServer();
    FakeRoutedServer(const FakeRoutedServer &) = delete;
    FakeRoutedServer &operator=(const FakeRoutedServer &) = delete;

    /// Handles one request.
    void handle(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder);

    /// Sets a function that is called when the server crashes; it closes the connections.
    void setCrashHandler(std::function<void()> onCrash)
    {
        onCrash_ = std::move(onCrash);
    }

    /// The number of times that each deadly target crashed the server.
    const std::map<std::string, std::uint32_t> &crashes() const
    {
        return crashes_;
    }

    void setBehaviour(const FakeRoutedServerBehaviour &behaviour);

    const FakeRoutedServerDeclaration &declaration() const
    {
        return declaration_;
    }

    /// Number of executions by client attempt, counted when execution starts.
    const std::map<std::string, std::uint32_t> &executions() const
    {
        return executions_;
    }

    /// The workspaces that were stated for each client attempt that was executed; one is empty if none was stated.
    const std::map<std::string, std::set<std::string>> &workspaces() const
    {
        return workspaces_;
    }

    /// Number of requests that occupy slots now.
    std::size_t running() const
    {
        return running_.size();
    }

    /// Number of requests received.
    std::uint64_t arrived() const
    {
        return arrived_;
    }

    /// The time and attempt of each request; only a bounded number of the latest requests is kept.
    struct Arrival
    {
        TimePoint at;
        std::string attempt;
    };
    const std::deque<Arrival> &arrivals() const
    {
        return arrivals_;
    }

    /// The most by which requests have exceeded what a named limit allows, over all positions of the window; negative if none has.
    double worstLimitExcess() const;

    /// Protocol violations, such as a request without target server or remaining time, or with the key of a client.
    const std::vector<std::string> &protocolErrors() const
    {
        return protocolErrors_;
    }

private:
    struct Job
    {
        HttpServerRequest request;
        std::shared_ptr<FakeResponder> responder;
        std::string attempt;
        bool done = false;
        TimerId timer = 0;
    };
    using JobPtr = std::shared_ptr<Job>;

    /// Answers the requests for the health path that wait.
    void answerHealth();
    /// Adds the headers that each response has.
    HttpServerResponse completed(HttpServerResponse response) const;
    void startNext();
    void finish(const JobPtr &job);
    void crash(const std::string &target);
    void abandon(const JobPtr &job);
    Duration workTime();

    Runtime &runtime_;
    const FakeRoutedServerDeclaration declaration_;
    FakeRoutedServerBehaviour behaviour_;
    /// When the server began to name its limit, and the worst excess over earlier ones.
    TimePoint limitedSince_{};
    std::optional<double> earlierExcess_;
    /// The most recent response.
    std::optional<HttpServerResponse> previousAnswer_;
    std::mt19937_64 random_;
    std::deque<JobPtr> queue_;
    std::set<JobPtr> running_;
    std::vector<std::shared_ptr<FakeResponder>> waitingHealth_;
    std::map<std::string, std::uint32_t> executions_;
    std::map<std::string, std::set<std::string>> workspaces_;
    std::map<std::string, std::uint32_t> crashes_;
    std::function<void()> onCrash_ = [] {};
    std::uint64_t arrived_ = 0;
    std::deque<Arrival> arrivals_;
    std::uint64_t answers_ = 0;
    std::vector<std::string> protocolErrors_;
};

} // namespace Burdock
