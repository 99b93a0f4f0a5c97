#include <burdock/policy/commandrun.h>

#include <algorithm>

namespace Burdock
{

namespace
{

Failure failureOf(const SubReply &reply)
{
    return Failure{reply.code, reply.verdict, reply.message, reply.retryAfter};
}

} // namespace

const ChartTable<CommandRun> &CommandRun::table()
{
    static const ChartTable<CommandRun> bound(chartNamed("commandclaim"),
                                              {{"requestClaim", &CommandRun::requestClaim},
                                               {"dispatch", &CommandRun::dispatch},
                                               {"answerOutcome", &CommandRun::answerOutcome},
                                               {"answerRecorded", &CommandRun::answerRecorded},
                                               {"answerRefused", &CommandRun::answerRefused},
                                               {"answerNotRun", &CommandRun::answerNotRun},
                                               {"answerUnknown", &CommandRun::answerUnknown},
                                               {"abandonClaim", &CommandRun::abandonClaim},
                                               {"recordOutcome", &CommandRun::recordOutcome},
                                               {"recordNotRun", &CommandRun::recordNotRun}});
    return bound;
}

CommandRun::CommandRun(CommandContext &context, CommandDeclaration declaration, CallerRule rule, CommandRequest request, std::uint64_t nonce)
    : context_(context)
    , declaration_(std::move(declaration))
    , rule_(std::move(rule))
    , request_(std::move(request))
    , nonce_(nonce)
    , chart_(table(), *this)
    , alive_(std::make_shared<bool>(true))
{
}

CommandRun::~CommandRun()
{
    *alive_ = false;
    context_.runtime.cancel(deadlineTimer_);
    context_.runtime.cancel(ownerTimer_);
}

const std::string &CommandRun::state() const
{
    return chart_.state();
}

void CommandRun::start(Done done, std::function<void()> finished)
{
    done_ = std::move(done);
    finished_ = std::move(finished);
    const Duration wait = std::min(rule_.longestWait, request_.deadline.value_or(rule_.longestWait));
    deadline_ = context_.runtime.now() + wait;
    deadlineTimer_ = context_.runtime.schedule(wait, [this] { raise("expired"); });
    ++context_.counters.started;
    raise(declaration_.unrepeatable ? "claim" : "skipClaim");
}

void CommandRun::raise(std::string_view event)
{
    chart_.handle(event);
    if (chart_.isFinished() && finished_) {
        context_.runtime.cancel(deadlineTimer_);
        context_.runtime.cancel(ownerTimer_);
        context_.runtime.schedule(Duration{0}, std::exchange(finished_, nullptr));
    }
}

Duration CommandRun::timeLeft() const
{
    return std::chrono::duration_cast<Duration>(deadline_ - context_.runtime.now());
}

void CommandRun::requestClaim()
{
    context_.runtime.cancel(ownerTimer_);
    if (claimAttempts_ >= context_.limits.maxOwners) {
        failure_ = Failure{Errc::Unavailable, Verdict::NotRun, "the key could not be claimed; send it again later", context_.limits.retryAfter};
        return raise("refused");
    }
    const std::size_t attempt = claimAttempts_++;
    context_.counters.claimRetries += attempt > 0 ? 1 : 0;
    const ClaimRequest ask{0, request_.command, request_.key, context_.self, context_.incarnation, nonce_};
    context_.claims.requestClaim(ask, attempt, [this, attempt, alive = alive_](const ClaimAnswer &answer) {
        if (*alive) {
            onClaimAnswer(attempt, answer);
        }
    });
    ownerTimer_ = context_.runtime.schedule(context_.limits.ownerTimeout, [this] { raise("ownerFailed"); });
}

void CommandRun::onClaimAnswer(std::size_t attempt, const ClaimAnswer &answer)
{
    if (!chart_.isIn("claiming")) {
        return;
    }
    const Failure refusal{answer.code, Verdict::NotRun, "the key could not be claimed", context_.limits.retryAfter};
    switch (answer.code) {
    case Errc::Ok:
        return raise("granted");
    case Errc::ClaimedElsewhere:
        outcome_ = answer.outcome;
        failure_ = Failure{Errc::ClaimedElsewhere, Verdict::MayHaveRun, "an earlier request has this key and its outcome is not known", Duration{0}};
        return raise(answer.outcomeKnown ? "recorded" : "refused");
    case Errc::KeyExpired:
        failure_ = Failure{Errc::KeyExpired, Verdict::MayHaveRun, "the key is older than the claim window", Duration{0}};
        return raise("refused");
    case Errc::BadRequest:
    case Errc::Overloaded:
        failure_ = refusal;
        return raise("refused");
    default:
        // A late answer from an earlier owner does not end the wait for the current one.
        if (attempt + 1 == claimAttempts_) {
            raise("ownerFailed");
        }
    }
}

SubRequest CommandRun::subRequest(const ServerId &server)
{
    SubRequest request;
    request.id = context_.ids.next();
    request.kind = SubRequestKind::Command;
    request.caller = request_.caller;
    request.rank = rule_.rank;
    request.fleet = declaration_.fleet;
    request.server = server;
    request.budget = timeLeft();
    request.text = request_.payload;
    request.command = request_.command;
    request.key = request_.key;
    return request;
}

void CommandRun::dispatch()
{
    context_.runtime.cancel(ownerTimer_);
    if (timeLeft() <= Duration{0}) {
        failure_ = Failure{Errc::DeadlineExceeded, Verdict::NotRun, "the deadline passed before the command was dispatched", Duration{0}};
        return raise("exhausted");
    }
    const auto server = context_.tactics.chooseReplica(declaration_.servers, rule_.rank, tried_);
    if (!server || (!tried_.empty() && !context_.tactics.tryAcquireRetry())) {
        if (tried_.empty()) {
            failure_ = Failure{Errc::Unavailable, Verdict::NotRun, "no server of the command may get new work", context_.limits.retryAfter};
        }
        return raise("exhausted");
    }
    if (tried_.empty()) {
        context_.tactics.onFirstAttempt();
    }
    tried_.push_back(*server);
    ++context_.counters.dispatched;
    const SubRequest request = subRequest(*server);
    sent_ = request.id;
    sentAt_ = context_.runtime.now();
    context_.port.send(request, [this, alive = alive_](const SubReply &reply) {
        if (*alive) {
            onServerReply(reply);
        }
    });
}

void CommandRun::onServerReply(const SubReply &reply)
{
    if (reply.id != sent_) {
        return;
    }
    sent_ = SubRequestId{};
    const Duration took = std::chrono::duration_cast<Duration>(context_.runtime.now() - sentAt_);
    context_.tactics.onAttemptFinished(tried_.back(), rule_.rank, reply.code, took);
    if (reply.code == Errc::Ok) {
        outcome_ = reply.outcome;
        return raise("ran");
    }
    failure_ = failureOf(reply);
    mayHaveRun_ = mayHaveRun_ || reply.verdict != Verdict::NotRun;
    const bool repeatable = !declaration_.unrepeatable || reply.verdict == Verdict::NotRun;
    raise(repeatable ? "retry" : "unknown");
}

void CommandRun::complete(Result<CommandResult> result)
{
    if (result) {
        ++(result->replayed ? context_.counters.replayed : context_.counters.ran);
    } else {
        ++(result.error().verdict == Verdict::NotRun ? context_.counters.notRun : context_.counters.mayHaveRun);
    }
    std::exchange(done_, nullptr)(std::move(result));
}

void CommandRun::record(Verdict verdict)
{
    if (declaration_.unrepeatable) {
        context_.claims.record(ClaimOutcome{request_.command, request_.key, nonce_, verdict, verdict == Verdict::Ran ? outcome_ : std::string()});
    }
}

void CommandRun::answerOutcome()
{
    record(Verdict::Ran);
    complete(CommandResult{outcome_, false});
}

void CommandRun::answerRecorded()
{
    complete(CommandResult{outcome_, true});
}

void CommandRun::answerRefused()
{
    // A claim request without a definite answer may still have created a claim.
    if (failure_.code == Errc::Unavailable) {
        record(Verdict::NotRun);
    }
    complete(tl::make_unexpected(failure_));
}

void CommandRun::abandonClaim()
{
    record(Verdict::NotRun);
    complete(notRun(Errc::DeadlineExceeded, "the deadline passed before the key was claimed; send it again with the same key"));
}

void CommandRun::answerNotRun()
{
    if (mayHaveRun_) {
        return answerUnknown();
    }
    record(Verdict::NotRun);
    complete(tl::make_unexpected(failure_));
}

void CommandRun::answerUnknown()
{
    if (chart_.isIn("overdue")) {
        failure_ = Failure{Errc::DeadlineExceeded, Verdict::MayHaveRun, "no outcome came before the deadline", Duration{0}};
    }
    failure_.verdict = Verdict::MayHaveRun;
    complete(tl::make_unexpected(failure_));
}

void CommandRun::recordOutcome()
{
    ++context_.counters.lateOutcomes;
    record(Verdict::Ran);
}

void CommandRun::recordNotRun()
{
    if (!mayHaveRun_) {
        record(Verdict::NotRun);
    }
}

} // namespace Burdock
