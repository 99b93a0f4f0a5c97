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

/// A query as submitted by a caller.
struct Query
{
    CallerId caller;
    IndexName index;
    std::string text;
    /// Maximum number of hits to return.
    std::uint32_t limit = 0;
    /// The caller's time limit; the declared wait applies if it is shorter.
    std::optional<Duration> deadline;

    auto fields() const
    {
        return std::tie(caller, index, text, limit, deadline);
    }
};

/// The answer to a query.
///
/// Every hit is a document of the snapshot and occurs once. No document of the answering shards that ranks before
/// the last hit is left out.
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

/// Counters over all queries of one instance.
struct QueryCounters
{
    std::uint64_t started = 0;
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t cancelled = 0;
    /// Restarts of queries at another snapshot.
    std::uint64_t restarts = 0;
    std::uint64_t subRequests = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    /// Sub-requests cancelled because the other attempt of a hedged pair answered first.
    std::uint64_t losersCancelled = 0;
    /// Replies for another snapshot, shard or range than requested.
    std::uint64_t mismatchedReplies = 0;
    /// Replies whose hits were inconsistent with their total, out of order or duplicated.
    std::uint64_t malformedReplies = 0;
    /// Hits received from holders, before merging.
    std::uint64_t hitsReceived = 0;
};

/// Limits on queries in addition to those of the declarations.
struct QueryLimits
{
    std::uint32_t maxHits = 1000;
    std::size_t maxTextBytes = 4096;
    /// Maximum number of restarts of one query at another snapshot.
    std::uint32_t maxRestarts = 8;
    /// Delay before the first retry of a shard whose replicas have all failed; doubles with each further retry.
    Duration retryPause = std::chrono::milliseconds(10);
};

} // namespace Burdock
