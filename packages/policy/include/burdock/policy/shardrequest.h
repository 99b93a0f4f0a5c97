#pragma once

#include <burdock/charts/chartrun.h>
#include <burdock/policy/admission.h>
#include <burdock/policy/query.h>
#include <burdock/policy/querytactics.h>
#include <burdock/policy/snapshottracker.h>
#include <burdock/policy/subrequestport.h>
#include <burdock/values/runtime.h>

#include <functional>
#include <vector>

namespace Burdock
{

/// Hands out the ids of sub-requests of one incarnation of one instance.
class SubRequestIdGenerator
{
public:
    SubRequestIdGenerator(InstanceId self, std::uint64_t incarnation);

    /// An id that was never given before.
    SubRequestId next();

private:
    InstanceId self_;
    std::uint64_t incarnation_;
    std::uint64_t last_ = 0;
};

/// What all parts of the entry's query work share.
struct QueryContext
{
    Runtime &runtime;
    SubRequestPort &port;
    QueryTactics &tactics;
    SnapshotTracker &tracker;
    SubRequestIdGenerator &ids;
    QueryCounters &counters;
    QueryLimits limits;
};

/// What one query asks of every shard.
struct ShardQueryParameters
{
    CallerId caller;
    Rank rank = Rank::Batch;
    FleetName fleet;
    SnapshotId snapshot;
    std::string text;
    TimePoint deadline;
    /// Where it is counted how the query's sub-requests fare.
    AdmissionOutcome *outcome = nullptr;
};

/// Why a shard has not answered.
enum class ShardFailure {
    /// Each replica was tried and failed; the ask goes on after a pause.
    Exhausted,
    /// No replica holds the snapshot any more; the ask has ended.
    SnapshotUnavailable,
};

/// Gets one stretch of hits from one shard: chooses replicas, hedges, retries, and checks the reply.
/// Its life is the chart `subrequest`.
class ShardRequest
{
public:
    using AnswerHandler = std::function<void(const SubReply &)>;
    using FailureHandler = std::function<void(ShardFailure)>;

    ShardRequest(QueryContext &context, const ShardQueryParameters &parameters, const Shard &shard, std::uint32_t offset, std::uint32_t limit);
    ~ShardRequest();
    ShardRequest(const ShardRequest &) = delete;
    ShardRequest &operator=(const ShardRequest &) = delete;

    /// Sends the first attempt. `onAnswer` is called at most once.
    void start(AnswerHandler onAnswer, FailureHandler onFailure);

    /// True while every attempt so far is known not to have run.
    bool nothingRan() const;

private:
    struct Attempt
    {
        SubRequestId id;
        ServerId server;
        TimePoint sentAt;
    };

    static const ChartTable<ShardRequest> &table();

    bool startAttempt();
    void send(const ServerId &server);
    void armHedge(const ServerId &server);
    void hedge();
    void onReply(const SubRequestId &id, const SubReply &reply);
    void countOutcome(const SubReply &reply);
    void acceptReply(const SubReply &reply);
    void attemptFailed(const SubReply &reply);
    void retry();
    void pauseThenRetry();
    void cancelAttempts();
    bool matches(const SubReply &reply) const;
    bool wellFormed(const SubReply &reply) const;
    std::vector<ServerId> replicasWithSnapshot() const;

    QueryContext &context_;
    const ShardQueryParameters &parameters_;
    Shard shard_;
    std::uint32_t offset_;
    std::uint32_t limit_;
    AnswerHandler onAnswer_;
    FailureHandler onFailure_;
    std::vector<Attempt> attempts_;
    std::vector<ServerId> tried_;
    std::vector<ServerId> withoutSnapshot_;
    TimerId hedgeTimer_ = 0;
    TimerId pauseTimer_ = 0;
    Duration pause_;
    Duration retryAfter_{0};
    bool nothingRan_ = true;
    ChartRun<ShardRequest> chart_;
};

} // namespace Burdock
