#pragma once

#include <burdock/routing/requestrun.h>
#include <burdock/routing/routetable.h>
#include <burdock/routing/weightedsplit.h>

#include <random>
#include <unordered_map>

namespace Burdock
{

/// Names a request that is being served; never zero.
using DeskId = std::uint64_t;

/// Takes clients' requests, finds their routes and keeps their runs until nothing of them is under way.
class RequestDesk
{
public:
    /// Gets the answer together with the route, which is null where none was found.
    using Answered = std::function<void(const Route *, ClientAnswer)>;

    RequestDesk(RoutingContext &context, std::uint64_t seed);
    ~RequestDesk();
    RequestDesk(const RequestDesk &) = delete;
    RequestDesk &operator=(const RequestDesk &) = delete;

    /// Requests from now on follow these routes; earlier ones go on as they began.
    void setRoutes(std::shared_ptr<const RouteTable> routes);

    /// Serves the request; `answered` is called once, possibly from within, unless the client leaves first.
    DeskId serve(ClientRequest request, Answered answered);

    /// The client has left: what is under way is given up.
    void clientGone(DeskId id);

    /// How many requests wait for their answer.
    std::size_t waiting() const;

private:
    struct Entry
    {
        std::unique_ptr<RequestRun> run;
        TimerId removal = 0;
        bool answered = false;
    };

    void finish(DeskId id);
    std::unique_ptr<RequestRun> makeRun(const RunTerms &terms);
    Duration retryAfter(const Route &route);
    /// The span, or up to half as much again, so that clients do not all come back at once.
    Duration spread(Duration span);

    RoutingContext &context_;
    std::mt19937_64 random_;
    const TimePoint started_;
    std::shared_ptr<const RouteTable> routes_;
    WeightedSplit split_;
    DeskId last_ = 0;
    std::size_t waiting_ = 0;
    std::unordered_map<DeskId, Entry> entries_;
};

} // namespace Burdock
