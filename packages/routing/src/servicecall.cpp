#include <burdock/routing/servicecall.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// The fraction of the repeat budget that hedges leave for retries: a retry saves an answer, a hedge only time.
constexpr double RetryReserveFraction = 0.3;
/// Additional attempts after refusals, beyond the route's attempts: a refused attempt costs a server only its arrival.
constexpr std::uint32_t MaxExtraRefusals = 2;
/// A hedge is sent no earlier than the expected latency plus itself divided by this, however close the target time is.
constexpr int EarliestHedgeDivisor = 8;
/// A request that may crash servers is hedged no earlier than this: a server that runs it would have crashed by then, so it is silent
/// for another reason.
constexpr Duration SuspectHedgeDelay = std::chrono::milliseconds(400);
/// The suggested retry delay if a service has no listed server: lapsed entries are back within two seconds after the store recovers.
constexpr Duration ListingRetryAfter = std::chrono::milliseconds(1200);
/// The minimum time before the deadline for another attempt; with less, it cannot be answered in time.
constexpr Duration MinTimeLeft = std::chrono::milliseconds(10);

ReachOutcome reachOutcomeOf(const Result<ServerReply> &reply)
{
    return reply ? ReachOutcome::Response : Burdock::reachOutcomeOf(reply.error());
}

} // namespace

ServiceCall::ServiceCall(RoutingContext &context,
                         std::shared_ptr<const Route> route,
                         const ServiceName &service,
                         std::shared_ptr<const ClientRequest> request,
                         std::shared_ptr<RequestTrial> trial,
                         TimePoint deadline,
                         TimePoint targetTime)
    : context_(context)
    , route_(std::move(route))
    , service_(service)
    , request_(std::move(request))
    , trial_(std::move(trial))
    , deadline_(deadline)
    , targetTime_(targetTime)
    , cost_(context.choice.placing().costOf(*route_, service_, request_->body.size(), request_->workspace, context.runtime.now()))
{
}

ServiceCall::~ServiceCall()
{
    context_.runtime.cancel(hedgeTimer_);
    for (const auto &[number, attempt] : attempts_) {
        context_.backends.cancel(attempt.id);
        context_.reach.onEnded(attempt.reachId, ReachOutcome::NoResponse);
        trial_->onEnded(attempt.server->id, RequestTrial::Outcome::Other, context_.runtime.now());
        if (context_.reach.wasCutOffSince(attempt.sentAt)) {
            context_.load.onAbandoned(attempt.server->id, attempt.sentAt);
        } else {
            context_.choice.onAbandoned(*route_, *attempt.server, attempt.sentAt, context_.runtime.now(), cost());
        }
    }
}

void ServiceCall::start(Done done)
{
    done_ = std::move(done);
    started_ = true;
    if (!request_->passedOn || !request_->passedOn->counted) {
        context_.budget.onFirstSend(service_, context_.runtime.now());
    }
    if (trial_->mayStart()) {
        return sendFirst();
    }
    trial_->wait([this] { resume(); });
}

void ServiceCall::stopSending()
{
    sendingStopped_ = true;
    context_.runtime.cancel(std::exchange(hedgeTimer_, 0));
}

std::uint32_t ServiceCall::attemptsUsed(TimePoint lastResponse) const
{
    const auto isUsed = [lastResponse](TimePoint sentAt) { return sentAt <= lastResponse; };
    return static_cast<std::uint32_t>(std::count_if(possiblyRanSentAt_.begin(), possiblyRanSentAt_.end(), isUsed));
}

bool ServiceCall::needsRepeat(TimePoint lastResponse) const
{
    const bool mayHaveArrived = sends_ > notArrived_ && firstSentAt_ <= lastResponse;
    return mayHaveArrived && lastSentAt_ <= lastResponse;
}

void ServiceCall::sendFirst()
{
    if (!sendAttempt("send", {})) {
        finish(tl::make_unexpected(refuse()));
    }
}

void ServiceCall::resume()
{
    if (!done_) {
        return;
    }
    if (trial_->isGuilty(context_.runtime.now())) {
        const std::string reason = "the request crashes the servers that run it";
        return finish(possiblyRan_ == 0 ? Result<ServerReply>(notRun(Errc::Unavailable, reason)) : mayHaveRun(Errc::Unavailable, reason));
    }
    if (!lastReply_) {
        return sendFirst();
    }
    if (!tryRetry(reasonOf(*lastReply_))) {
        finish(std::move(*lastReply_));
    }
}

bool ServiceCall::canStart() const
{
    return context_.choice.choose(*route_, service_, {}, context_.runtime.now()).server != nullptr;
}

