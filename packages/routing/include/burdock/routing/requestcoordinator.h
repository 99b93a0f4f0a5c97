#pragma once

#include <burdock/routing/requestrun.h>
#include <burdock/routing/routetable.h>
#include <burdock/routing/weightedsplit.h>

#include <random>
#include <unordered_map>

namespace Burdock
{

/// Names a request that is being served; never zero.
using ServedRequestId = std::uint64_t;

/// Takes clients' requests, finds their routes and keeps their runs until nothing of them is under way.
class RequestCoordinator
{
public:
    /// Gets the answer together with the route, which is null where none was found.
    using AnswerCallback = std::function<void(const Route *, ClientAnswer)>;

    RequestCoordinator(RoutingContext &context, std::uint64_t seed);
    ~RequestCoordinator();
    RequestCoordinator(const RequestCoordinator &) = delete;
    RequestCoordinator &operator=(const RequestCoordinator &) = delete;

    /// Requests from now on follow these routes; earlier ones go on as they began.
    void setRoutes(std::shared_ptr<const RouteTable> routes);

    /// Serves the request; `answered` is called once, possibly from within, unless the client leaves first.
    ServedRequestId serve(ClientRequest request, AnswerCallback onAnswer);

    /// The client has left: what is under way is given up.
    void onClientDisconnected(ServedRequestId id);

    /// How many requests wait for their answer.
    std::size_t pendingRequests() const;

private:
    struct Entry
    {
        std::unique_ptr<RequestRun> run;
        TimerId removal = 0;
        bool answered = false;
    };

    void finish(ServedRequestId id);
    std::unique_ptr<RequestRun> makeRun(const RunTerms &terms);
    Duration retryAfter(const Route &route);
    /// The span, or up to half as much again, so that clients do not all come back at once.
    Duration addJitter(Duration span);

    RoutingContext &context_;
    std::mt19937_64 random_;
    const TimePoint started_;
    std::shared_ptr<const RouteTable> routes_;
    WeightedSplit split_;
    ServedRequestId lastId_ = 0;
    std::size_t pending_ = 0;
    std::unordered_map<ServedRequestId, Entry> entries_;
};

} // namespace Burdock
