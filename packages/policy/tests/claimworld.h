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

/// How a server handles one command.
enum class ServerBehaviour {
    Runs,
    /// Rejects the command with the verdict NotRun.
    Refuses,
    /// Runs the command; the reply is lost.
    RunsReplyLost,
    /// The request is lost in transit; the sender cannot know whether the command ran.
    RequestLost,
    /// Runs the command long after the request of the caller expired, and replies then.
    RunsLate,
};

/// How the store handles one transaction.
enum class StoreBehaviour {
    Works,
    /// The connection is refused: the transaction does not run.
    Down,
    /// The transaction takes effect; the reply is lost.
    ReplyLost,
    /// The transaction never arrives, and the caller runs into the timeout.
    RequestLost,
    /// The transaction takes effect only after the timeout of the caller.
    LateEffect,
};

/// The state of one request of a caller.
struct CallerRequest
{
    std::string key;
    std::size_t instance = 0;
    bool answered = false;
    /// The instance was killed before it answered, so the caller knows nothing of the result.
    bool instanceLost = false;
    Result<CommandResult> result = CommandResult{};
};

/// Simulates several instances, a store, servers and callers on clocks that tests advance by the millisecond. Each instance
/// has its own clock, so that it can be frozen separately.
class ClaimWorld
{
public:
    explicit ClaimWorld(std::size_t instances, std::uint64_t seed = 1);
    ~ClaimWorld();

    /// Sends a command to an instance; returns the index of the request.
    std::size_t submit(std::size_t instance, const std::string &key, Duration deadline = std::chrono::milliseconds(300));

    /// Advances the time in steps of one millisecond.
    void run(Duration span);

    void kill(std::size_t instance);
    void restart(std::size_t instance);
    void freeze(std::size_t instance);
    void thaw(std::size_t instance);

    /// Sets the instances that an instance considers the owners of all partitions, in order of preference.
    void setView(std::size_t instance, std::vector<std::size_t> owners);

    /// How often the command with a key ran, and how often that of a request did.
    std::uint32_t runsOf(const std::string &key) const;
    std::uint32_t runsOfRequest(std::size_t number) const;

    /// Returns the violated invariants, determined from all answers after the simulation has settled; empty if all hold.
    std::vector<std::string> findViolations() const;

    CommandCoordinator &coordinator(std::size_t instance);
    ClaimOwner &owner(std::size_t instance);
    ManualRuntime &runtime(std::size_t instance);

    /// Returns an idempotency key that was created `age` before the current time.
    std::string makeKey(Duration age, const std::string &rest) const;

    std::function<ServerBehaviour()> serverBehaviour = [] { return ServerBehaviour::Runs; };
    std::function<StoreBehaviour()> storeBehaviour = [] { return StoreBehaviour::Works; };
    MemoryClaimStore store;
    std::vector<CallerRequest> requests;
    std::shared_ptr<Configuration> configuration;

private:
    friend class WorldClaimPort;
    friend class WorldServerPort;
    friend class WorldStorePort;
    struct Node;

    /// `at` runs `work` after `delay`. `toNode` does so only if the incarnation still exists, and defers it while the
    /// instance is frozen.
    void at(Duration delay, std::function<void()> work);
    void toNode(std::size_t instance, std::uint64_t incarnation, Duration delay, std::function<void()> work);
    void deliver(std::size_t instance, std::uint64_t incarnation, std::function<void()> work);
    void recordRun(const SubRequest &request);

    TimePoint now_{};
    std::multimap<TimePoint, std::function<void()>> events_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::map<std::string, std::uint32_t> runsByKey_;
    std::map<std::string, std::uint32_t> runsByRequest_;
    std::uint32_t dispatchedAfterDeadline_ = 0;
    std::mt19937_64 random_;
};

} // namespace Burdock
