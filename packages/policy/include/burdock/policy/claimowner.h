#pragma once

#include <burdock/policy/claimpartition.h>

#include <array>
#include <memory>

namespace Burdock
{

/// How many owners share the claims. Only spreads the work: where a claim is stored does not depend on it.
constexpr std::size_t ClaimPartitions = 8;

/// The partition of a key.
std::size_t claimPartitionOf(const CommandName &command, const std::string &key);

/// What rendezvous hashing takes as the key of a partition.
std::string claimPartitionName(std::size_t partition);

/// The partitions that this instance owns, which are those that it is asked for: it does not check the askers' view.
class ClaimOwner
{
public:
    ClaimOwner(Runtime &runtime, ClaimStorePort &store, const ClaimSettings &settings = {});

    /// See ClaimPartition.
    void requestClaim(const ClaimRequest &request, ClaimPartition::Answer answer);
    void record(const ClaimOutcome &outcome);

    /// How many asks and outcomes are not settled; a leaving instance waits for none.
    std::size_t pending() const;

    const ClaimCounters &counters() const
    {
        return counters_;
    }

private:
    ClaimPartition &partition(const CommandName &command, const std::string &key);

    Runtime &runtime_;
    ClaimStorePort &store_;
    const ClaimSettings settings_;
    ClaimCounters counters_;
    std::array<std::unique_ptr<ClaimPartition>, ClaimPartitions> partitions_;
};

} // namespace Burdock
