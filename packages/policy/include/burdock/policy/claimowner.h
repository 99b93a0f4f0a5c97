#pragma once

#include <burdock/policy/claimpartition.h>

#include <array>
#include <memory>

namespace Burdock
{

/// The number of partitions among which claims are distributed. Only distributes the load: the storage location of a
/// claim does not depend on it.
constexpr std::size_t ClaimPartitions = 8;

/// Returns the partition of a key.
std::size_t claimPartitionOf(const CommandName &command, const std::string &key);

/// Returns the rendezvous hashing key of a partition.
std::string claimPartitionName(std::size_t partition);

/// Serves the claim partitions for which this instance receives requests. Does not verify that it is the designated owner
/// in the sender's view.
class ClaimOwner
{
public:
    ClaimOwner(Runtime &runtime, ClaimStorePort &store, const ClaimSettings &settings = {});

    /// See ClaimPartition.
    void requestClaim(const ClaimRequest &request, ClaimPartition::Answer answer);
    void record(const ClaimOutcome &outcome);

    /// Returns the number of unsettled requests and outcomes. An instance that shuts down waits until it is 0.
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
