#pragma once

#include <burdock/values/failure.h>
#include <burdock/values/names.h>
#include <burdock/values/rank.h>
#include <burdock/values/snapshot.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Burdock
{

/// One document of an answer. Answers are ordered by descending score, then ascending id.
struct Hit
{
    std::string id;
    double score = 0;
    std::string body;

    auto fields() const
    {
        return std::tie(id, score, body);
    }
};

/// Whether `a` precedes `b` in an answer.
inline bool ranksBefore(const Hit &a, const Hit &b)
{
    return a.score != b.score ? a.score > b.score : a.id < b.id;
}

/// Identifies one sub-request. The number is unique within one incarnation of one instance and never reused.
struct SubRequestId
{
    InstanceId entry;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    auto fields() const
    {
        return std::tie(entry, incarnation, number);
    }
};

/// The operation that a sub-request requests.
enum class SubRequestKind {
    /// Search one shard at one snapshot; may be repeated freely.
    Search,
    /// Execute a command; must not be repeated once it may have run.
    Command,
};

/// One request to one server, sent from the entry instance to the server's holder.
struct SubRequest
{
    SubRequestId id;
    SubRequestKind kind = SubRequestKind::Search;
    CallerId caller;
    Rank rank = Rank::Batch;
    FleetName fleet;
    ServerId server;
    /// The time left until the deadline when the message is sent; the holder counts from its arrival.
    Duration budget{0};
    /// Search: what to search.
    SnapshotId snapshot;
    ShardId shard;
    KeyRange range;
    /// Search: the query's text. Command: the payload.
    std::string text;
    /// Search: the index of the first hit requested and the number of hits.
    std::uint32_t offset = 0;
    std::uint32_t limit = 0;
    /// Command: its name and the caller's idempotency key.
    CommandName command;
    std::string key;

    auto fields() const
    {
        return std::tie(id, kind, caller, rank, fleet, server, budget, snapshot, shard, range, text, offset, limit, command, key);
    }
};

/// The state of a server as known to its holder, sent with every reply and on every change.
struct ServerReport
{
    ServerId server;
    /// The server says it is leaving, or the holder has ejected it.
    bool draining = false;
    bool ejected = false;
    /// How long a new sub-request of each rank would wait in the holder's queue.
    PerRank<Duration> queueDelay{};
    /// The index versions that the server can answer from.
    std::vector<std::pair<IndexName, VersionWindow>> versions;

    auto fields() const
    {
        return std::tie(server, draining, ejected, queueDelay, versions);
    }
};

/// The reply to a sub-request.
struct SubReply
{
    SubRequestId id;
    /// Errc::Ok, or the reason for the failure; then `verdict` says whether the request may have run.
    Errc code = Errc::Ok;
    Verdict verdict = Verdict::Ran;
    std::string message;
    Duration retryAfter{0};
    /// The data that the server reports to have answered from; compared with the request.
    SnapshotId snapshot;
    ShardId shard;
    KeyRange range;
    /// Search: the total number of matching documents in the shard, and the requested hits.
    std::uint64_t total = 0;
    std::vector<Hit> hits;
    /// Command: the outcome returned by the server.
    std::string outcome;
    ServerReport report;

    auto fields() const
    {
        return std::tie(id, code, verdict, message, retryAfter, snapshot, shard, range, total, hits, outcome, report);
    }
};

} // namespace Burdock
