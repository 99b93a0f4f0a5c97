#include <burdock/values/shardmap.h>

#include <algorithm>

namespace Burdock
{

bool ShardMap::isComplete() const
{
    std::vector<KeyRange> ranges;
    for (const Shard &shard : shards) {
        if (shard.replicas.empty()) {
            return false;
        }
        ranges.push_back(shard.range);
    }
    std::sort(ranges.begin(), ranges.end());
    std::uint64_t next = 0;
    for (const KeyRange &range : ranges) {
        if (range.begin != next || range.width() == 0) {
            return false;
        }
        next = range.end;
    }
    return next == KeySpace;
}

} // namespace Burdock
