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

/// What a caller asks for by a command.
struct CommandRequest
{
    CallerId caller;
    CommandName command;
    /// The caller's idempotency key; empty only for a repeatable command.
    std::string key;
    std::string payload;
    /// Never lengthens the declared wait.
    std::optional<Duration> deadline;

    auto fields() const
    {
        return std::tie(caller, command, key, payload, deadline);
    }
};

/// How a command ended well.
struct CommandResult
{
    std::string outcome;
    /// The outcome is that of an earlier request with the same key.
    bool replayed = false;

    auto fields() const
    {
        return std::tie(outcome, replayed);
    }
};

/// What the entry has counted of commands since the start.
struct CommandCounters
{
    std::uint64_t started = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t ran = 0;
    std::uint64_t replayed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    /// Asks for a claim that went to a further owner.
    std::uint64_t claimRetries = 0;
    /// Outcomes that came after the caller was told that it may have run.
    std::uint64_t lateOutcomes = 0;
};

/// The bounds of one command.
struct CommandLimits
{
    /// After this long without a word from an owner the next one is asked.
    Duration ownerTimeout = std::chrono::milliseconds(400);
    /// How many owners are asked at most.
    std::size_t maxOwners = 3;
    /// Commands under way; above, new ones are refused.
    std::size_t maxRunning = 2000;
    /// When a refused caller may come back.
    Duration retryAfter = std::chrono::milliseconds(500);
};

/// What all commands of an instance share.
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

/// One command at its entry instance, led by the chart `commandclaim`.
///
/// An unrepeatable command is dispatched only after its claim was granted to this very run, and to another server only
/// after a refusal as not run. So at most one run per key ever dispatches, and that one at most once with effect.
class CommandRun
{
public:
    using Done = std::function<void(Result<CommandResult>)>;

    /// `nonce` is this run's alone.
    CommandRun(CommandContext &context, CommandDeclaration declaration, CallerRule rule, CommandRequest request, std::uint64_t nonce);
    ~CommandRun();
    CommandRun(const CommandRun &) = delete;
    CommandRun &operator=(const CommandRun &) = delete;

    /// Starts. `done` is called once, possibly from within; `finished` once, not before `done`, when the run may be
    /// destroyed, but not from within the call.
    void start(Done done, std::function<void()> finished);

    /// The state of the chart.
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
    /// Some server may have run it; matters where a repeatable command went to several.
    bool mayHaveRun_ = false;
    /// Callbacks that come after the run's end find it false.
    std::shared_ptr<bool> alive_;
};

} // namespace Burdock
