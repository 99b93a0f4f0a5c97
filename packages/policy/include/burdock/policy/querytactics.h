#pragma once

#include <burdock/values/subrequest.h>

#include <optional>
#include <vector>

namespace Burdock
{

/// The choices that a running query leaves to policy: which replica, when to hedge, when to retry.
class QueryTactics
{
public:
    virtual ~QueryTactics() = default;

    /// The best of the replicas that are not in `tried`; nothing where none is left that may get new work.
    virtual std::optional<ServerId> chooseReplica(const std::vector<ServerId> &replicas, Rank rank, const std::vector<ServerId> &tried) = 0;

    /// How long to wait for the server before asking another replica; nothing where no hedge is wanted.
    virtual std::optional<Duration> hedgeDelay(const ServerId &server, Rank rank) = 0;

    /// Counts a first attempt, which earns the budgets their tokens.
    virtual void firstAttempt() = 0;

    /// Takes a token for a hedge; false where the budget is used up or a flood is on.
    virtual bool takeHedge() = 0;

    /// Takes a token for a retry; false where the budget is used up.
    virtual bool takeRetry() = 0;

    /// Tells how an attempt ended and how long it took at the entry.
    virtual void attemptEnded(const ServerId &server, Rank rank, Errc code, Duration took) = 0;

    /// Tells what a holder reported of a server.
    virtual void serverReported(const ServerReport &report) = 0;
};

} // namespace Burdock
