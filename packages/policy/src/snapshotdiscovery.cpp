#include <burdock/policy/snapshotdiscovery.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

SnapshotDiscovery::SnapshotDiscovery(QueryContext &context, const ShardQuestion &question, const IndexName &index, const ShardMap &map)
    : context_(context)
    , question_(question)
    , index_(index)
{
    for (const Shard &shard : map.shards) {
        if (!context_.tracker.knows(index_, shard)) {
            lookups_.push_back(Lookup{shard, {}, {}, false});
        }
    }
}

SnapshotDiscovery::~SnapshotDiscovery()
{
    context_.runtime.cancel(turn_);
    for (const Lookup &lookup : lookups_) {
        if (lookup.open) {
            context_.port.cancel(lookup.id);
        }
    }
}

void SnapshotDiscovery::start(std::function<void()> done)
{
    done_ = std::move(done);
    for (std::size_t place = 0; place < lookups_.size(); ++place) {
        ask(place);
    }
    turn_ = context_.runtime.schedule(Duration{0}, [this] {
        turn_ = 0;
        finishIfQuiet();
    });
}

void SnapshotDiscovery::ask(std::size_t place)
{
    Lookup &lookup = lookups_[place];
    const auto server = context_.tactics.chooseReplica(lookup.shard.replicas, question_.rank, lookup.tried);
    if (!server) {
        return;
    }
    SubRequest request;
    request.id = context_.ids.next();
    request.caller = question_.caller;
    request.rank = question_.rank;
    request.fleet = question_.fleet;
    request.server = *server;
    request.budget = std::max(Duration{0}, question_.deadline - context_.runtime.now());
    request.snapshot = SnapshotId{index_, 0, question_.snapshot.mapGeneration};
    request.shard = lookup.shard.id;
    request.range = lookup.shard.range;
    lookup.tried.push_back(*server);
    lookup.id = request.id;
    lookup.open = true;
    ++context_.counters.subRequests;
    context_.port.send(request, [this, place](const SubReply &reply) { replied(place, reply); });
}

void SnapshotDiscovery::replied(std::size_t place, const SubReply &reply)
{
    Lookup &lookup = lookups_[place];
    lookup.open = false;
    context_.tracker.update(reply.report);
    context_.tactics.onServerReport(reply.report);
    if (!context_.tracker.knows(index_, lookup.shard)) {
        ask(place);
    }
    finishIfQuiet();
}

void SnapshotDiscovery::finishIfQuiet()
{
    const bool open = std::any_of(lookups_.begin(), lookups_.end(), [](const Lookup &lookup) { return lookup.open; });
    if (open || turn_ != 0 || !done_) {
        return;
    }
    const auto done = std::exchange(done_, nullptr);
    done();
}

} // namespace Burdock
