#include <burdock/policy/queryrun.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// A query restarts only if at least 1/8 of its whole wait is left.
constexpr int RestartTimeDivisor = 8;
/// Maximum number of missing shards listed in a refusal.
constexpr std::size_t MaxNamedShards = 5;

std::string listShards(const std::vector<ShardId> &shards)
{
    std::string text;
    for (std::size_t position = 0; position < shards.size() && position < MaxNamedShards; ++position) {
        text += (position == 0 ? "" : ", ") + shards[position].text();
    }
    return shards.size() > MaxNamedShards ? text + " and " + std::to_string(shards.size() - MaxNamedShards) + " more" : text;
}

} // namespace

QueryRun::QueryRun(QueryContext &context, CurrentConfiguration current, CallerRule rule, Query query)
    : context_(context)
    , current_(std::move(current))
    , rule_(std::move(rule))
    , query_(std::move(query))
    , startedAt_(context.runtime.now())
{
}

QueryRun::~QueryRun()
{
    context_.runtime.cancel(deadlineTimer_);
    context_.runtime.cancel(halfTimeTimer_);
    context_.runtime.cancel(stepTimer_);
}

void QueryRun::start(Done done)
{
    done_ = std::move(done);
    ++context_.counters.started;
    const Duration wait = std::min(rule_.longestWait, query_.deadline.value_or(rule_.longestWait));
    parameters_.outcome = &outcome_;
    parameters_.caller = query_.caller;
    parameters_.rank = rule_.rank;
    parameters_.text = query_.text;
    parameters_.deadline = startedAt_ + wait;
    deadlineTimer_ = context_.runtime.schedule(wait, [this] { finish(); });
    halfTimeTimer_ = context_.runtime.schedule(wait / 2, [this] { onHalfTime(); });
    stepTimer_ = context_.runtime.schedule(Duration{0}, [this] { pinSnapshotAndStart(); });
}

const AdmissionOutcome &QueryRun::outcome() const
{
    return outcome_;
}

Duration QueryRun::timeLeft() const
{
    return parameters_.deadline - context_.runtime.now();
}

void QueryRun::pinSnapshotAndStart()
{
    stepTimer_ = 0;
    configuration_ = current_();
    const auto found = configuration_->indexes.find(query_.index);
    if (found == configuration_->indexes.end()) {
        finish();
        return;
    }
    index_ = &found->second;
    parameters_.fleet = index_->fleet;
    parameters_.snapshot = context_.tracker.pin(index_->name, index_->map);
    const auto known = [this](const Shard &shard) { return context_.tracker.hasKnownWindow(index_->name, shard); };
    if (discovery_ || std::all_of(index_->map.shards.begin(), index_->map.shards.end(), known)) {
        requestAllShards();
        return;
    }
    discovery_ = std::make_unique<SnapshotDiscovery>(context_, parameters_, index_->name, index_->map);
    discovery_->start([this] { stepTimer_ = context_.runtime.schedule(Duration{0}, [this] { pinSnapshotAndStart(); }); });
}

void QueryRun::requestAllShards()
{
    discovery_.reset();
    states_.assign(index_->map.shards.size(), ShardState::Pending);
    plan_ = std::make_unique<TopKPlan>(query_.limit, index_->map.shards.size());
    if (parameters_.snapshot.version == 0) {
        stepTimer_ = context_.runtime.schedule(context_.limits.retryPause, [this] { pinSnapshotAndStart(); });
        return;
    }
    const std::uint32_t first = plan_->firstLimit();
    for (std::size_t position = 0; position < states_.size(); ++position) {
        requestShard(position, 0, first);
    }
}

void QueryRun::requestShard(std::size_t position, std::uint32_t offset, std::uint32_t limit)
{
    states_[position] = ShardState::Pending;
    auto &request = requests_[position];
    request = std::make_unique<ShardRequest>(context_, parameters_, index_->map.shards[position], offset, limit);
    request->start([this, position, offset](const SubReply &reply) { onShardAnswered(position, offset, reply); },
                   [this, position](ShardFailure reason) { onShardFailed(position, reason); });
}

void QueryRun::onShardAnswered(std::size_t position, std::uint32_t offset, const SubReply &reply)
{
    nothingRan_ = false;
    const bool accepted = plan_->add(position, offset, reply.hits, reply.total);
    context_.counters.malformedReplies += accepted ? 0 : 1;
    states_[position] = accepted ? ShardState::Answered : ShardState::Unavailable;
    startNextRound();
    finishIfSettled();
}

void QueryRun::startNextRound()
{
    const bool roundOpen = std::any_of(states_.begin(), states_.end(), [](ShardState state) { return state == ShardState::Pending; });
    if (stepTimer_ != 0 || (roundOpen && !halfTimePassed_)) {
        return;
    }
    for (const TopKRequest &next : plan_->nextRequests()) {
        requestShard(next.shard, next.offset, next.limit);
    }
}

