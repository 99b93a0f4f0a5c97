#pragma once

#include <burdock/policy/shardask.h>
#include <burdock/policy/snapshotdiscovery.h>
#include <burdock/policy/topkplan.h>

#include <functional>
#include <map>
#include <memory>

namespace Burdock
{

/// One query from its pinned snapshot to its answer or refusal.
///
/// All shards are read at one snapshot. Where a shard no longer holds it the whole query starts again at a
/// newer one while time allows, else the gap is labelled. At the deadline the declaration decides between a
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

    /// Starts; `done` is called once, never from within `start`, unless the run is destroyed first.
    void start(Done done);

    /// How the sub-requests have fared so far.
    const AdmissionOutcome &outcome() const;

private:
    enum class ShardState {
        Asking,
        Exhausted,
        Gone,
        Answered,
    };

    void pinAndAsk();
    void askAll();
    void ask(std::size_t place, std::uint32_t offset, std::uint32_t limit);
    void answered(std::size_t place, std::uint32_t offset, const SubReply &reply);
    void troubled(std::size_t place, ShardTrouble trouble);
    void askFurther();
    void hurry();
    bool restart();
    void dropAsks();
    void waitForNews();
    void keepIfBest();
    void finishIfSettled();
    void finish();
    QueryAnswer assemble() const;
    Failure refusal(const QueryAnswer &best) const;
    Duration timeLeft() const;
    bool serves(const Coverage &coverage) const;

    QueryContext &context_;
    CurrentConfiguration current_;
    ConfigurationPtr configuration_;
    const IndexDeclaration *index_ = nullptr;
    CallerRule rule_;
    Query query_;
    Done done_;
    TimePoint startedAt_;
    AdmissionOutcome outcome_;
    ShardQuestion question_;
    std::unique_ptr<TopKPlan> plan_;
    std::unique_ptr<SnapshotDiscovery> discovery_;
    std::vector<ShardState> states_;
    std::map<std::size_t, std::unique_ptr<ShardAsk>> asks_;
    QueryAnswer best_;
    bool nothingRan_ = true;
    std::uint32_t restarts_ = 0;
    /// Half of the wait is over: further rounds no longer wait for stragglers of the first.
    bool hurried_ = false;
    TimerId deadlineTimer_ = 0;
    TimerId hurryTimer_ = 0;
    TimerId turnTimer_ = 0;
};

} // namespace Burdock
