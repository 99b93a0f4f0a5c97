#pragma once

#include <burdock/values/configuration.h>
#include <burdock/values/failure.h>
#include <burdock/values/snapshot.h>
#include <burdock/values/subrequest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Burdock
{

/// What a caller asks.
struct Query
{
    CallerId caller;
    IndexName index;
    std::string text;
    /// How many hits are wanted.
    std::uint32_t limit = 0;
    /// The caller's own limit on the wait; never lengthens the declared one.
    std::optional<Duration> deadline;

    auto fields() const
    {
        return std::tie(caller, index, text, limit, deadline);
    }
};

/// The answer to a query.
///
/// Every hit is a document of the snapshot, none stands twice. Among the documents of the shards that are
/// not missing, none that ranks before the last hit is left out.
struct QueryAnswer
{
    SnapshotId snapshot;
    Coverage coverage;
    std::vector<Hit> hits;
    Duration took{0};

    auto fields() const
    {
        return std::tie(snapshot, coverage, hits, took);
    }
};

/// Counts over all queries of one instance.
struct QueryCounters
{
    std::uint64_t started = 0;
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t cancelled = 0;
    /// Queries that began again at another snapshot.
    std::uint64_t restarts = 0;
    std::uint64_t subRequests = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    /// Sub-requests that a hedge made needless.
    std::uint64_t losersCancelled = 0;
    /// Replies that named another snapshot, shard or range than was asked.
    std::uint64_t mismatchedReplies = 0;
    /// Replies whose hits were fewer than their own total promised, out of order, or doubled.
    std::uint64_t malformedReplies = 0;
    /// Hits received from holders, before merging.
    std::uint64_t hitsReceived = 0;
};

/// The bounds on queries, beyond what declarations say.
struct QueryLimits
{
    std::uint32_t maxHits = 1000;
    std::size_t maxTextBytes = 4096;
    /// How often one query may start again at another snapshot.
    std::uint32_t maxRestarts = 8;
    /// The first pause before a shard whose replicas have all failed is tried again; doubles each time.
    Duration retryPause = std::chrono::milliseconds(10);
};

} // namespace Burdock
