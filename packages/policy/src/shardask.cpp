#include <burdock/policy/shardask.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Burdock
{

namespace
{

constexpr Duration LongestPause = std::chrono::milliseconds(500);

bool contains(const std::vector<ServerId> &servers, const ServerId &server)
{
    return std::find(servers.begin(), servers.end(), server) != servers.end();
}

} // namespace

SubRequestIds::SubRequestIds(InstanceId self, std::uint64_t incarnation)
    : self_(std::move(self))
    , incarnation_(incarnation)
{
}

SubRequestId SubRequestIds::next()
{
    return SubRequestId{self_, incarnation_, ++last_};
}

ShardAsk::ShardAsk(QueryContext &context, const ShardQuestion &question, const Shard &shard, std::uint32_t offset, std::uint32_t limit)
    : context_(context)
    , question_(question)
    , shard_(shard)
    , offset_(offset)
    , limit_(limit)
    , pause_(context.limits.retryPause)
    , life_(table(), *this)
{
}

const ChartTable<ShardAsk> &ShardAsk::table()
{
    static const ChartTable<ShardAsk> table(chartNamed("subrequest"), {});
    return table;
}

ShardAsk::~ShardAsk()
{
    life_.handle("cancel");
    cancelAttempts();
    context_.runtime.cancel(hedgeTimer_);
    context_.runtime.cancel(pauseTimer_);
}

void ShardAsk::start(AnswerHandler onAnswer, TroubleHandler onTrouble)
{
    onAnswer_ = std::move(onAnswer);
    onTrouble_ = std::move(onTrouble);
    context_.tactics.onFirstAttempt();
    if (!launch()) {
        pauseThenRetry();
    }
}

bool ShardAsk::nothingRan() const
{
    return nothingRan_ && attempts_.empty();
}

std::vector<ServerId> ShardAsk::replicasWithSnapshot() const
{
    std::vector<ServerId> holding;
    for (const ServerId &server : shard_.replicas) {
        if (!contains(moved_, server) && context_.tracker.mayHold(server, question_.snapshot.index, question_.snapshot.version)) {
            holding.push_back(server);
        }
    }
    return holding;
}

bool ShardAsk::launch()
{
    const auto server = context_.tactics.chooseReplica(replicasWithSnapshot(), question_.rank, tried_);
    if (!server) {
        return false;
    }
    life_.handle("send");
    send(*server);
    armHedge(*server);
    return true;
}

void ShardAsk::send(const ServerId &server)
{
    SubRequest request;
    request.id = context_.ids.next();
    request.caller = question_.caller;
    request.rank = question_.rank;
    request.fleet = question_.fleet;
    request.server = server;
    request.budget = std::max(Duration{0}, question_.deadline - context_.runtime.now());
    request.snapshot = question_.snapshot;
    request.shard = shard_.id;
    request.range = shard_.range;
    request.text = question_.text;
    request.offset = offset_;
    request.limit = limit_;
    ++context_.counters.subRequests;
    tried_.push_back(server);
    attempts_.push_back(Attempt{request.id, server, context_.runtime.now()});
    context_.port.send(request, [this, id = request.id](const SubReply &reply) { replied(id, reply); });
}

void ShardAsk::armHedge(const ServerId &server)
{
    context_.runtime.cancel(hedgeTimer_);
    hedgeTimer_ = 0;
    if (const auto delay = context_.tactics.hedgeDelay(server, question_.rank)) {
        hedgeTimer_ = context_.runtime.schedule(*delay, [this] { hedge(); });
    }
}

void ShardAsk::hedge()
{
    hedgeTimer_ = 0;
    if (!life_.in("sent")) {
        return;
    }
    const auto server = context_.tactics.chooseReplica(replicasWithSnapshot(), question_.rank, tried_);
    if (!server || !context_.tactics.tryAcquireHedge()) {
        return;
    }
    ++context_.counters.hedges;
    life_.handle("hedge");
    send(*server);
}

void ShardAsk::replied(const SubRequestId &id, const SubReply &reply)
{
    const auto found = std::find_if(attempts_.begin(), attempts_.end(), [&id](const Attempt &attempt) { return attempt.id == id; });
    if (found == attempts_.end()) {
        return;
    }
    const Attempt attempt = *found;
    attempts_.erase(found);
    tally(reply);
    nothingRan_ = nothingRan_ && reply.code != Errc::Ok && reply.verdict == Verdict::NotRun;
    context_.tracker.update(reply.report);
    context_.tactics.onServerReport(reply.report);
    const bool good = reply.code == Errc::Ok && matches(reply) && wellFormed(reply);
    const Errc code = good || reply.code != Errc::Ok ? reply.code : Errc::Internal;
    context_.tactics.onAttemptFinished(attempt.server, question_.rank, code, context_.runtime.now() - attempt.sentAt);
    life_.handle(good ? "reply" : "fail");
    if (good) {
        accept(reply);
        return;
    }
    if (reply.code == Errc::WrongShard || reply.code == Errc::WrongVersion) {
        moved_.push_back(attempt.server);
    }
    attemptFailed(reply);
}

void ShardAsk::tally(const SubReply &reply)
{
    AdmissionOutcome &outcome = *question_.outcome;
    const bool forLoad = reply.verdict == Verdict::NotRun && (reply.code == Errc::Overloaded || reply.code == Errc::DeadlineExceeded);
    ++(forLoad ? outcome.refused : outcome.served);
    outcome.queueDelay = std::max(outcome.queueDelay, reply.report.queueDelay[rankIndex(question_.rank)]);
}

bool ShardAsk::matches(const SubReply &reply) const
{
    const bool same = reply.snapshot == question_.snapshot && reply.shard == shard_.id && reply.range == shard_.range;
    context_.counters.mismatchedReplies += same ? 0 : 1;
    return same;
}

bool ShardAsk::wellFormed(const SubReply &reply) const
{
    const std::uint64_t behind = reply.total > offset_ ? reply.total - offset_ : 0;
    bool good = reply.hits.size() == std::min<std::uint64_t>(limit_, behind);
    good = good && std::is_sorted(reply.hits.begin(), reply.hits.end(), ranksBefore);
    std::set<std::string> ids;
    for (const Hit &hit : reply.hits) {
        good = good && ids.insert(hit.id).second;
    }
    context_.counters.malformedReplies += good ? 0 : 1;
    return good;
}

void ShardAsk::accept(const SubReply &reply)
{
    context_.counters.hitsCarried += reply.hits.size();
    context_.counters.losersCancelled += attempts_.size();
    cancelAttempts();
    context_.runtime.cancel(hedgeTimer_);
    const AnswerHandler handler = onAnswer_;
    handler(reply);
}

void ShardAsk::attemptFailed(const SubReply &reply)
{
    retryAfter_ = std::max(retryAfter_, reply.retryAfter);
    if (life_.in("waiting")) {
        retry();
    }
}

void ShardAsk::retry()
{
    if (replicasWithSnapshot().empty()) {
        life_.handle("giveUp");
        const TroubleHandler handler = onTrouble_;
        handler(ShardTrouble::SnapshotGone);
        return;
    }
    if (context_.tactics.chooseReplica(replicasWithSnapshot(), question_.rank, tried_) && context_.tactics.tryAcquireRetry()) {
        ++context_.counters.retries;
        launch();
        return;
    }
    pauseThenRetry();
}

void ShardAsk::pauseThenRetry()
{
    const Duration pause = std::max(pause_, retryAfter_);
    retryAfter_ = Duration{0};
    pause_ = std::min(pause_ * 2, LongestPause);
    pauseTimer_ = context_.runtime.schedule(pause, [this] {
        pauseTimer_ = 0;
        tried_.clear();
        retry();
    });
    const TroubleHandler handler = onTrouble_;
    handler(ShardTrouble::Exhausted);
}

void ShardAsk::cancelAttempts()
{
    for (const Attempt &attempt : attempts_) {
        context_.port.cancel(attempt.id);
        context_.tactics.onAttemptFinished(attempt.server, question_.rank, Errc::Cancelled, context_.runtime.now() - attempt.sentAt);
    }
    attempts_.clear();
}

} // namespace Burdock
