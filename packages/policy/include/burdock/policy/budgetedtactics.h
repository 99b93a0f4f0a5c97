#pragma once

#include <burdock/policy/hedgedelay.h>
#include <burdock/policy/querytactics.h>
#include <burdock/policy/replicachoice.h>
#include <burdock/policy/tokenbucket.h>

namespace Burdock
{

/// Limits for hedges, retries and ejections at an entry instance.
struct TacticsSettings
{
    /// The quantile of the measured latency after which a request is hedged to another replica.
    double hedgeQuantile = 0.96;
    /// The fraction of first attempts that may be hedged.
    double hedgeFraction = 0.05;
    /// The fraction of first attempts that may be retried.
    double retryFraction = 0.10;
    /// How many hedges or retries may be sent in a burst when the budget is full.
    double burst = 50;
    /// The fraction of a shard's replicas that may be ejected at the same time.
    double maxEjectedFraction = 0.5;
};

/// Counters since the start of the process.
struct TacticsCounters
{
    std::uint64_t firstAttempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t hedgesDenied = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0;
    std::uint64_t ejections = 0;
};

/// The tactics of an entry instance, shared by all its queries; see docs/notes/stragglers.md.
///
/// The budgets cover all sub-requests of the instance: with one token bucket per query, every query could
/// retry under overload. Only the entry retries; a holder never repeats a request.
class BudgetedTactics final : public QueryTactics
{
public:
    BudgetedTactics(Runtime &runtime, std::uint64_t seed, const TacticsSettings &settings = {});

    std::optional<ServerId> chooseReplica(const std::vector<ServerId> &replicas, Rank rank, const std::vector<ServerId> &tried) override;
    std::optional<Duration> hedgeDelay(const ServerId &server, Rank rank) override;
    void onFirstAttempt() override;
    bool tryAcquireHedge() override;
    bool tryAcquireRetry() override;
    void onAttemptFinished(const ServerId &server, Rank rank, Errc code, Duration took) override;
    void onServerReport(const ServerReport &report) override;

    TacticsCounters counters() const;

private:
    Runtime &runtime_;
    ReplicaChoice replicas_;
    HedgeDelay hedges_;
    const TacticsSettings settings_;
    TokenBucket hedgeBudget_;
    TokenBucket retryBudget_;
    TacticsCounters counters_;
};

} // namespace Burdock
