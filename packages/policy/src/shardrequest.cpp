#include <burdock/policy/shardrequest.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Burdock
{

namespace
{

constexpr Duration MaxRetryPause = std::chrono::milliseconds(500);

bool contains(const std::vector<ServerId> &servers, const ServerId &server)
{
    return std::find(servers.begin(), servers.end(), server) != servers.end();
}

} // namespace

SubRequestIdGenerator::SubRequestIdGenerator(InstanceId self, std::uint64_t incarnation)
    : self_(std::move(self))
    , incarnation_(incarnation)
{
}

SubRequestId SubRequestIdGenerator::next()
{
    return SubRequestId{self_, incarnation_, ++last_};
}

ShardRequest::ShardRequest(QueryContext &context, const ShardQueryParameters &parameters, const Shard &shard, std::uint32_t offset, std::uint32_t limit)
    : context_(context)
    , parameters_(parameters)
    , shard_(shard)
    , offset_(offset)
    , limit_(limit)
    , pause_(context.limits.retryPause)
    , chart_(table(), *this)
{
}

const ChartTable<ShardRequest> &ShardRequest::table()
{
    static const ChartTable<ShardRequest> table(chartNamed("subrequest"), {});
    return table;
}

ShardRequest::~ShardRequest()
{
    chart_.handle("cancel");
    cancelAttempts();
    context_.runtime.cancel(hedgeTimer_);
    context_.runtime.cancel(pauseTimer_);
}

void ShardRequest::start(AnswerHandler onAnswer, FailureHandler onFailure)
{
    onAnswer_ = std::move(onAnswer);
    onFailure_ = std::move(onFailure);
    context_.tactics.onFirstAttempt();
    if (!startAttempt()) {
        pauseThenRetry();
    }
}

bool ShardRequest::nothingRan() const
{
    return nothingRan_ && attempts_.empty();
}

std::vector<ServerId> ShardRequest::replicasWithSnapshot() const
{
    std::vector<ServerId> holders;
    for (const ServerId &server : shard_.replicas) {
        if (!contains(withoutSnapshot_, server) && context_.tracker.mayHold(server, parameters_.snapshot.index, parameters_.snapshot.version)) {
            holders.push_back(server);
        }
    }
    return holders;
}

bool ShardRequest::startAttempt()
{
    const auto server = context_.tactics.chooseReplica(replicasWithSnapshot(), parameters_.rank, tried_);
    if (!server) {
        return false;
    }
    chart_.handle("send");
    send(*server);
    armHedge(*server);
    return true;
}

void ShardRequest::send(const ServerId &server)
{
    SubRequest request;
    request.id = context_.ids.next();
    request.caller = parameters_.caller;
    request.rank = parameters_.rank;
    request.fleet = parameters_.fleet;
    request.server = server;
    request.budget = std::max(Duration{0}, parameters_.deadline - context_.runtime.now());
    request.snapshot = parameters_.snapshot;
    request.shard = shard_.id;
    request.range = shard_.range;
    request.text = parameters_.text;
    request.offset = offset_;
    request.limit = limit_;
    ++context_.counters.subRequests;
    tried_.push_back(server);
    attempts_.push_back(Attempt{request.id, server, context_.runtime.now()});
    context_.port.send(request, [this, id = request.id](const SubReply &reply) { onReply(id, reply); });
}

void ShardRequest::armHedge(const ServerId &server)
{
    context_.runtime.cancel(hedgeTimer_);
    hedgeTimer_ = 0;
    if (const auto delay = context_.tactics.hedgeDelay(server, parameters_.rank)) {
        hedgeTimer_ = context_.runtime.schedule(*delay, [this] { hedge(); });
    }
}

void ShardRequest::hedge()
{
    hedgeTimer_ = 0;
    if (!chart_.isIn("sent")) {
        return;
    }
    const auto server = context_.tactics.chooseReplica(replicasWithSnapshot(), parameters_.rank, tried_);
    if (!server || !context_.tactics.tryAcquireHedge()) {
        return;
    }
    ++context_.counters.hedges;
    chart_.handle("hedge");
    send(*server);
}

void ShardRequest::onReply(const SubRequestId &id, const SubReply &reply)
{
    const auto found = std::find_if(attempts_.begin(), attempts_.end(), [&id](const Attempt &attempt) { return attempt.id == id; });
    if (found == attempts_.end()) {
        return;
    }
    const Attempt attempt = *found;
    attempts_.erase(found);
    countOutcome(reply);
    nothingRan_ = nothingRan_ && reply.code != Errc::Ok && reply.verdict == Verdict::NotRun;
    context_.tracker.update(reply.report);
    context_.tactics.onServerReport(reply.report);
    const bool good = reply.code == Errc::Ok && matches(reply) && wellFormed(reply);
    const Errc code = good || reply.code != Errc::Ok ? reply.code : Errc::Internal;
    context_.tactics.onAttemptFinished(attempt.server, parameters_.rank, code, context_.runtime.now() - attempt.sentAt);
    chart_.handle(good ? "reply" : "fail");
    if (good) {
        acceptReply(reply);
        return;
    }
    if (reply.code == Errc::WrongShard || reply.code == Errc::WrongVersion) {
        withoutSnapshot_.push_back(attempt.server);
    }
    attemptFailed(reply);
}

void ShardRequest::countOutcome(const SubReply &reply)
{
    AdmissionOutcome &outcome = *parameters_.outcome;
    const bool forLoad = reply.verdict == Verdict::NotRun && (reply.code == Errc::Overloaded || reply.code == Errc::DeadlineExceeded);
    ++(forLoad ? outcome.refused : outcome.served);
    outcome.queueDelay = std::max(outcome.queueDelay, reply.report.queueDelay[rankIndex(parameters_.rank)]);
}

bool ShardRequest::matches(const SubReply &reply) const
{
    const bool same = reply.snapshot == parameters_.snapshot && reply.shard == shard_.id && reply.range == shard_.range;
    context_.counters.mismatchedReplies += same ? 0 : 1;
    return same;
}

bool ShardRequest::wellFormed(const SubReply &reply) const
{
    const std::uint64_t remaining = reply.total > offset_ ? reply.total - offset_ : 0;
    bool good = reply.hits.size() == std::min<std::uint64_t>(limit_, remaining);
    good = good && std::is_sorted(reply.hits.begin(), reply.hits.end(), ranksBefore);
    std::set<std::string> ids;
    for (const Hit &hit : reply.hits) {
        good = good && ids.insert(hit.id).second;
    }
    context_.counters.malformedReplies += good ? 0 : 1;
    return good;
}

void ShardRequest::acceptReply(const SubReply &reply)
{
    context_.counters.hitsReceived += reply.hits.size();
    context_.counters.losersCancelled += attempts_.size();
    cancelAttempts();
    context_.runtime.cancel(hedgeTimer_);
    const AnswerHandler handler = onAnswer_;
    handler(reply);
}

void ShardRequest::attemptFailed(const SubReply &reply)
{
    retryAfter_ = std::max(retryAfter_, reply.retryAfter);
    if (chart_.isIn("waiting")) {
        retry();
    }
}

void ShardRequest::retry()
{
    if (replicasWithSnapshot().empty()) {
        chart_.handle("giveUp");
        const FailureHandler handler = onFailure_;
        handler(ShardFailure::SnapshotUnavailable);
        return;
    }
    if (context_.tactics.chooseReplica(replicasWithSnapshot(), parameters_.rank, tried_) && context_.tactics.tryAcquireRetry()) {
        ++context_.counters.retries;
        startAttempt();
        return;
    }
    pauseThenRetry();
}

void ShardRequest::pauseThenRetry()
{
    const Duration pause = std::max(pause_, retryAfter_);
    retryAfter_ = Duration{0};
    pause_ = std::min(pause_ * 2, MaxRetryPause);
    pauseTimer_ = context_.runtime.schedule(pause, [this] {
        pauseTimer_ = 0;
        tried_.clear();
        retry();
    });
    const FailureHandler handler = onFailure_;
    handler(ShardFailure::Exhausted);
}

void ShardRequest::cancelAttempts()
{
    for (const Attempt &attempt : attempts_) {
        context_.port.cancel(attempt.id);
        context_.tactics.onAttemptFinished(attempt.server, parameters_.rank, Errc::Cancelled, context_.runtime.now() - attempt.sentAt);
    }
    attempts_.clear();
}

} // namespace Burdock
