#pragma once

#include "fakeshards.h"

#include <burdock/policy/querycoordinator.h>

#include <catch2/catch.hpp>

namespace Burdock
{

constexpr std::size_t FixtureDocuments = 400;

/// A query coordinator over fake shards, with one index and one caller.
class QueryFixture
{
public:
    explicit QueryFixture(std::size_t shardCount = 4, std::size_t replicaCount = 2)
        : shards(runtime, FixtureDocuments)
        , coordinator(
              QueryContext{runtime, shards, tactics, tracker, ids, counters, QueryLimits{}}, [this] { return configuration; }, admission)
    {
        rule.caller = CallerId("technician");
        rule.rank = Rank::Urgent;
        rule.longestWait = std::chrono::milliseconds(200);
        repartition(1, shardCount, replicaCount);
    }

    /// Installs another shard map; each server uses it only once the test sets its mapGeneration.
    void repartition(std::uint64_t generation, std::size_t shardCount, std::size_t replicaCount)
    {
        ShardMap map{generation, {}};
        for (std::size_t position = 0; position < shardCount; ++position) {
            const KeyRange range{KeySpace * position / shardCount, KeySpace * (position + 1) / shardCount};
            Shard shard{ShardId("g" + std::to_string(generation) + "s" + std::to_string(position)), range, {}};
            for (std::size_t replica = 0; replica < replicaCount; ++replica) {
                const std::string name = "s" + std::to_string(position) + "r" + std::to_string(replica);
                shard.replicas.emplace_back(name);
                shards.server(name);
            }
            map.shards.push_back(shard);
        }
        maps[generation] = map;
        auto next = std::make_shared<Configuration>();
        next->version = generation;
        next->indexes[IndexName("parts")] = IndexDeclaration{IndexName("parts"), FleetName("desk"), map, {{rule.caller, rule}}};
        configuration = next;
    }

    /// Installs a configuration with the current `rule`.
    void redeclareRule()
    {
        auto next = std::make_shared<Configuration>(*configuration);
        next->indexes[IndexName("parts")].callers[rule.caller] = rule;
        configuration = next;
    }

    /// Starts a query that stores its result in `result`.
    std::uint64_t start(std::uint32_t limit = 20)
    {
        result.reset();
        return coordinator.submit(Query{rule.caller, IndexName("parts"), "belt", limit, std::nullopt},
                                  [this](Result<QueryAnswer> got) { result = std::move(got); });
    }

    /// Runs a query to completion and returns its result.
    const Result<QueryAnswer> &runQuery(std::uint32_t limit = 20)
    {
        start(limit);
        runtime.advance(std::chrono::seconds(5));
        REQUIRE(result);
        return *result;
    }

    /// Compares an answer with the documents of the shards. Returns a description of the first error, or an empty string.
    std::string findViolation(const QueryAnswer &answer, std::uint32_t limit) const
    {
        const std::set<ShardId> missing(answer.coverage.missing.begin(), answer.coverage.missing.end());
        std::vector<KeyRange> covered;
        std::uint64_t keys = 0;
        for (const Shard &shard : maps.at(answer.snapshot.mapGeneration).shards) {
            if (missing.count(shard.id) == 0) {
                covered.push_back(shard.range);
                keys += shard.range.width();
            }
        }
        if (keys != answer.coverage.answeredKeys) {
            return "the answered keys do not match the missing shards";
        }
        const std::vector<Hit> all = shards.documentsIn({{0, KeySpace}}, answer.snapshot.version);
        for (const Hit &hit : answer.hits) {
            if (std::count(answer.hits.begin(), answer.hits.end(), hit) != 1 || std::find(all.begin(), all.end(), hit) == all.end()) {
                return "hit " + hit.id + " is duplicated or not in the snapshot";
            }
        }
        if (answer.hits.size() > limit || !std::is_sorted(answer.hits.begin(), answer.hits.end(), ranksBefore)) {
            return "there are too many hits or they are out of order";
        }
        for (const Hit &expected : shards.documentsIn(covered, answer.snapshot.version)) {
            const bool enters = answer.hits.size() < limit || ranksBefore(expected, answer.hits.back());
            if (enters && std::find(answer.hits.begin(), answer.hits.end(), expected) == answer.hits.end()) {
                return "hit " + expected.id + " of a covered shard is missing";
            }
        }
        return {};
    }

    ManualRuntime runtime;
    FakeShards shards;
    FirstReplicaTactics tactics;
    SnapshotTracker tracker;
    SubRequestIdGenerator ids{InstanceId("a"), 1};
    QueryCounters counters;
    ConfigurationPtr configuration;
    CallerRule rule;
    std::map<std::uint64_t, ShardMap> maps;
    Admission admission{runtime, 1};
    QueryCoordinator coordinator;
    std::optional<Result<QueryAnswer>> result;
};

} // namespace Burdock
