#include <burdock/policy/queryrun.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// A restart is worth while only with this part of the whole wait still left.
constexpr int RestartTimeDivisor = 8;
/// How many missing shards a refusal names.
constexpr std::size_t NamedShards = 5;

std::string listShards(const std::vector<ShardId> &shards)
{
    std::string text;
    for (std::size_t place = 0; place < shards.size() && place < NamedShards; ++place) {
        text += (place == 0 ? "" : ", ") + shards[place].text();
    }
    return shards.size() > NamedShards ? text + " and " + std::to_string(shards.size() - NamedShards) + " more" : text;
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
    context_.runtime.cancel(hurryTimer_);
    context_.runtime.cancel(turnTimer_);
}

void QueryRun::start(Done done)
{
    done_ = std::move(done);
    ++context_.counters.started;
    const Duration wait = std::min(rule_.longestWait, query_.deadline.value_or(rule_.longestWait));
    question_.outcome = &outcome_;
    question_.caller = query_.caller;
    question_.rank = rule_.rank;
    question_.text = query_.text;
    question_.deadline = startedAt_ + wait;
    deadlineTimer_ = context_.runtime.schedule(wait, [this] { finish(); });
    hurryTimer_ = context_.runtime.schedule(wait / 2, [this] { hurry(); });
    turnTimer_ = context_.runtime.schedule(Duration{0}, [this] { pinAndAsk(); });
}

const AdmissionOutcome &QueryRun::outcome() const
{
    return outcome_;
}

Duration QueryRun::timeLeft() const
{
    return question_.deadline - context_.runtime.now();
}

void QueryRun::pinAndAsk()
{
    turnTimer_ = 0;
    configuration_ = current_();
    const auto found = configuration_->indexes.find(query_.index);
    if (found == configuration_->indexes.end()) {
        finish();
        return;
    }
    index_ = &found->second;
    question_.fleet = index_->fleet;
    question_.snapshot = context_.tracker.pin(index_->name, index_->map);
    const auto known = [this](const Shard &shard) { return context_.tracker.knows(index_->name, shard); };
    if (discovery_ || std::all_of(index_->map.shards.begin(), index_->map.shards.end(), known)) {
        askAll();
        return;
    }
    discovery_ = std::make_unique<SnapshotDiscovery>(context_, question_, index_->name, index_->map);
    discovery_->start([this] { turnTimer_ = context_.runtime.schedule(Duration{0}, [this] { pinAndAsk(); }); });
}

void QueryRun::askAll()
{
    discovery_.reset();
    states_.assign(index_->map.shards.size(), ShardState::Asking);
    plan_ = std::make_unique<TopKPlan>(query_.limit, index_->map.shards.size());
    if (question_.snapshot.version == 0) {
        turnTimer_ = context_.runtime.schedule(context_.limits.retryPause, [this] { pinAndAsk(); });
        return;
    }
    const std::uint32_t first = plan_->firstLimit();
    for (std::size_t place = 0; place < states_.size(); ++place) {
        ask(place, 0, first);
    }
}

void QueryRun::ask(std::size_t place, std::uint32_t offset, std::uint32_t limit)
{
    states_[place] = ShardState::Asking;
    auto &asked = asks_[place];
    asked = std::make_unique<ShardAsk>(context_, question_, index_->map.shards[place], offset, limit);
    asked->start([this, place, offset](const SubReply &reply) { answered(place, offset, reply); },
                 [this, place](ShardTrouble trouble) { troubled(place, trouble); });
}

void QueryRun::answered(std::size_t place, std::uint32_t offset, const SubReply &reply)
{
    nothingRan_ = false;
    const bool taken = plan_->add(place, offset, reply.hits, reply.total);
    context_.counters.malformedReplies += taken ? 0 : 1;
    states_[place] = taken ? ShardState::Answered : ShardState::Gone;
    askFurther();
    finishIfSettled();
}

