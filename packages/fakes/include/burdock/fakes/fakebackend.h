#pragma once

#include <burdock/fakes/fakeindex.h>
#include <burdock/fakes/fakeresponder.h>
#include <burdock/values/place.h>
#include <burdock/values/snapshot.h>

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Burdock
{

/// One shard that a stand-in server holds, as one shard map cuts it.
struct FakeShard
{
    IndexName index;
    ShardId shard;
    KeyRange range;
    std::uint64_t mapGeneration = 0;

    auto fields() const
    {
        return std::tie(index, shard, range, mapGeneration);
    }
};

/// How a stand-in server is laid out.
struct FakeServerDeclaration
{
    ListedServer listed;
    std::uint32_t slots = 1;
    /// Requests above slots and queue are shed.
    std::uint32_t queue = 0;
    std::uint32_t connections = 1;
    /// How long the first request of a connection waits.
    Duration connectionCost{0};
    /// The middle service time; single ones lie up to a fifth beside it.
    Duration service{0};
    /// The part of requests that are stragglers, and how many times longer these take.
    double stragglerShare = 0;
    double stragglerFactor = 1;
    std::vector<FakeShard> shards;
};

/// What a stand-in server has counted.
struct FakeBackendCounters
{
    std::uint64_t searches = 0;
    std::uint64_t commands = 0;
    std::uint64_t shed = 0;
    std::uint64_t refused = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t expired = 0;
    std::uint32_t mostBusy = 0;
    /// New work that arrived after the server began to leave, and how long after the last of it came.
    std::uint64_t arrivedWhileDraining = 0;
    Duration lastArrivalWhileDraining{0};
};

/// A backend server's conduct, free of I/O: slots, queue, versions, shards, commands, and lies.
class FakeBackend
{
public:
    using Indexes = std::map<IndexName, FakeIndex>;
    /// Runs a piece of work, at once or when the server is no longer frozen.
    using Turn = std::function<void(std::function<void()>)>;

    FakeBackend(Runtime &runtime, const Indexes &indexes, FakeServerDeclaration declaration, std::uint64_t seed, Turn turn);
    ~FakeBackend();
    FakeBackend(const FakeBackend &) = delete;
    FakeBackend &operator=(const FakeBackend &) = delete;

    /// Answers one request of the backend protocol.
    void handle(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder);

    void setVersions(const IndexName &index, const VersionWindow &window);
    void setShards(std::vector<FakeShard> shards);
    void setConduct(const ConductFaults &conduct);

    const ConductFaults &conduct() const
    {
        return conduct_;
    }

    const FakeServerDeclaration &declaration() const
    {
        return declaration_;
    }

    const FakeBackendCounters &counters() const
    {
        return counters_;
    }

    std::uint32_t busy() const
    {
        return busy_;
    }

    std::size_t waiting() const
    {
        return queue_.size();
    }

    /// How often each request id was worked on; a request counts from the start of its work.
    const std::map<std::string, std::uint32_t> &ranRequests() const
    {
        return ranRequests_;
    }

    /// How often each command was worked on, by `COMMAND/KEY`.
    const std::map<std::string, std::uint32_t> &ranCommands() const
    {
        return ranCommands_;
    }

private:
    struct Job;
    using JobPtr = std::shared_ptr<Job>;

    void arrive(const JobPtr &job);
    void serveSearch(const JobPtr &job);
    void serveExecute(const JobPtr &job);
    void serveCancel(const JobPtr &job);
    void serveHealth(const JobPtr &job);
    void serveLoad(const JobPtr &job);
    void enqueue(const JobPtr &job);
    void startNext();
    void start(const JobPtr &job);
    void finish(const JobPtr &job);
    void refuse(const JobPtr &job, int status, const char *error, bool draining = false);
    void refuseContent(const JobPtr &job, const char *error);
    void answer(const JobPtr &job, nlohmann::json body);
    bool refusedForDraining(const JobPtr &job);
    bool expired(const JobPtr &job) const;
    bool holdsShard(const Job &job) const;
    nlohmann::json searchBody(const Job &job) const;
    nlohmann::json versionsJson() const;
    Duration serviceTime();

    Runtime &runtime_;
    const Indexes &indexes_;
    FakeServerDeclaration declaration_;
    Turn turn_;
    ConductFaults conduct_;
    FakeBackendCounters counters_;
    std::mt19937_64 random_;
    std::map<IndexName, VersionWindow> versions_;
    std::uint32_t busy_ = 0;
    std::deque<JobPtr> queue_;
    std::map<std::string, JobPtr> running_;
    std::set<JobPtr> timed_;
    std::string lastBody_;
    TimePoint drainingSince_{};
    std::map<std::string, std::uint32_t> ranRequests_;
    std::map<std::string, std::uint32_t> ranCommands_;
};

} // namespace Burdock
