#pragma once

#include <burdock/declarations/publisher.h>

#include <vector>

namespace Burdock
{

/// The transactions of one publish.
struct PublishPlan
{
    /// Files that are written before the head if the change is too large for one transaction. They have no effect
    /// until a head refers to them, and writing them again is harmless.
    std::vector<StoreTransaction> fileTransactions;
    /// Head, audit record and the remaining files, on the condition that the head's modRevision is unchanged.
    StoreTransaction headTransaction;
};

/// Plans the transactions that replace `current`, whose files are `from`, by the request's files. TooLarge if the head
/// and audit records exceed the limit of the store.
Result<PublishPlan> planPublish(const PublishRequest &request, const StoredHead &current, const DeclarationSet &from, const std::string &when);

/// Formats a wall-clock time as RFC 3339 in UTC, to the second.
std::string timestampText(WallTime time);

} // namespace Burdock
