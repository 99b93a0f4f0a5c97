#pragma once

#include <burdock/routing/requesttrial.h>
#include <burdock/routing/routingcontext.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Burdock
{

/// The result of a call to a service.
struct CallOutcome
{
    Result<ServerReply> reply;
    /// True if it is certain that no attempt has run.
    bool nothingRan = true;
    std::uint32_t sends = 0;
};

/// Gets one answer from one service: chooses servers, hedges and retries within the route's attempts and the repeat budget.
///
/// A request that is not repeatable is retried only if the previous attempt certainly did not run, and is never hedged.
class ServiceCall
{
public:
    using Done = std::function<void(const CallOutcome &)>;

    ServiceCall(RoutingContext &context,
                std::shared_ptr<const Route> route,
                const ServiceName &service,
                std::shared_ptr<const ClientRequest> request,
                std::shared_ptr<RequestTrial> trial,
                TimePoint deadline,
                TimePoint targetTime);
    ~ServiceCall();
    ServiceCall(const ServiceCall &) = delete;
    ServiceCall &operator=(const ServiceCall &) = delete;

    /// Sends the first attempt. `done` is called once, possibly from within this call, unless the call is stopped first.
    void start(Done done);

    /// Whether a server of the service can take the request now.
    bool canStart() const;

    /// Returns the failure with which the call ends if no server can take the request, and records the refusal.
    Failure refuse() const;

    /// Stops the call: sends no more attempts and does not call `done`. Attempts in flight may finish and are measured.
    void stop();

    /// Sends no more attempts; those in flight may still be answered.
    void stopSending();

    /// Returns the number of attempts that ran or may have run, without those that were sent after a time since which no server has
    /// responded: they did not arrive while the instance is cut off.
    std::uint32_t attemptsUsed(TimePoint lastResponse) const;

    bool started() const
    {
        return started_;
    }

    /// Whether passing the request on costs a repeat at the service: an attempt may have arrived there, and none that was charged to the
    /// repeat budget was sent since the last response of any server.
    bool needsRepeat(TimePoint lastResponse) const;

    const ServiceName &service() const
    {
        return service_;
    }

    bool finished() const
    {
        return !done_;
    }

    std::size_t inFlight() const
    {
        return attempts_.size();
    }

private:
    Failure refuseForPlace(const std::string &reason) const;
    struct Attempt
    {
        BackendRequestId id = 0;
        ServerHandle server;
        TimePoint sentAt;
        bool hedge = false;
        ServerReach::AttemptId reachId = 0;
    };

    /// Sends the first attempt, or ends the call if no server can take it.
    void sendFirst();
    /// Continues once the trial allows another attempt.
    void resume();
    ChosenServer chooseServer(TimePoint now) const;
    /// Returns the server that is expected to answer first, of those without attempts of this call.
    ChosenServer chooseUntried(TimePoint now) const;
    const RequestCost *cost() const
    {
        return cost_ ? &*cost_ : nullptr;
    }
    bool sendAttempt(const char *kind, const std::string &reason);
    void scheduleHedge(const ChosenServer &chosen);
    void sendHedge();
    void onAttemptFinished(std::uint64_t number, Result<ServerReply> reply);
    void handleReply(Result<ServerReply> reply);
    void recordOutcome(const Attempt &attempt, const Result<ServerReply> &reply);
    bool isSuccess(const Result<ServerReply> &reply) const;
    /// Whether another attempt is allowed and a server can take it; the repeat budget may still deny it.
    bool canRetry() const;
    bool tryRetry(const std::string &reason);
    bool mayRunAgain() const;
    std::string reasonOf(const Result<ServerReply> &reply) const;
    /// Whether the attempt ended as it does when the server crashes.
    bool isCrash(const Attempt &attempt, const Result<ServerReply> &reply) const;
    RequestTrial::Outcome outcomeOf(const Attempt &attempt, const Result<ServerReply> &reply) const;
    void finish(Result<ServerReply> reply);

    RoutingContext &context_;
    const std::shared_ptr<const Route> route_;
    const ServiceName service_;
    const std::shared_ptr<const ClientRequest> request_;
    const std::shared_ptr<RequestTrial> trial_;
    const TimePoint deadline_;
    /// The time by which an answer has its full value.
    const TimePoint targetTime_;
    /// Set if the request is placed by cost.
    const std::optional<RequestCost> cost_;
    Done done_;
    std::map<std::uint64_t, Attempt> attempts_;
    std::vector<ServerId> tried_;
    std::uint32_t sends_ = 0;
    /// The number of attempts that certainly did not arrive at a server.
    std::uint32_t notArrived_ = 0;
    /// The number of attempts that ran or may have run, including those in flight, and when they were sent.
    std::uint32_t possiblyRan_ = 0;
    std::vector<TimePoint> possiblyRanSentAt_;
    TimePoint firstSentAt_{};
    TimePoint lastSentAt_{};
    bool started_ = false;
    bool sendingStopped_ = false;
    TimerId hedgeTimer_ = 0;
    /// The outcome of the last attempt while the call waits to send another one.
    std::optional<Result<ServerReply>> lastReply_;
};

} // namespace Burdock