Failure ServiceCall::refuse() const
{
    if (context_.servers.servers(service_).empty()) {
        return notRun(Errc::Unavailable, "no server of the service is listed", ListingRetryAfter).value();
    }
    if (const std::string_view problem = context_.choice.placeProblem(*route_, service_); !problem.empty()) {
        return refuseForPlace(std::string(problem));
    }
    const Duration wait = context_.choice.refuseAtLimits(*route_, service_, context_.runtime.now());
    if (wait == Duration{0}) {
        const Duration pause = context_.choice.pauseLeft(*route_, service_, context_.runtime.now());
        return notRun(Errc::Overloaded, "no server of the service can take a request now", pause).value();
    }
    const std::string reason = "the servers of the service have reached their limits";
    context_.journal.note({"limit", request_->id, service_.text(), {}, reason, context_.runtime.now() - request_->arrived});
    return notRun(Errc::Overloaded, reason, wait).value();
}

Failure ServiceCall::refuseForPlace(const std::string &reason) const
{
    ++context_.counters.refusedForPlace;
    context_.journal.note({"place", request_->id, service_.text(), {}, reason, context_.runtime.now() - request_->arrived});
    return notRun(Errc::Unavailable, reason, ListingRetryAfter).value();
}

void ServiceCall::stop()
{
    done_ = nullptr;
    context_.runtime.cancel(std::exchange(hedgeTimer_, 0));
}

ChosenServer ServiceCall::chooseUntried(TimePoint now) const
{
    return context_.choice.choose(*route_, service_, tried_, now, cost());
}

ChosenServer ServiceCall::chooseServer(TimePoint now) const
{
    if (!trial_->isFree()) {
        // A server without another suspect tells more of this one if it crashes.
        std::vector<ServerId> excluded = tried_;
        for (const ServerHandle &server : context_.servers.servers(service_)) {
            if (context_.crashes.hasSuspect(server->id)) {
                excluded.push_back(server->id);
            }
        }
        ChosenServer chosen = context_.choice.choose(*route_, service_, excluded, now, cost());
        if (chosen.server) {
            return chosen;
        }
    }
    return chooseUntried(now);
}

bool ServiceCall::sendAttempt(const char *kind, const std::string &reason)
{
    if (sendingStopped_) {
        return false;
    }
    const TimePoint now = context_.runtime.now();
    const ChosenServer chosen = chooseServer(now);
    if (!chosen.server) {
        return false;
    }
    const bool first = sends_ == 0;
    const std::uint64_t number = ++sends_;
    ++possiblyRan_;
    possiblyRanSentAt_.push_back(now);
    lastSentAt_ = now;
    firstSentAt_ = first ? now : firstSentAt_;
    tried_.push_back(chosen.server->id);
    Attempt attempt{0, chosen.server, now, !first && !attempts_.empty(), 0};
    attempt.reachId = context_.reach.onSent(*chosen.server, context_.choice.overdueAfter(*route_, *chosen.server, now));
    context_.choice.onSent(*route_, *chosen.server, now, !first, cost());
    trial_->onSent(chosen.server->id);
    // Before sending, which may throw: what was counted above ends with the attempt.
    attempts_.emplace(number, std::move(attempt));
    attempts_.at(number).id =
        context_.backends.send(chosen.server, request_, deadline_, [this, number](Result<ServerReply> reply) { onAttemptFinished(number, std::move(reply)); });
    if (first) {
        ++context_.counters.firstSends;
    } else {
        context_.journal.note({kind,
                               request_->id,
                               service_.text(),
                               chosen.server->id.text(),
                               reason,
                               now - request_->arrived,
                               chosen.expected,
                               cost_ ? cost_->estimate.work : Duration{0}});
    }
    scheduleHedge(chosen);
    return true;
}

bool ServiceCall::mayRunAgain() const
{
    return !sendingStopped_ && route_->repeatable && possiblyRan_ < route_->attempts && deadline_ - context_.runtime.now() > MinTimeLeft;
}

void ServiceCall::scheduleHedge(const ChosenServer &chosen)
{
    context_.runtime.cancel(std::exchange(hedgeTimer_, 0));
    if (!mayRunAgain()) {
        return;
    }
    const TimePoint now = context_.runtime.now();
    const ChosenServer other = chooseUntried(now);
    if (!other.server) {
        return;
    }
    // Hedge when the first attempt is late, but early enough that the second can still meet the target time.
    const Duration latest = std::max(targetTime_ - now - other.expected, chosen.expected + chosen.expected / EarliestHedgeDivisor);
    const Duration usual = std::min(context_.choice.hedgeDelay(*route_, chosen), latest);
    hedgeTimer_ = context_.runtime.schedule(trial_->isFree() ? usual : std::max(usual, SuspectHedgeDelay), [this] { sendHedge(); });
}

void ServiceCall::sendHedge()
{
    hedgeTimer_ = 0;
    if (context_.reach.isCutOff() || !mayRunAgain() || chooseUntried(context_.runtime.now()).server == nullptr) {
        return;
    }
    if (!context_.budget.tryAcquire(service_, context_.runtime.now(), RetryReserveFraction)) {
        ++context_.counters.repeatsDenied;
        return;
    }
    ++context_.counters.hedges;
    context_.choice.onHedged(*route_);
    sendAttempt("hedge", "late answer");
}

bool ServiceCall::isSuccess(const Result<ServerReply> &reply) const
{
    return reply && reply->succeeded();
}

