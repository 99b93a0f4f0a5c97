#include <burdock/policy/snapshotdiscovery.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

SnapshotDiscovery::SnapshotDiscovery(QueryContext &context, const ShardQueryParameters &parameters, const IndexName &index, const ShardMap &map)
    : context_(context)
    , parameters_(parameters)
    , index_(index)
{
    for (const Shard &shard : map.shards) {
        if (!context_.tracker.hasKnownWindow(index_, shard)) {
            lookups_.push_back(Lookup{shard, {}, {}, false});
        }
    }
}

SnapshotDiscovery::~SnapshotDiscovery()
{
    context_.runtime.cancel(startTimer_);
    for (const Lookup &lookup : lookups_) {
        if (lookup.pending) {
            context_.port.cancel(lookup.id);
        }
    }
}

void SnapshotDiscovery::start(std::function<void()> done)
{
    done_ = std::move(done);
    for (std::size_t position = 0; position < lookups_.size(); ++position) {
        sendLookup(position);
    }
    startTimer_ = context_.runtime.schedule(Duration{0}, [this] {
        startTimer_ = 0;
        finishIfComplete();
    });
}

void SnapshotDiscovery::sendLookup(std::size_t position)
{
    Lookup &lookup = lookups_[position];
    const auto server = context_.tactics.chooseReplica(lookup.shard.replicas, parameters_.rank, lookup.tried);
    if (!server) {
        return;
    }
    SubRequest request;
    request.id = context_.ids.next();
    request.caller = parameters_.caller;
    request.rank = parameters_.rank;
    request.fleet = parameters_.fleet;
    request.server = *server;
    request.budget = std::max(Duration{0}, parameters_.deadline - context_.runtime.now());
    request.snapshot = SnapshotId{index_, 0, parameters_.snapshot.mapGeneration};
    request.shard = lookup.shard.id;
    request.range = lookup.shard.range;
    lookup.tried.push_back(*server);
    lookup.id = request.id;
    lookup.pending = true;
    ++context_.counters.subRequests;
    context_.port.send(request, [this, position](const SubReply &reply) { onReply(position, reply); });
}

void SnapshotDiscovery::onReply(std::size_t position, const SubReply &reply)
{
    Lookup &lookup = lookups_[position];
    lookup.pending = false;
    context_.tracker.update(reply.report);
    context_.tactics.onServerReport(reply.report);
    if (!context_.tracker.hasKnownWindow(index_, lookup.shard)) {
        sendLookup(position);
    }
    finishIfComplete();
}

void SnapshotDiscovery::finishIfComplete()
{
    const bool pending = std::any_of(lookups_.begin(), lookups_.end(), [](const Lookup &lookup) { return lookup.pending; });
    if (pending || startTimer_ != 0 || !done_) {
        return;
    }
    const auto done = std::exchange(done_, nullptr);
    done();
}

} // namespace Burdock