void QueryRun::askFurther()
{
    const bool roundOpen = std::any_of(states_.begin(), states_.end(), [](ShardState state) { return state == ShardState::Asking; });
    if (turnTimer_ != 0 || (roundOpen && !hurried_)) {
        return;
    }
    for (const TopKAsk &next : plan_->nextAsks()) {
        ask(next.shard, next.offset, next.limit);
    }
}

void QueryRun::hurry()
{
    hurryTimer_ = 0;
    hurried_ = true;
    if (plan_) {
        askFurther();
    }
}

void QueryRun::troubled(std::size_t place, ShardTrouble trouble)
{
    if (trouble == ShardTrouble::SnapshotGone && restart()) {
        return;
    }
    states_[place] = trouble == ShardTrouble::SnapshotGone ? ShardState::Gone : ShardState::Exhausted;
    askFurther();
    finishIfSettled();
}

bool QueryRun::restart()
{
    const Duration wait = question_.deadline - startedAt_;
    if (restarts_ >= context_.limits.restarts || timeLeft() < wait / RestartTimeDivisor) {
        return false;
    }
    const ConfigurationPtr newest = current_();
    const auto found = newest->indexes.find(query_.index);
    if (found == newest->indexes.end() || context_.tracker.pin(query_.index, found->second.map) == question_.snapshot) {
        return false;
    }
    ++restarts_;
    ++context_.counters.restarts;
    keepIfBest();
    context_.runtime.cancel(turnTimer_);
    turnTimer_ = context_.runtime.schedule(Duration{0}, [this] {
        dropAsks();
        pinAndAsk();
    });
    return true;
}

void QueryRun::dropAsks()
{
    for (const auto &[place, asked] : asks_) {
        nothingRan_ = nothingRan_ && asked->nothingRan();
    }
    asks_.clear();
}

void QueryRun::waitForNews()
{
    turnTimer_ = context_.runtime.schedule(context_.limits.retryPause, [this] {
        turnTimer_ = 0;
        if (!restart()) {
            waitForNews();
        }
    });
}

void QueryRun::keepIfBest()
{
    QueryAnswer answer = assemble();
    if (answer.coverage.answeredKeys > best_.coverage.answeredKeys) {
        best_ = std::move(answer);
    }
}

void QueryRun::finishIfSettled()
{
    if (turnTimer_ != 0) {
        return;
    }
    const auto settled = [this](ShardState state) {
        return state == ShardState::Answered || state == ShardState::Gone || (state == ShardState::Exhausted && rule_.partialAllowed);
    };
    if (!std::all_of(states_.begin(), states_.end(), settled)) {
        return;
    }
    if (serves(assemble().coverage)) {
        turnTimer_ = context_.runtime.schedule(Duration{0}, [this] { finish(); });
    } else if (std::any_of(states_.begin(), states_.end(), [](ShardState state) { return state == ShardState::Gone; })) {
        waitForNews();
    }
}

QueryAnswer QueryRun::assemble() const
{
    QueryAnswer answer;
    answer.snapshot = question_.snapshot;
    answer.took = context_.runtime.now() - startedAt_;
    if (!plan_ || index_ == nullptr) {
        return answer;
    }
    answer.hits = plan_->merged();
    for (std::size_t place = 0; place < states_.size(); ++place) {
        const Shard &shard = index_->map.shards[place];
        if (plan_->settled(place)) {
            answer.coverage.answeredKeys += shard.range.width();
        } else {
            answer.coverage.missing.push_back(shard.id);
        }
    }
    return answer;
}

bool QueryRun::serves(const Coverage &coverage) const
{
    return coverage.complete() || (rule_.partialAllowed && coverage.fraction() >= rule_.leastCoverage);
}

void QueryRun::finish()
{
    keepIfBest();
    best_.took = context_.runtime.now() - startedAt_;
    dropAsks();
    discovery_.reset();
    const Done done = std::exchange(done_, nullptr);
    if (!done) {
        return;
    }
    if (!serves(best_.coverage)) {
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
