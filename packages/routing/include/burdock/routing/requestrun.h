#pragma once

#include <burdock/routing/clientanswer.h>
#include <burdock/routing/requesttrial.h>
#include <burdock/routing/servicecall.h>

#include <functional>
#include <memory>
#include <vector>

namespace Burdock
{

/// What a run has done at the servers.
struct RunProgress
{
    /// The maximum number of attempts per service that ran or may have run.
    std::uint32_t attempts = 0;
    /// Whether the request has been counted in the repeat budget.
    bool counted = false;
    /// The services at which passing the request on costs a repeat.
    std::vector<ServiceName> repeats;
    /// The service of a weighted split; empty for a route over shards.
    ServiceName service;

    /// Adds the progress of a call.
    void add(const ServiceCall &call, TimePoint lastResponse);
};

/// Processes one client request. The destructor cancels attempts in flight.
class RequestRun
{
public:
    using Done = std::function<void(ClientAnswer)>;

    virtual ~RequestRun() = default;

    /// Starts the run; `done` is called once, possibly from within this call.
    virtual void start(Done done) = 0;

    /// Returns the number of requests in flight at servers.
    virtual std::size_t inFlight() const = 0;

    /// Sends no more attempts; those in flight may still be answered.
    virtual void stopSending() = 0;

    /// Returns what the run has done so far; see ServiceCall::attemptsUsed.
    virtual RunProgress progress(TimePoint lastResponse = TimePoint::max()) const = 0;
};

/// The parameters of a run.
struct RunTerms
{
    std::shared_ptr<const Route> route;
    std::shared_ptr<const ClientRequest> request;
    /// The run fails at this time.
    TimePoint deadline;
    /// The retry delay that a refusal suggests to the client.
    Duration retryAfter{0};
    /// The request's history with servers that crashed.
    std::shared_ptr<RequestTrial> trial;
    /// How long the client had already waited when the request arrived.
    Duration clientAge{0};
};

/// Creates a run that forwards the request to one service and returns its response unchanged.
std::unique_ptr<RequestRun> makeForwardRun(RoutingContext &context, const RunTerms &terms, const ServiceName &service);

/// Creates a run that sends the request to every shard of the route and merges the responses.
std::unique_ptr<RequestRun> makeGatherRun(RoutingContext &context, const RunTerms &terms);

} // namespace Burdock
