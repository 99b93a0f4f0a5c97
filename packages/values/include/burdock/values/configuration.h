#pragma once

#include <burdock/values/names.h>
#include <burdock/values/rank.h>
#include <burdock/values/runtime.h>
#include <burdock/values/shardmap.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace Burdock
{

/// The declaration of one service team for one caller and one index or command.
struct CallerRule
{
    CallerId caller;
    Rank rank = Rank::Batch;
    /// The maximum time that the caller waits.
    Duration longestWait{0};
    /// The minimum usable coverage, from 0 to 1.
    double leastCoverage = 1.0;
    /// Whether an incomplete answer with at least leastCoverage is returned at the deadline.
    bool partialAllowed = false;
    /// The caller's weight among the callers of its rank.
    std::uint32_t share = 1;

    auto fields() const
    {
        return std::tie(caller, rank, longestWait, leastCoverage, partialAllowed, share);
    }
};

/// The declaration of one kind of backend server, made by the operators.
struct FleetDeclaration
{
    FleetName name;
    /// The number of requests that one server processes concurrently.
    std::uint32_t slots = 1;
    /// The number of connections that one server accepts, from all clients together.
    std::uint32_t connections = 1;
    /// The time that a new connection takes to set up.
    Duration connectionCost{0};
    /// The fraction of the slots reserved for each rank while it has work, from 0 to 1; the sum is at most 1.
    PerRank<double> rankFloors{};

    auto fields() const
    {
        return std::tie(name, slots, connections, connectionCost, rankFloors);
    }
};

/// The declaration of one index.
struct IndexDeclaration
{
    IndexName name;
    FleetName fleet;
    ShardMap map;
    std::map<CallerId, CallerRule> callers;

    auto fields() const
    {
        return std::tie(name, fleet, map, callers);
    }
};

/// The declaration of one command.
struct CommandDeclaration
{
    CommandName name;
    FleetName fleet;
    std::vector<ServerId> servers;
    /// Whether the command must run at most once per idempotency key.
    bool unrepeatable = true;
    /// How long an idempotency key is remembered.
    Duration claimWindow{0};
    std::map<CallerId, CallerRule> callers;

    auto fields() const
    {
        return std::tie(name, fleet, servers, unrepeatable, claimWindow, callers);
    }
};

/// All validated declarations of one version. Shared as `shared_ptr<const Configuration>`.
struct Configuration
{
    /// Increases with every accepted publish; 0 means that there is no configuration.
    std::uint64_t version = 0;
    /// The XXH3 hash of the declaration files, in hexadecimal.
    std::string hash;
    std::map<FleetName, FleetDeclaration> fleets;
    std::map<IndexName, IndexDeclaration> indexes;
    std::map<CommandName, CommandDeclaration> commands;

    auto fields() const
    {
        return std::tie(version, hash, fleets, indexes, commands);
    }
};

/// Returns the maximum longestWait of all callers in the configuration.
Duration longestWait(const Configuration &configuration);

/// A shared, immutable configuration.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace Burdock
