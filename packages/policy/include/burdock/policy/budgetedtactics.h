#pragma once

#include <burdock/policy/hedgedelay.h>
#include <burdock/policy/querytactics.h>
#include <burdock/policy/replicachoice.h>
#include <burdock/policy/tokenbucket.h>

namespace Burdock
{

/// The bounds within which an entry hedges, retries and ejects.
struct TacticsSettings
{
    /// The quantile of measured latency after which another replica is asked.
    double hedgeQuantile = 0.96;
    /// The part of first attempts that may be hedged, and that may be retried.
    double hedgePart = 0.05;
    double retryPart = 0.10;
    /// How many hedges or retries may come at once after a quiet time.
    double burst = 50;
    /// The part of a shard's replicas that may be ejected at once.
    double ejectedPart = 0.5;
};

/// What the tactics have counted since the start.
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
/// Budgets count over all sub-requests of the instance: a bucket of its own per query would let every
/// query of a flood retry. Retries happen at the entry only; a holder never repeats anything.
class BudgetedTactics final : public QueryTactics
{
public:
    BudgetedTactics(Runtime &runtime, std::uint64_t seed, const TacticsSettings &settings = {});

    std::optional<ServerId> chooseReplica(const std::vector<ServerId> &replicas, Rank rank, const std::vector<ServerId> &tried) override;
    std::optional<Duration> hedgeDelay(const ServerId &server, Rank rank) override;
    void firstAttempt() override;
    bool takeHedge() override;
    bool takeRetry() override;
    void attemptEnded(const ServerId &server, Rank rank, Errc code, Duration took) override;
    void serverReported(const ServerReport &report) override;

    TacticsCounters counters() const;

private:
    Runtime &runtime_;
    ReplicaChoice replicas_;
    HedgeDelay hedges_;
    TokenBucket hedgeBudget_;
    TokenBucket retryBudget_;
    TacticsCounters counters_;
};

} // namespace Burdock
