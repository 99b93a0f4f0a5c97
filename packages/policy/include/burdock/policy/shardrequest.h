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

/// Generates sub-request ids for one incarnation of one instance.
class SubRequestIdGenerator
{
public:
    SubRequestIdGenerator(InstanceId self, std::uint64_t incarnation);

    /// Returns an id that was not returned before.
    SubRequestId next();

private:
    InstanceId self_;
    std::uint64_t incarnation_;
    std::uint64_t last_ = 0;
};

/// Dependencies shared by all queries of an entry instance.
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

/// The parameters of a query that are the same for every shard.
struct ShardQueryParameters
{
    CallerId caller;
    Rank rank = Rank::Batch;
    FleetName fleet;
    SnapshotId snapshot;
    std::string text;
    TimePoint deadline;
    /// Collects the outcomes of the query's sub-requests.
    AdmissionOutcome *outcome = nullptr;
};

/// The reason why a shard has not answered.
enum class ShardFailure {
    /// Every available replica was tried or the retry budget is used up; the request retries after a pause.
    Exhausted,
    /// No replica holds the snapshot any more; the request has ended.
    SnapshotUnavailable,
};

/// Fetches one range of hits from one shard: chooses replicas, hedges, retries and validates the reply.
/// Its states are those of the chart `subrequest`.
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

    /// True if no attempt is in flight and every attempt so far is known not to have run.
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