void QueryRun::onHalfTime()
{
    halfTimeTimer_ = 0;
    halfTimePassed_ = true;
    if (plan_) {
        startNextRound();
    }
}

void QueryRun::onShardFailed(std::size_t position, ShardFailure reason)
{
    if (reason == ShardFailure::SnapshotUnavailable && restart()) {
        return;
    }
    states_[position] = reason == ShardFailure::SnapshotUnavailable ? ShardState::Unavailable : ShardState::Exhausted;
    startNextRound();
    finishIfSettled();
}

bool QueryRun::restart()
{
    const Duration wait = parameters_.deadline - startedAt_;
    if (restarts_ >= context_.limits.maxRestarts || timeLeft() < wait / RestartTimeDivisor) {
        return false;
    }
    const ConfigurationPtr newest = current_();
    const auto found = newest->indexes.find(query_.index);
    if (found == newest->indexes.end() || context_.tracker.pin(query_.index, found->second.map) == parameters_.snapshot) {
        return false;
    }
    ++restarts_;
    ++context_.counters.restarts;
    updateBestAnswer();
    context_.runtime.cancel(stepTimer_);
    stepTimer_ = context_.runtime.schedule(Duration{0}, [this] {
        cancelRequests();
        pinSnapshotAndStart();
    });
    return true;
}

void QueryRun::cancelRequests()
{
    for (const auto &[position, request] : requests_) {
        nothingRan_ = nothingRan_ && request->nothingRan();
    }
    requests_.clear();
}

void QueryRun::scheduleRestart()
{
    stepTimer_ = context_.runtime.schedule(context_.limits.retryPause, [this] {
        stepTimer_ = 0;
        if (!restart()) {
            scheduleRestart();
        }
    });
}

void QueryRun::updateBestAnswer()
{
    QueryAnswer answer = assembleAnswer();
    if (answer.coverage.answeredKeys > best_.coverage.answeredKeys) {
        best_ = std::move(answer);
    }
}

void QueryRun::finishIfSettled()
{
    if (stepTimer_ != 0) {
        return;
    }
    const auto settled = [this](ShardState state) {
        return state == ShardState::Answered || state == ShardState::Unavailable || (state == ShardState::Exhausted && rule_.partialAllowed);
    };
    if (!std::all_of(states_.begin(), states_.end(), settled)) {
        return;
    }
    if (hasRequiredCoverage(assembleAnswer().coverage)) {
        stepTimer_ = context_.runtime.schedule(Duration{0}, [this] { finish(); });
    } else if (std::any_of(states_.begin(), states_.end(), [](ShardState state) { return state == ShardState::Unavailable; })) {
        scheduleRestart();
    }
}

QueryAnswer QueryRun::assembleAnswer() const
{
    QueryAnswer answer;
    answer.snapshot = parameters_.snapshot;
    answer.took = context_.runtime.now() - startedAt_;
    if (!plan_ || index_ == nullptr) {
        return answer;
    }
    answer.hits = plan_->merged();
    for (std::size_t position = 0; position < states_.size(); ++position) {
        const Shard &shard = index_->map.shards[position];
        if (plan_->settled(position)) {
            answer.coverage.answeredKeys += shard.range.width();
        } else {
            answer.coverage.missing.push_back(shard.id);
        }
    }
    return answer;
}

bool QueryRun::hasRequiredCoverage(const Coverage &coverage) const
{
    return coverage.complete() || (rule_.partialAllowed && coverage.fraction() >= rule_.leastCoverage);
}

void QueryRun::finish()
{
    updateBestAnswer();
    best_.took = context_.runtime.now() - startedAt_;
    cancelRequests();
    discovery_.reset();
    const Done done = std::exchange(done_, nullptr);
    if (!done) {
        return;
    }
    if (!hasRequiredCoverage(best_.coverage)) {
        ++context_.counters.refused;
        done(tl::make_unexpected(refusal(best_)));
        return;
    }
    ++(best_.coverage.complete() ? context_.counters.complete : context_.counters.partial);
    done(std::move(best_));
}

Failure QueryRun::refusal(const QueryAnswer &best) const
{
    Failure failure;
    failure.code = best.coverage.answeredKeys == 0 ? Errc::DeadlineExceeded : Errc::CoverageTooLow;
    failure.verdict = nothingRan_ ? Verdict::NotRun : Verdict::MayHaveRun;
    failure.message = "only " + std::to_string(best.coverage.fraction()) + " of the index answered in time, and the declaration asks for "
        + std::to_string(rule_.partialAllowed ? rule_.leastCoverage : 1.0);
    if (!best.coverage.missing.empty()) {
        failure.message += "; missing shards: " + listShards(best.coverage.missing);
    }
    return failure;
}

} // namespace Burdock