void ServiceCall::recordOutcome(const Attempt &attempt, const Result<ServerReply> &reply)
{
    const TimePoint now = context_.runtime.now();
    if (reachOutcomeOf(reply) == ReachOutcome::Response) {
        context_.load.onResponse();
    }
    if (context_.reach.wasCutOffSince(attempt.sentAt)) {
        // Neither the failure nor the time that it took is the server's.
        context_.load.onAbandoned(attempt.server->id, attempt.sentAt);
    } else if (isSuccess(reply)) {
        context_.choice.onAnswered(*route_, *attempt.server, attempt.sentAt, now, cost());
        if (sends_ == 1) {
            context_.choice.onNotHedged(*route_);
        }
    } else if (!reply && reply.error().verdict == Verdict::NotRun) {
        ++context_.counters.refusedByServers;
        context_.load.onRefused(attempt.server->id, attempt.sentAt, now);
    } else {
        ++context_.counters.failedAtServers;
        context_.load.onFailed(attempt.server->id, attempt.sentAt, now);
    }
}

void ServiceCall::onAttemptFinished(std::uint64_t number, Result<ServerReply> reply)
{
    const auto node = attempts_.extract(number);
    const Attempt &attempt = node.mapped();
    const ServerId server = attempt.server->id;
    const ReachOutcome reached = reachOutcomeOf(reply);
    context_.reach.onEnded(attempt.reachId, reached);
    notArrived_ += reached == ReachOutcome::NotConnected ? 1 : 0;
    recordOutcome(attempt, reply);
    if (!reply && reply.error().verdict == Verdict::NotRun) {
        --possiblyRan_;
        possiblyRanSentAt_.erase(std::find(possiblyRanSentAt_.begin(), possiblyRanSentAt_.end(), attempt.sentAt));
    }
    if (isCrash(attempt, reply)) {
        context_.journal.note(
            {"crash", request_->id, service_.text(), server.text(), trial_->fingerprint().text(), context_.runtime.now() - request_->arrived});
    }
    if (reply) {
        context_.crashes.onServerAnswered(server, attempt.sentAt);
    }
    trial_->onEnded(server, outcomeOf(attempt, reply), context_.runtime.now());
    // The calls that wait are resumed after this one, which holds the trial until then.
    const auto trial = trial_;
    handleReply(std::move(reply));
    trial->resumeWaiting();
}

void ServiceCall::handleReply(Result<ServerReply> reply)
{
    if (!done_) {
        return;
    }
    if (isSuccess(reply)) {
        return finish(std::move(reply));
    }
    if (!attempts_.empty() && !trial_->isFree()) {
        return;
    }
    const bool isHeldBack = !trial_->mayStart() || trial_->isGuilty(context_.runtime.now());
    if (isHeldBack && canRetry()) {
        lastReply_ = std::move(reply);
        trial_->wait([this] { resume(); });
        return;
    }
    if (tryRetry(reasonOf(reply)) || !attempts_.empty()) {
        return;
    }
    finish(std::move(reply));
}

std::string ServiceCall::reasonOf(const Result<ServerReply> &reply) const
{
    return reply ? "status " + std::to_string(reply->status) : reply.error().message;
}

bool ServiceCall::isCrash(const Attempt &attempt, const Result<ServerReply> &reply) const
{
    const bool broken = !reply && reply.error().verdict == Verdict::MayHaveRun && reply.error().code == Errc::ConnectionLost;
    return broken && !context_.reach.wasCutOffSince(attempt.sentAt);
}

RequestTrial::Outcome ServiceCall::outcomeOf(const Attempt &attempt, const Result<ServerReply> &reply) const
{
    return reply ? RequestTrial::Outcome::Answered : isCrash(attempt, reply) ? RequestTrial::Outcome::Crashed : RequestTrial::Outcome::Other;
}

bool ServiceCall::canRetry() const
{
    if (context_.reach.isCutOff()) {
        return false;
    }
    const bool nothingRan = possiblyRan_ == 0 && sends_ < route_->attempts + MaxExtraRefusals;
    const bool timeLeft = deadline_ - context_.runtime.now() > MinTimeLeft;
    if (sendingStopped_ || !timeLeft || !(nothingRan || mayRunAgain()) || sends_ >= route_->attempts + MaxExtraRefusals) {
        return false;
    }
    return chooseUntried(context_.runtime.now()).server != nullptr;
}

bool ServiceCall::tryRetry(const std::string &reason)
{
    if (!canRetry()) {
        return false;
    }
    // The budget is for arrivals at servers beyond the first.
    const bool isFirstArrival = sends_ == notArrived_;
    if (!isFirstArrival && !context_.budget.tryAcquire(service_, context_.runtime.now(), 0)) {
        ++context_.counters.repeatsDenied;
        return false;
    }
    ++context_.counters.retries;
    return sendAttempt("retry", reason);
}

void ServiceCall::finish(Result<ServerReply> reply)
{
    context_.runtime.cancel(std::exchange(hedgeTimer_, 0));
    const Done done = std::exchange(done_, nullptr);
    done(CallOutcome{std::move(reply), possiblyRan_ == 0, sends_});
}

} // namespace Burdock
