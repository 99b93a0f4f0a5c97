#pragma once

#include <burdock/charts/chartrun.h>
#include <burdock/policy/claimports.h>
#include <burdock/policy/querytactics.h>
#include <burdock/policy/shardrequest.h>
#include <burdock/policy/subrequestport.h>
#include <burdock/values/configuration.h>
#include <burdock/values/runtime.h>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Burdock
{

/// A command as submitted by a caller.
struct CommandRequest
{
    CallerId caller;
    CommandName command;
    /// The caller's idempotency key; may be empty only for a repeatable command.
    std::string key;
    std::string payload;
    /// The caller's time limit; the declared wait applies if it is shorter.
    std::optional<Duration> deadline;

    auto fields() const
    {
        return std::tie(caller, command, key, payload, deadline);
    }
};

/// The result of a successful command.
struct CommandResult
{
    std::string outcome;
    /// True if the outcome was recorded by an earlier request with the same key.
    bool replayed = false;

    auto fields() const
    {
        return std::tie(outcome, replayed);
    }
};

/// Counters over all commands of one entry instance since its start.
struct CommandCounters
{
    std::uint64_t started = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t ran = 0;
    std::uint64_t replayed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    /// Claim requests sent to another owner after the first one failed.
    std::uint64_t claimRetries = 0;
    /// Outcomes that arrived after the caller had received MayHaveRun.
    std::uint64_t lateOutcomes = 0;
};

/// Limits on commands.
struct CommandLimits
{
    /// Time to wait for an answer from one owner before the claim request goes to the next.
    Duration ownerTimeout = std::chrono::milliseconds(400);
    /// Maximum number of claim requests per command.
    std::size_t maxOwners = 3;
    /// Maximum number of commands in flight; further commands are refused.
    std::size_t maxRunning = 2000;
    /// The retry delay suggested to a refused caller.
    Duration retryAfter = std::chrono::milliseconds(500);
};

/// Dependencies shared by all commands of an instance.
struct CommandContext
{
    Runtime &runtime;
    SubRequestPort &port;
    ClaimPort &claims;
    QueryTactics &tactics;
    SubRequestIdGenerator &ids;
    CommandCounters &counters;
    InstanceId self;
    std::uint64_t incarnation;
    CommandLimits limits;
};

/// One command at its entry instance, driven by the state chart `commandclaim`.
///
/// An unrepeatable command is dispatched only after its claim was granted to this run, and is retried on another server
/// only after a NotRun verdict. Therefore at most one run per key dispatches the command, and it takes effect at most once.
class CommandRun
{
public:
    using Done = std::function<void(Result<CommandResult>)>;

    /// `nonce` must be unique to this run.
    CommandRun(CommandContext &context, CommandDeclaration declaration, CallerRule rule, CommandRequest request, std::uint64_t nonce);
    ~CommandRun();
    CommandRun(const CommandRun &) = delete;
    CommandRun &operator=(const CommandRun &) = delete;

    /// Starts the command. `done` is called once, possibly before `start` returns. `finished` is called once, after `done`
    /// and never before `start` returns; the run may be destroyed from then on.
    void start(Done done, std::function<void()> finished);

    /// The current chart state.
    const std::string &state() const;

private:
    static const ChartTable<CommandRun> &table();

    void raise(std::string_view event);
    void requestClaim();
    void onClaimAnswer(std::size_t attempt, const ClaimAnswer &answer);
    void dispatch();
    void onServerReply(const SubReply &reply);
    void answerOutcome();
    void answerRecorded();
    void answerRefused();
    void answerNotRun();
    void answerUnknown();
    void abandonClaim();
    void recordOutcome();
    void recordNotRun();
    void record(Verdict verdict);
    void complete(Result<CommandResult> result);
    Duration timeLeft() const;
    SubRequest subRequest(const ServerId &server);

    CommandContext &context_;
    const CommandDeclaration declaration_;
    const CallerRule rule_;
    const CommandRequest request_;
    const std::uint64_t nonce_;
    ChartRun<CommandRun> chart_;
    Done done_;
    std::function<void()> finished_;
    TimePoint deadline_{};
    TimerId deadlineTimer_ = 0;
    TimerId ownerTimer_ = 0;
    std::size_t claimAttempts_ = 0;
    std::vector<ServerId> tried_;
    SubRequestId sent_;
    TimePoint sentAt_{};
    std::string outcome_;
    Failure failure_;
    /// True if any server may have run the command; needed when a repeatable command was sent to several servers.
    bool mayHaveRun_ = false;
    /// Set to false by the destructor, so that pending callbacks do nothing.
    std::shared_ptr<bool> alive_;
};

} // namespace Burdock
