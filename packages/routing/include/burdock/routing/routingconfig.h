#pragma once

#include <burdock/values/comparison.h>
#include <burdock/values/names.h>
#include <burdock/values/runtime.h>

#include <cstdint>
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

    auto fields() const
    {
        return std::tie(name, host, prefix, repeatable, timeout, target, priority, attempts, services, shards, resultLimit, minShare);
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

    auto fields() const
    {
        return std::tie(name, connections, healthPath);
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

    auto fields() const
    {
        return std::tie(version, routes, services, limits);
    }
};

} // namespace Burdock
