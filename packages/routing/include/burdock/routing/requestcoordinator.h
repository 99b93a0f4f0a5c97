#pragma once

#include <burdock/routing/clientage.h>
#include <burdock/routing/requestrun.h>
#include <burdock/routing/routetable.h>
#include <burdock/routing/weightedsplit.h>

#include <random>
#include <unordered_map>

namespace Burdock
{

/// Identifies a request that is being served; never zero.
using ServedRequestId = std::uint64_t;

/// Accepts client requests, finds their routes and owns their runs until nothing of them is in flight.
class RequestCoordinator
{
public:
    /// Called with the answer and the route; the route is null if none matched.
    using AnswerCallback = std::function<void(const Route *, ClientAnswer)>;

    RequestCoordinator(RoutingContext &context, std::uint64_t seed);
    ~RequestCoordinator();
    RequestCoordinator(const RequestCoordinator &) = delete;
    RequestCoordinator &operator=(const RequestCoordinator &) = delete;

    /// Sets the routes of new requests; requests in progress keep their routes.
    void setRoutes(std::shared_ptr<const RouteTable> routes);

    /// Serves the request. `onAnswer` is called once, possibly from within this call, unless the client disconnects first.
    ServedRequestId serve(ClientRequest request, AnswerCallback onAnswer);

    /// Cancels the request's attempts in flight, since the client has disconnected.
    void onClientDisconnected(ServedRequestId id);

    /// Answers all requests that have no answer with a failure, and cancels what is in flight for them.
    void failAll(const std::string &reason);

    /// Returns the number of requests without an answer.
    std::size_t pendingRequests() const;

private:
    struct Entry
    {
        std::unique_ptr<RequestRun> run;
        std::shared_ptr<const Route> route;
        AnswerCallback onAnswer;
        TimerId removal = 0;
        bool answered = false;
    };

    void finish(ServedRequestId id);
    /// Destroys an answered request's run in the next iteration of the loop, since it may still be on the stack.
    void removeSoon(ServedRequestId id);
    /// Gives the request its answer.
    void answer(ServedRequestId id, ClientAnswer answer);
    std::unique_ptr<RequestRun> makeRun(const RunTerms &terms);
    Duration retryAfter(const Route &route);
    /// Extends the span by up to half at random, so that clients do not all retry at once.
    Duration addJitter(Duration span);

    RoutingContext &context_;
    std::mt19937_64 random_;
    const TimePoint started_;
    std::shared_ptr<const RouteTable> routes_;
    WeightedSplit split_;
    ClientAge clientAge_;
    ServedRequestId lastId_ = 0;
    std::size_t pending_ = 0;
    std::unordered_map<ServedRequestId, Entry> entries_;
};

} // namespace Burdock
