#pragma once

#include <burdock/values/subrequest.h>

#include <optional>
#include <vector>

namespace Burdock
{

/// Policy decisions of a running query: which replica to use, and when to hedge or retry.
class QueryTactics
{
public:
    virtual ~QueryTactics() = default;

    /// The best replica that is not in `tried`; nothing if no remaining replica accepts new work.
    virtual std::optional<ServerId> chooseReplica(const std::vector<ServerId> &replicas, Rank rank, const std::vector<ServerId> &tried) = 0;

    /// How long to wait for the server before hedging to another replica; nothing if the request must not be hedged.
    virtual std::optional<Duration> hedgeDelay(const ServerId &server, Rank rank) = 0;

    /// Counts a first attempt, which adds tokens to the budgets.
    virtual void onFirstAttempt() = 0;

    /// Takes a token for a hedge; false if the budget is used up or the servers are overloaded.
    virtual bool tryAcquireHedge() = 0;

    /// Takes a token for a retry; false if the budget is used up.
    virtual bool tryAcquireRetry() = 0;

    /// Records the result of an attempt and how long it took as seen by the entry.
    virtual void onAttemptFinished(const ServerId &server, Rank rank, Errc code, Duration took) = 0;

    /// Records a holder's report about a server.
    virtual void onServerReport(const ServerReport &report) = 0;
};

} // namespace Burdock
