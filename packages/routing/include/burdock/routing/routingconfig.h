#pragma once

#include <burdock/values/comparison.h>
#include <burdock/values/names.h>
#include <burdock/values/runtime.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Burdock
{

/// A group of interchangeable backend servers.
using ServiceName = Name<struct ServiceTag>;

/// One service of a weighted split.
struct WeightedService
{
    ServiceName service;
    double weight = 1;

    auto fields() const
    {
        return std::tie(service, weight);
    }
};

/// A rate over all instances together: a bucket that holds `burst` tokens and gains `perSecond` of them each second.
struct RateTerms
{
    /// Zero means that there is no limit.
    double perSecond = 0;
    double burst = 0;

    bool isLimited() const
    {
        return perSecond > 0;
    }

    auto fields() const
    {
        return std::tie(perSecond, burst);
    }
};

/// A group of callers who identify themselves by a key.
struct Workspace
{
    std::string name;
    /// The keys in force; any of them identifies the workspace. They are secrets: never logged or sent on.
    std::vector<std::string> keys;
    /// Goes before the priority of the route; unset if the route's holds.
    std::optional<std::int64_t> priority;
    /// The requests that all instances together send to servers for it.
    RateTerms rate;
    /// The regions in which its requests may be served; empty if they may be served anywhere.
    std::vector<Region> regions;

    auto fields() const
    {
        return std::tie(name, keys, priority, rate, regions);
    }
};

/// How requests under one host and path prefix are routed.
///
/// If `shards` is set, a request is sent to one server of each shard. Otherwise `services` is set, and the request is sent to one
/// server of one of these services.
struct Route
{
    std::string name;
    std::string host;
    /// The path prefix, with a leading and a trailing slash.
    std::string prefix;
    /// Whether a request may run more than once.
    bool repeatable = false;
    /// The time after which a request fails.
    Duration timeout{0};
    /// The target time: an answer within it has its full value.
    Duration target{0};
    /// 0 is the most urgent.
    std::int64_t priority = 0;
    /// The maximum number of servers that one request is sent to, per shard.
    std::uint32_t attempts = 1;
    std::vector<WeightedService> services;
    std::vector<ServiceName> shards;
    /// The maximum number of records in a gathered answer.
    std::uint32_t resultLimit = 0;
    /// The minimum share of shards, 0 to 1, that a gathered answer needs to succeed.
    double minShare = 1;
    /// Whether requests need no key.
    bool open = false;
    /// The regions in which requests may be served; empty if they may be served anywhere.
    std::vector<Region> regions{};

    /// Whether requests may be served in the region.
    bool isServedIn(const Region &region) const
    {
        return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
    }

    auto fields() const
    {
        return std::tie(name, host, prefix, repeatable, timeout, target, priority, attempts, services, shards, resultLimit, minShare, open, regions);
    }
};

/// Connection settings of a service.
struct RoutedService
{
    ServiceName name;
    /// The number of connections that one server accepts from all instances together; zero selects a default.
    std::uint32_t connections = 0;
    /// The path at which a server responds without work; empty if there is none.
    std::string healthPath{};
    /// The requests per second that a server takes from all instances together while it is cold; zero if any number.
    double coldRate = 0;
    /// How long a server is cold after its start.
    Duration coldTime{0};

    auto fields() const
    {
        return std::tie(name, connections, healthPath, coldRate, coldTime);
    }
};

/// Size and time limits of client connections.
struct ClientLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 1048576;
    Duration headerTime = std::chrono::seconds(10);
    Duration idleTime = std::chrono::seconds(60);

    auto fields() const
    {
        return std::tie(headerBytes, bodyBytes, headerTime, idleTime);
    }
};

/// One version of the routing configuration; immutable once shared.
struct RoutingConfig
{
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    ClientLimits limits;
    /// Whether requests need the key of a workspace, unless their route is open.
    bool needsKeys = false;
    std::vector<Workspace> workspaces{};

    auto fields() const
    {
        return std::tie(version, routes, services, limits, needsKeys, workspaces);
    }
};

} // namespace Burdock
