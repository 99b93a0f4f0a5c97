#pragma once

#include <burdock/routing/routingconfig.h>
#include <burdock/values/runtime.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <tuple>

namespace Burdock
{

/// What tells requests apart by the work that they cost a server.
struct CostKey
{
    std::string route;
    /// The service that gets the request; empty for a route over shards, each of which holds a like part of the index.
    ServiceName service;
    /// The workspace of the request; empty if it has none.
    std::string workspace;
    /// The length of the body in bytes and the number of records asked for, each by its number of binary digits.
    std::uint8_t bodySize = 0;
    std::uint8_t records = 0;

    auto fields() const
    {
        return std::tie(route, service, workspace, bodySize, records);
    }
};

/// The expected cost of a request: the time for which it occupies a slot of a server of usual pace. The network latency and the wait
/// for a slot are not part of it.
struct CostEstimate
{
    Duration work{0};
    /// The number of answers that the estimate rests on, of which older ones count less; zero if it is a guess.
    double weight = 0;
    /// The time since the latest of them.
    Duration age{0};

    auto fields() const
    {
        return std::tie(work, weight, age);
    }
};

/// Learns the cost of requests from the answers of servers.
///
/// Load: requests that look alike and differ in work by a multiple; a tail of single requests that take several times as long; a
/// cost that changes; more routes and workspaces than an instance can keep apart. Each answer counts half as much after
/// `CostEstimates::HalfLife`, and is clamped around the estimate. A request of an unknown kind costs what its route costs, and one of
/// an unknown route a fraction of the route's target time. The least recently used kinds are dropped beyond a fixed number.
class CostEstimates
{
public:
    static constexpr Duration HalfLife = std::chrono::seconds(30);
    static constexpr std::size_t MaxKinds = 1024;

    /// Adds the work of a request that was answered.
    void addSample(const CostKey &key, Duration target, Duration work, TimePoint now);

    /// Returns the expected cost of a request.
    CostEstimate estimate(const CostKey &key, Duration target, TimePoint now) const;

    /// Calls `visit` with the estimate of each route and service over all kinds of requests.
    void forEachRoute(TimePoint now, const std::function<void(const CostKey &, const CostEstimate &)> &visit) const;

    std::size_t kinds() const
    {
        return places_.size();
    }

private:
    struct Kind
    {
        CostKey key;
        /// The sums of the weights, and of the weighted samples in microseconds, as of `at`.
        double weight = 0;
        double microseconds = 0;
        TimePoint at{};
        Duration target{0};
    };

    /// Returns the key of all requests of the route and service.
    static CostKey routeKey(const CostKey &key);
    const Kind *find(const CostKey &key) const;
    Kind &touch(const CostKey &key);
    /// Returns the mean of the kind's samples and the fallback, in microseconds.
    static double blended(const Kind *kind, double fallback, TimePoint now);
    static void add(Kind &kind, double estimate, Duration work, TimePoint now);

    /// The most recently used kind first.
    std::list<Kind> kinds_;
    std::map<CostKey, std::list<Kind>::iterator> places_;
};

} // namespace Burdock
