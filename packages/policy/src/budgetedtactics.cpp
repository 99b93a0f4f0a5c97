#include <burdock/policy/budgetedtactics.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// True for errors caused by the server. Refusals because of load are excluded: otherwise an overload would
/// eject the servers that still work.
bool serverFailed(Errc code)
{
    return code == Errc::ConnectionLost || code == Errc::Unavailable || code == Errc::Internal;
}

/// True if the attempt was abandoned while it was queued or running.
bool abandoned(Errc code)
{
    return code == Errc::Cancelled || code == Errc::DeadlineExceeded;
}

} // namespace

BudgetedTactics::BudgetedTactics(Runtime &runtime, std::uint64_t seed, const TacticsSettings &settings)
    : runtime_(runtime)
    , replicas_(runtime, seed, settings.maxEjectedFraction)
    , hedges_(settings.hedgeQuantile)
    , settings_(settings)
    , hedgeBudget_(settings.burst, settings.burst)
    , retryBudget_(settings.burst, settings.burst)
{
}

std::optional<ServerId> BudgetedTactics::chooseReplica(const std::vector<ServerId> &replicas, Rank rank, const std::vector<ServerId> &tried)
{
    return replicas_.choose(replicas, rank, tried);
}

std::optional<Duration> BudgetedTactics::hedgeDelay(const ServerId &server, Rank rank)
{
    return hedges_.delay(server, rank, runtime_.now());
}

void BudgetedTactics::onFirstAttempt()
{
    ++counters_.firstAttempts;
    hedgeBudget_.add(settings_.hedgeFraction);
    retryBudget_.add(settings_.retryFraction);
}

bool BudgetedTactics::tryAcquireHedge()
{
    const bool overloaded = std::all_of(AllRanks.begin(), AllRanks.end(), [this](Rank rank) { return hedges_.overloaded(rank); });
    const bool acquired = !overloaded && hedgeBudget_.tryAcquire();
    ++(acquired ? counters_.hedges : counters_.hedgesDenied);
    return acquired;
}

bool BudgetedTactics::tryAcquireRetry()
{
    const bool acquired = retryBudget_.tryAcquire();
    ++(acquired ? counters_.retries : counters_.retriesDenied);
    return acquired;
}

void BudgetedTactics::onAttemptFinished(const ServerId &server, Rank rank, Errc code, Duration took)
{
    if (code == Errc::Ok) {
        replicas_.onAnswered(server, rank, took);
        hedges_.recordLatency(server, rank, took, runtime_.now());
    } else if (serverFailed(code)) {
        replicas_.onFailed(server);
    } else if (abandoned(code)) {
        replicas_.onAbandoned(server, rank, took);
        hedges_.onAbandoned(server, rank, took, runtime_.now());
    }
}

void BudgetedTactics::onServerReport(const ServerReport &report)
{
    replicas_.onServerReport(report);
    hedges_.onServerReport(report);
}

TacticsCounters BudgetedTactics::counters() const
{
    TacticsCounters counters = counters_;
    counters.ejections = replicas_.ejections();
    return counters;
}

} // namespace Burdock
