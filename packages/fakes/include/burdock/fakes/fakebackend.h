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

/// One shard held by a fake server, with its key range in one generation of the shard map.
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

/// The configuration of a fake backend server.
struct FakeServerDeclaration
{
    ListedServer listed;
    std::uint32_t slots = 1;
    /// Queue capacity; requests beyond slots plus queue are shed.
    std::uint32_t queue = 0;
    std::uint32_t connections = 1;
    /// Delay added to the first request of each connection.
    Duration connectionCost{0};
    /// Mean service time without stragglers; each request varies by up to a fifth either way.
    Duration service{0};
    /// The fraction of requests that are stragglers, and the factor by which their service time is multiplied.
    double stragglerFraction = 0;
    double stragglerFactor = 1;
    std::vector<FakeShard> shards;
};

/// Counters of a fake backend server.
struct FakeBackendCounters
{
    std::uint64_t searches = 0;
    std::uint64_t commands = 0;
    std::uint64_t shed = 0;
    std::uint64_t refused = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t expired = 0;
    std::uint32_t peakBusy = 0;
    /// New requests that arrived while the server was draining, and the time from the start of draining to the last of them.
    std::uint64_t arrivedWhileDraining = 0;
    Duration lastArrivalWhileDraining{0};
};

/// The logic of a fake backend server, without I/O: slots, queue, versions, shards, commands and injected faults.
class FakeBackend
{
public:
    using Indexes = std::map<IndexName, FakeIndex>;
    /// Runs a function at once or, while the server is frozen, as soon as the freeze ends.
    using Executor = std::function<void(std::function<void()>)>;

    FakeBackend(Runtime &runtime, const Indexes &indexes, FakeServerDeclaration declaration, std::uint64_t seed, Executor executor);
    ~FakeBackend();
    FakeBackend(const FakeBackend &) = delete;
    FakeBackend &operator=(const FakeBackend &) = delete;

    /// Handles one request of the backend protocol.
    void handle(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder);

    void setVersions(const IndexName &index, const VersionWindow &window);
    void setShards(std::vector<FakeShard> shards);
    void setBehaviour(const BehaviourFaults &behaviour);

    const BehaviourFaults &behaviour() const
    {
        return behaviour_;
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

    /// Number of executions by request id, counted when execution starts.
    const std::map<std::string, std::uint32_t> &requestExecutions() const
    {
        return requestExecutions_;
    }

    /// Number of executions by `COMMAND/KEY`, counted when execution starts.
    const std::map<std::string, std::uint32_t> &commandExecutions() const
    {
        return commandExecutions_;
    }

private:
    struct Job;
    using JobPtr = std::shared_ptr<Job>;

    void dispatch(const JobPtr &job);
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
    bool refuseIfDraining(const JobPtr &job);
    bool expired(const JobPtr &job) const;
    bool holdsShard(const Job &job) const;
    nlohmann::json searchBody(const Job &job) const;
    nlohmann::json versionsJson() const;
    Duration serviceTime();

    Runtime &runtime_;
    const Indexes &indexes_;
    FakeServerDeclaration declaration_;
    Executor executor_;
    BehaviourFaults behaviour_;
    FakeBackendCounters counters_;
    std::mt19937_64 random_;
    std::map<IndexName, VersionWindow> versions_;
    std::uint32_t busy_ = 0;
    std::deque<JobPtr> queue_;
    std::map<std::string, JobPtr> running_;
    std::set<JobPtr> scheduled_;
    std::string lastBody_;
    TimePoint drainingSince_{};
    std::map<std::string, std::uint32_t> requestExecutions_;
    std::map<std::string, std::uint32_t> commandExecutions_;
};

} // namespace Burdock
