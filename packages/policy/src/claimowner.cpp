#include <burdock/policy/claimowner.h>

#include <numeric>
#include <xxhash.h>

namespace Burdock
{

std::size_t claimPartitionOf(const CommandName &command, const std::string &key)
{
    const std::string text = command.text() + '/' + key;
    return XXH3_64bits(text.data(), text.size()) % ClaimPartitions;
}

std::string claimPartitionName(std::size_t partition)
{
    return "claims/" + std::to_string(partition);
}

ClaimOwner::ClaimOwner(Runtime &runtime, ClaimStorePort &store, const ClaimSettings &settings)
    : runtime_(runtime)
    , store_(store)
    , settings_(settings)
{
}

ClaimPartition &ClaimOwner::partition(const CommandName &command, const std::string &key)
{
    auto &partition = partitions_[claimPartitionOf(command, key)];
    if (!partition) {
        partition = std::make_unique<ClaimPartition>(runtime_, store_, counters_, settings_);
    }
    return *partition;
}

void ClaimOwner::requestClaim(const ClaimRequest &request, ClaimPartition::Answer answer)
{
    partition(request.command, request.key).requestClaim(request, std::move(answer));
}

void ClaimOwner::record(const ClaimOutcome &outcome)
{
    partition(outcome.command, outcome.key).record(outcome);
}

std::size_t ClaimOwner::pending() const
{
    return std::accumulate(partitions_.begin(), partitions_.end(), std::size_t{0}, [](std::size_t sum, const auto &partition) {
        return sum + (partition ? partition->pending() : 0);
    });
}

} // namespace Burdock
