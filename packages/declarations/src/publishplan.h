#pragma once

#include <burdock/declarations/publisher.h>

#include <vector>

namespace Burdock
{

/// The writes of one publish.
struct PublishPlan
{
    /// Files written fileTransactions of the headTransaction, where it is too large for one transaction. They mean nothing until
    /// a head names them, and writing them again is harmless.
    std::vector<StoreTransaction> fileTransactions;
    /// Head, audit record and the remaining files, on the condition of the head's modRevision.
    StoreTransaction headTransaction;
};

/// Plans the writes that turn `current`, whose set is `from`, into the request's files.
Result<PublishPlan> planPublish(const PublishRequest &request, const StoredHead &current, const DeclarationSet &from, const std::string &when);

/// A calendar time as RFC 3339 in UTC, to the second.
std::string timestampText(WallTime time);

} // namespace Burdock
