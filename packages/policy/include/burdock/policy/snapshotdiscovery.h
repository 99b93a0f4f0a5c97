#pragma once

#include <burdock/policy/shardrequest.h>

#include <functional>
#include <vector>

namespace Burdock
{

/// Finds out which index versions the shards hold when the entry instance has no report of them yet.
///
/// Requests version 0, which no server holds, from one replica of each unknown shard; the refusal lists the versions
/// that the server holds. If a replica does not report its versions, the next one is tried.
class SnapshotDiscovery
{
public:
    SnapshotDiscovery(QueryContext &context, const ShardQueryParameters &parameters, const IndexName &index, const ShardMap &map);
    ~SnapshotDiscovery();
    SnapshotDiscovery(const SnapshotDiscovery &) = delete;
    SnapshotDiscovery &operator=(const SnapshotDiscovery &) = delete;

    /// Calls `done` once every unknown shard has reported its versions or has no replica left to try.
    void start(std::function<void()> done);

private:
    struct Lookup
    {
        Shard shard;
        std::vector<ServerId> tried;
        SubRequestId id;
        bool pending = false;
    };

    void sendLookup(std::size_t position);
    void onReply(std::size_t position, const SubReply &reply);
    void finishIfComplete();

    QueryContext &context_;
    const ShardQueryParameters &parameters_;
    IndexName index_;
    std::vector<Lookup> lookups_;
    std::function<void()> done_;
    TimerId startTimer_ = 0;
};

} // namespace Burdock
