#pragma once

#include "memoryclaimstore.h"

#include <burdock/policy/claimowner.h>
#include <burdock/policy/claimsweeper.h>
#include <burdock/policy/commandcoordinator.h>
#include <burdock/values/manualruntime.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Burdock
{

/// What a server does with one command.
enum class ServerConduct {
    Runs,
    /// Refuses as not run.
    Refuses,
    /// Runs it, but the reply is lost.
    RunsReplyLost,
    /// The request is lost on the way; nobody can tell.
    RequestLost,
    /// Runs it long after the caller gave up, and answers then.
    RunsLate,
};

/// What the store does with one transaction.
enum class StoreConduct {
    Works,
    /// The port is closed: not run.
    Down,
    /// Takes effect; the reply is lost.
    ReplyLost,
    /// Never arrives, and the caller learns of it by the timeout.
    RequestLost,
    /// Takes effect only after the caller's timeout.
    LateEffect,
};

/// What became of one request of a caller.
struct CallerRequest
{
    std::string key;
    std::size_t instance = 0;
    bool answered = false;
    /// The instance died under it: the caller knows nothing.
    bool cut = false;
    Result<CommandResult> result = CommandResult{};
};

/// Several instances, a store, servers and callers on clocks that tests step by the millisecond. Each instance has a clock
/// of its own, so that it can be frozen by itself.
class ClaimWorld
{
public:
    explicit ClaimWorld(std::size_t instances, std::uint64_t seed = 1);
    ~ClaimWorld();

    /// Sends a command to an instance; gives the request's number.
    std::size_t submit(std::size_t instance, const std::string &key, Duration deadline = std::chrono::milliseconds(300));

    /// Moves time, a millisecond at a time.
    void run(Duration span);

    void kill(std::size_t instance);
    void restart(std::size_t instance);
    void freeze(std::size_t instance);
    void thaw(std::size_t instance);

    /// Which instances an instance takes for the owners, preferred first.
    void setView(std::size_t instance, std::vector<std::size_t> owners);

    /// How often a key ran, and how often a request did.
    std::uint32_t runsOf(const std::string &key) const;
    std::uint32_t runsOfRequest(std::size_t number) const;

    /// The faults found by looking at all answers once the world is at rest; empty where all held.
    std::vector<std::string> brokenPromises() const;

    CommandCoordinator &desk(std::size_t instance);
    ClaimOwner &owner(std::size_t instance);
    ManualRuntime &runtime(std::size_t instance);

    /// A key made `age` before now.
    std::string keyMade(Duration age, const std::string &rest) const;

    std::function<ServerConduct()> serverConduct = [] { return ServerConduct::Runs; };
    std::function<StoreConduct()> storeConduct = [] { return StoreConduct::Works; };
    MemoryClaimStore store;
    std::vector<CallerRequest> requests;
    std::shared_ptr<Configuration> configuration;

private:
    friend class WorldClaimPort;
    friend class WorldServerPort;
    friend class WorldStorePort;
    struct Node;

    /// Runs `work` at the world's time; `toNode` only while that incarnation lives, and not while it is frozen.
    void at(Duration delay, std::function<void()> work);
    void toNode(std::size_t instance, std::uint64_t incarnation, Duration delay, std::function<void()> work);
    void deliver(std::size_t instance, std::uint64_t incarnation, std::function<void()> work);
    void recordRun(const SubRequest &request);

    TimePoint now_{};
    std::multimap<TimePoint, std::function<void()>> events_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::map<std::string, std::uint32_t> runsByKey_;
    std::map<std::string, std::uint32_t> runsByRequest_;
    std::uint32_t sentWithoutTime_ = 0;
    std::mt19937_64 random_;
};

} // namespace Burdock
