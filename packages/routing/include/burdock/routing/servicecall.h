#pragma once

#include <burdock/routing/routingcontext.h>

#include <functional>
#include <memory>
#include <vector>

namespace Burdock
{

/// How a call of a service ended.
struct CallOutcome
{
    Result<ServerReply> reply;
    /// True where every attempt is known not to have run.
    bool nothingRan = true;
    std::uint32_t sends = 0;
};

/// Gets one answer from one service: chooses servers, hedges and retries within the route's attempts and the repeat budget.
///
/// A request that may not be repeated is sent again only where the attempt before certainly did not run, and never hedged.
class ServiceCall
{
public:
    using Done = std::function<void(const CallOutcome &)>;

    ServiceCall(RoutingContext &context,
                std::shared_ptr<const Route> route,
                const ServiceName &service,
                std::shared_ptr<const ClientRequest> request,
                TimePoint deadline,
                TimePoint targetTime);
    ~ServiceCall();
    ServiceCall(const ServiceCall &) = delete;
    ServiceCall &operator=(const ServiceCall &) = delete;

    /// Sends the first attempt. `done` is called once, unless the call is stopped first; it may be called from within.
    void start(Done done);

    /// No more attempts; those under way may end and are measured, but `done` is not called any more.
    void stop();

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
    struct Attempt
    {
        BackendRequestId id = 0;
        ServerHandle server;
        TimePoint sentAt;
        bool hedge = false;
    };

    bool sendAttempt(const char *kind, const std::string &reason);
    void scheduleHedge(const ChosenServer &chosen);
    void sendHedge();
    void onAttemptFinished(std::uint64_t number, Result<ServerReply> reply);
    void recordOutcome(const Attempt &attempt, const Result<ServerReply> &reply);
    bool isSuccess(const Result<ServerReply> &reply) const;
    bool tryRetry(const std::string &reason);
    bool mayRunAgain() const;
    void finish(Result<ServerReply> reply);

    RoutingContext &context_;
    const std::shared_ptr<const Route> route_;
    const ServiceName service_;
    const std::shared_ptr<const ClientRequest> request_;
    const TimePoint deadline_;
    /// When an answer has to be there to be of full use.
    const TimePoint targetTime_;
    Done done_;
    std::map<std::uint64_t, Attempt> attempts_;
    std::vector<ServerId> tried_;
    std::uint32_t sends_ = 0;
    /// Attempts that ran or may have run, those under way included.
    std::uint32_t possiblyRan_ = 0;
    TimerId hedgeTimer_ = 0;
};

} // namespace Burdock
