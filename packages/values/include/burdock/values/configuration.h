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

/// What one service team declares for one caller and one index or command.
struct CallerRule
{
    CallerId caller;
    Rank rank = Rank::Batch;
    /// How long the caller waits at most.
    Duration longestWait{0};
    /// The least coverage that serves, from 0 to 1.
    double leastCoverage = 1.0;
    /// Whether an answer below full coverage, but of at least leastCoverage, is given at the deadline.
    bool partialAllowed = false;
    /// The caller's weight among the callers of its rank.
    std::uint32_t share = 1;

    auto fields() const
    {
        return std::tie(caller, rank, longestWait, leastCoverage, partialAllowed, share);
    }
};

/// What operators declare for one kind of backend server.
struct FleetDeclaration
{
    FleetName name;
    /// How many requests one server works on at a time.
    std::uint32_t slots = 1;
    /// How many connections one server accepts, from everybody together.
    std::uint32_t connections = 1;
    /// What a new connection costs.
    Duration connectionCost{0};
    /// The part of the slots that each rank keeps while it has work, from 0 to 1; their sum is at most 1.
    PerRank<double> rankFloors{};

    auto fields() const
    {
        return std::tie(name, slots, connections, connectionCost, rankFloors);
    }
};

/// What is declared for one index.
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

/// What is declared for one command.
struct CommandDeclaration
{
    CommandName name;
    FleetName fleet;
    std::vector<ServerId> servers;
    /// Whether the command must run at most once per idempotency key.
    bool unrepeatable = true;
    /// How long a key is remembered.
    Duration claimWindow{0};
    std::map<CallerId, CallerRule> callers;

    auto fields() const
    {
        return std::tie(name, fleet, servers, unrepeatable, claimWindow, callers);
    }
};

/// All declarations of one version, collected and checked. Shared as `shared_ptr<const Configuration>`.
struct Configuration
{
    /// Rises with every accepted publish; 0 means none.
    std::uint64_t version = 0;
    /// XXH3 of the collected files, in hexadecimal.
    std::string hash;
    std::map<FleetName, FleetDeclaration> fleets;
    std::map<IndexName, IndexDeclaration> indexes;
    std::map<CommandName, CommandDeclaration> commands;

    auto fields() const
    {
        return std::tie(version, hash, fleets, indexes, commands);
    }
};

/// The longest time that any caller may wait by the configuration.
Duration longestWait(const Configuration &configuration);

/// A configuration that nobody can change any more.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace Burdock
