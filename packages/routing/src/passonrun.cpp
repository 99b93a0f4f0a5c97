#include <burdock/routing/passonrun.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Burdock
{

namespace
{

constexpr std::size_t MaxPeersAsked = 3;
/// The minimum time before the deadline for passing a request on; with less, it cannot be answered in time.
constexpr Duration MinTimeLeft = std::chrono::milliseconds(10);

PeerChoice::Ending endingOf(ClientAnswer::Inability inability)
{
    constexpr std::array<PeerChoice::Ending, 4> Endings{
        PeerChoice::Ending::Answered, PeerChoice::Ending::NoRoom, PeerChoice::Ending::Unable, PeerChoice::Ending::NoRoom};
    return Endings.at(static_cast<std::size_t>(inability));
}

/// Returns the services to which the request may be sent.
std::vector<ServiceName> servicesOf(const Route &route, const ServiceName &chosen)
{
    if (!chosen.empty()) {
        return {chosen};
    }
    std::vector<ServiceName> services = route.shards;
    for (const WeightedService &part : route.services) {
        services.push_back(part.service);
    }
    return services;
}

} // namespace

PassOnRun::PassOnRun(RoutingContext &context, const RunTerms &terms, PassOnTerms passOn, std::string reason)
    : context_(context)
    , terms_(terms)
    , passOn_(std::move(passOn))
    , reason_(std::move(reason))
{
}

PassOnRun::~PassOnRun()
{
    cancel();
}

void PassOnRun::start(Done done)
{
    done_ = std::move(done);
    askNext();
}

void PassOnRun::cancel()
{
    done_ = nullptr;
    if (request_ == 0) {
        return;
    }
    context_.peers.cancel(std::exchange(request_, 0));
    context_.peerChoice.onEnded(peer_.id, PeerChoice::Ending::Cancelled, context_.runtime.now());
    note("cancelled", {});
}

void PassOnRun::askNext()
{
    const TimePoint now = context_.runtime.now();
    const bool timeLeft = terms_.deadline - now > MinTimeLeft;
    const auto peer = timeLeft && tried_.size() < MaxPeersAsked ? context_.peerChoice.choose(*terms_.route, tried_, now) : std::nullopt;
    if (!peer) {
        const std::string reason = "no server can be reached, and no other instance can help" + (lastReason_.empty() ? std::string() : ": " + lastReason_);
        return finish(failureAnswer(Failure{Errc::Unavailable, Verdict::NotRun, reason, Duration{0}}, nothingRan_, !timeLeft, terms_.retryAfter));
    }
    peer_ = *peer;
    tried_.push_back(peer_.id);
    sentAt_ = now;
    PassOnTerms passOn = passOn_;
    // A repeatable request keeps an attempt for the case that the peer is lost, if that leaves the peer more than one.
    granted_ = terms_.route->repeatable && passOn_.attempts > 2 ? passOn_.attempts - 1 : passOn_.attempts;
    passOn.attempts = granted_;
    passOn.clientAge = terms_.clientAge + (now - terms_.request->arrived);
    context_.peerChoice.onSent(peer_.id, now);
    ++context_.counters.passedOn;
    request_ = context_.peers.send(peer_, terms_.request, passOn, terms_.deadline, [this](Result<PeerReply> reply) { onReply(std::move(reply)); });
}

void PassOnRun::onReply(Result<PeerReply> reply)
{
    request_ = 0;
    const TimePoint now = context_.runtime.now();
    if (!reply) {
        const Failure &failure = reply.error();
        const bool expired = failure.code == Errc::DeadlineExceeded;
        // The request cannot be sent to any instance, which says nothing about this one.
        const bool malformed = failure.code == Errc::BadRequest;
        context_.peerChoice.onEnded(peer_.id, expired || malformed ? PeerChoice::Ending::Cancelled : PeerChoice::Ending::Lost, now);
        ++context_.counters.passedOnFailed;
        note(expired ? "late" : "lost", failure.message);
        lastReason_ = failure.message;
        const bool reached = failure.verdict != Verdict::NotRun;
        nothingRan_ = nothingRan_ && !reached;
        if (expired || malformed || (reached && !mayAskAgain(granted_))) {
            return finish(failureAnswer(failure, nothingRan_, now >= terms_.deadline, terms_.retryAfter));
        }
        return askNext();
    }
    ClientAnswer &answer = reply->answer;
    const bool unable = answer.inability != ClientAnswer::Inability::None;
    context_.peerChoice.onEnded(peer_.id, endingOf(answer.inability), now);
    if (reply->configVersion > passOn_.configVersion) {
        passOn_.configVersion = reply->configVersion;
        context_.peers.fetchConfig(peer_);
    }
    if (answer.succeeded()) {
        note(answer.kind == ClientAnswer::Kind::Passed ? "passed" : "gathered", {});
        return finish(std::move(answer));
    }
    ++context_.counters.passedOnFailed;
    note(unable ? "unable" : answer.kind == ClientAnswer::Kind::Refused ? "refused" : "failed", answer.reason);
    lastReason_ = answer.reason;
    const bool ran = answer.kind == ClientAnswer::Kind::Failed;
    nothingRan_ = nothingRan_ && !ran;
    // A peer that had no room for the request has counted it.
    passOn_.counted = passOn_.counted || answer.inability == ClientAnswer::Inability::Request;
    if (unable && (!ran || mayAskAgain(answer.attempts))) {
        return askNext();
    }
    if (!nothingRan_ && !ran) {
        // An earlier peer may have run it.
        answer = failureAnswer(Failure{Errc::Unavailable, Verdict::MayHaveRun, answer.reason, Duration{0}}, false, false, terms_.retryAfter);
    }
    finish(std::move(answer));
}

bool PassOnRun::mayAskAgain(std::uint32_t attemptsUsed)
{
    passOn_.attempts -= std::min(passOn_.attempts, attemptsUsed);
    if (!terms_.route->repeatable || passOn_.attempts == 0 || tried_.size() >= MaxPeersAsked) {
        return false;
    }
    if (attemptsUsed == 0) {
        return true;
    }
    passOn_.counted = true;
    return context_.budget.tryAcquireAll(servicesOf(*terms_.route, passOn_.service), context_.runtime.now());
}

void PassOnRun::note(std::string_view outcome, const std::string &detail)
{
    const TimePoint now = context_.runtime.now();
    context_.journal.notePassedOn({terms_.request->id, peer_.id, reason_, outcome, detail, now - sentAt_, now - terms_.request->arrived});
}

void PassOnRun::finish(ClientAnswer answer)
{
    std::exchange(done_, nullptr)(std::move(answer));
}

} // namespace Burdock
