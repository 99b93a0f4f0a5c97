#pragma once

#include <burdock/policy/shardrequest.h>

#include <functional>
#include <vector>

namespace Burdock
{

/// Learns which versions the shards hold, for an entry that has not heard of them yet.
///
/// Asks one replica of each unknown shard for version 0, which no server holds: the refusal names its versions.
/// A replica that cannot be reached is followed by the next.
class SnapshotDiscovery
{
public:
    SnapshotDiscovery(QueryContext &context, const ShardQueryParameters &parameters, const IndexName &index, const ShardMap &map);
    ~SnapshotDiscovery();
    SnapshotDiscovery(const SnapshotDiscovery &) = delete;
    SnapshotDiscovery &operator=(const SnapshotDiscovery &) = delete;

    /// Calls `done` once every unknown shard has answered or has no replica left to sendLookup.
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
