#pragma once

#include <burdock/policy/shardrequest.h>
#include <burdock/policy/snapshotdiscovery.h>
#include <burdock/policy/topkplan.h>

#include <functional>
#include <map>
#include <memory>

namespace Burdock
{

/// Runs one query, from choosing its snapshot to the answer or refusal.
///
/// All shards are read at one snapshot. If a shard no longer holds it, the whole query restarts at a newer one while
/// time allows; otherwise the answer lists the shard as missing. At the deadline the declaration decides between a
/// partial answer and a refusal.
class QueryRun
{
public:
    using Done = std::function<void(Result<QueryAnswer>)>;
    using CurrentConfiguration = std::function<ConfigurationPtr()>;

    QueryRun(QueryContext &context, CurrentConfiguration current, CallerRule rule, Query query);
    ~QueryRun();
    QueryRun(const QueryRun &) = delete;
    QueryRun &operator=(const QueryRun &) = delete;

    /// Starts the query. `done` is called once, never before `start` returns, unless the run is destroyed first.
    void start(Done done);

    /// The outcomes of the sub-requests so far, for admission control.
    const AdmissionOutcome &outcome() const;

private:
    enum class ShardState {
        Pending,
        Exhausted,
        Unavailable,
        Answered,
    };

    void pinSnapshotAndStart();
    void requestAllShards();
    void requestShard(std::size_t position, std::uint32_t offset, std::uint32_t limit);
    void onShardAnswered(std::size_t position, std::uint32_t offset, const SubReply &reply);
    void onShardFailed(std::size_t position, ShardFailure reason);
    void startNextRound();
    void onHalfTime();
    bool restart();
    void cancelRequests();
    void scheduleRestart();
    void updateBestAnswer();
    void finishIfSettled();
    void finish();
    QueryAnswer assembleAnswer() const;
    Failure refusal(const QueryAnswer &best) const;
    Duration timeLeft() const;
    bool hasRequiredCoverage(const Coverage &coverage) const;

    QueryContext &context_;
    CurrentConfiguration current_;
    ConfigurationPtr configuration_;
    const IndexDeclaration *index_ = nullptr;
    CallerRule rule_;
    Query query_;
    Done done_;
    TimePoint startedAt_;
    AdmissionOutcome outcome_;
    ShardQueryParameters parameters_;
    std::unique_ptr<TopKPlan> plan_;
    std::unique_ptr<SnapshotDiscovery> discovery_;
    std::vector<ShardState> states_;
    std::map<std::size_t, std::unique_ptr<ShardRequest>> requests_;
    QueryAnswer best_;
    bool nothingRan_ = true;
    std::uint32_t restarts_ = 0;
    /// Set after half of the wait; further rounds then start without waiting for slow shards of the first.
    bool halfTimePassed_ = false;
    TimerId deadlineTimer_ = 0;
    TimerId halfTimeTimer_ = 0;
    TimerId stepTimer_ = 0;
};

} // namespace Burdock
