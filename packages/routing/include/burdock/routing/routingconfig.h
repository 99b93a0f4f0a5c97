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

/// What requests under one host and path prefix are owed.
///
/// Either `shards` is set, and a request asks one server of each of them, or `services` is, and it goes to one server of
/// one of these.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// Whether a request may run more than once.
    bool repeatable = false;
    /// The longest time that a request is kept waiting.
    Duration timeout{0};
    /// The time within which an answer is of full use.
    Duration target{0};
    /// 0 is the most urgent.
    std::int64_t priority = 0;
    /// To how many servers one request may be sent; for each shard by itself.
    std::uint32_t attempts = 1;
    std::vector<WeightedService> services;
    std::vector<ServiceName> shards;
    /// How many records a gathered answer has at most.
    std::uint32_t resultLimit = 0;
    /// The share of shards, 0 to 1, below which a gathered answer is a failure.
    double minShare = 1;

    auto fields() const
    {
        return std::tie(name, host, prefix, repeatable, timeout, target, priority, attempts, services, shards, resultLimit, minShare);
    }
};

/// How the servers of a service are reached.
struct RoutedService
{
    ServiceName name;
    /// How many connections one server accepts from all instances together.
    std::uint32_t connections = 0;

    auto fields() const
    {
        return std::tie(name, connections);
    }
};

/// What clients may send, and how long they may take.
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

/// One version of the routes; never changed once shared.
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
