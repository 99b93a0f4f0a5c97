#include <burdock/policy/budgetedtactics.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// True for ends of an attempt that the server is to blame for. Refusals for load are not among them,
/// or a flood would eject the servers that still work.
bool serverFailed(Errc code)
{
    return code == Errc::ConnectionLost || code == Errc::Unavailable || code == Errc::Internal;
}

/// True where the attempt was given up while it waited or ran.
bool givenUp(Errc code)
{
    return code == Errc::Cancelled || code == Errc::DeadlineExceeded;
}

} // namespace

BudgetedTactics::BudgetedTactics(Runtime &runtime, std::uint64_t seed, const TacticsSettings &settings)
    : runtime_(runtime)
    , replicas_(runtime, seed, settings.ejectedPart)
    , hedges_(settings.hedgeQuantile)
    , hedgeBudget_(settings.hedgePart, settings.burst)
    , retryBudget_(settings.retryPart, settings.burst)
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

void BudgetedTactics::firstAttempt()
{
    ++counters_.firstAttempts;
    hedgeBudget_.earn();
    retryBudget_.earn();
}

bool BudgetedTactics::takeHedge()
{
    const bool flooded = std::all_of(AllRanks.begin(), AllRanks.end(), [this](Rank rank) { return hedges_.flooded(rank); });
    const bool taken = !flooded && hedgeBudget_.take();
    ++(taken ? counters_.hedges : counters_.hedgesDenied);
    return taken;
}

bool BudgetedTactics::takeRetry()
{
    const bool taken = retryBudget_.take();
    ++(taken ? counters_.retries : counters_.retriesDenied);
    return taken;
}

void BudgetedTactics::attemptEnded(const ServerId &server, Rank rank, Errc code, Duration took)
{
    if (code == Errc::Ok) {
        replicas_.answered(server, rank, took);
        hedges_.measured(server, rank, took, runtime_.now());
    } else if (serverFailed(code)) {
        replicas_.failed(server);
    } else if (givenUp(code)) {
        replicas_.givenUp(server, rank, took);
        hedges_.givenUp(server, rank, took, runtime_.now());
    }
}

void BudgetedTactics::serverReported(const ServerReport &report)
{
    replicas_.reported(report);
    hedges_.reported(report);
}

TacticsCounters BudgetedTactics::counters() const
{
    TacticsCounters counters = counters_;
    counters.ejections = replicas_.ejections();
    return counters;
}

} // namespace Burdock
