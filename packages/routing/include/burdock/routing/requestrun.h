#pragma once

#include <burdock/routing/clientanswer.h>
#include <burdock/routing/servicecall.h>

#include <functional>
#include <memory>

namespace Burdock
{

/// One client request on its way to an answer. Destroying it gives up what is under way.
class RequestRun
{
public:
    using Done = std::function<void(ClientAnswer)>;

    virtual ~RequestRun() = default;

    /// Starts; `done` is called once, possibly from within.
    virtual void start(Done done) = 0;

    /// How many requests to servers are still under way.
    virtual std::size_t inFlight() const = 0;
};

/// What a run needs to know of its request.
struct RunTerms
{
    std::shared_ptr<const Route> route;
    std::shared_ptr<const ClientRequest> request;
    /// The answer is given up then.
    TimePoint deadline;
    /// What a refusal tells the client to wait.
    Duration retryAfter{0};
};

/// A run that passes the request on to one service and the answer back as it is.
std::unique_ptr<RequestRun> makeForwardRun(RoutingContext &context, const RunTerms &terms, const ServiceName &service);

/// A run that asks every shard of the route and merges what they answer.
std::unique_ptr<RequestRun> makeGatherRun(RoutingContext &context, const RunTerms &terms);

} // namespace Burdock
