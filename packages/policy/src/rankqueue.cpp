#include <burdock/policy/rankqueue.h>

#include <algorithm>
#include <numeric>

namespace Burdock
{

namespace
{

/// The weight of one served sub-request in the moving average of a rank's slot fraction.
constexpr double SlotFractionWeight = 0.1;
/// A rank goes before more urgent ones if its deficit is at least this fraction of one service time.
constexpr double DeficitThreshold = 0.5;
/// The deficit is capped at what the reserved fraction earns in this many service times.
constexpr double MaxDeficitServices = 2;
/// The smallest slot fraction used to estimate waits, so that estimates stay finite.
constexpr double MinSlotFraction = 0.01;
/// Used as the service time before the first sample.
constexpr Duration DefaultServiceTime = std::chrono::milliseconds(1);

} // namespace

RankQueue::RankQueue(const PerRank<double> &reservedFractions)
{
    setReservedFractions(reservedFractions);
}

void RankQueue::setReservedFractions(const PerRank<double> &reservedFractions)
{
    for (const Rank rank : AllRanks) {
        ranks_[rankIndex(rank)].reservedFraction = std::clamp(reservedFractions[rankIndex(rank)], 0.0, 1.0);
    }
}

QueueTicket RankQueue::push(const QueuedRequest &request, TimePoint now)
{
    updateDeficits(limit_, now);
    RankState &state = ranks_[rankIndex(request.rank)];
    if (state.callers.size() == 0) {
        state.slotFraction = 1;
    }
    return state.callers.push(request);
}

bool RankQueue::remove(const QueueTicket &ticket, TimePoint now)
{
    updateDeficits(limit_, now);
    return ranks_[rankIndex(ticket.rank)].callers.remove(ticket);
}

std::optional<SubRequestId> RankQueue::pop(std::uint32_t limit, TimePoint now)
{
    updateDeficits(limit, now);
    if (running() >= limit) {
        return std::nullopt;
    }
    const std::optional<Rank> rank = nextRank();
    if (!rank) {
        return std::nullopt;
    }
    updateSlotFractions(*rank);
    RankState &state = ranks_[rankIndex(*rank)];
    ++state.running;
    state.deficit = std::max(state.deficit - meanServiceTime(state), -meanServiceTime(state));
    return state.callers.pop();
}

void RankQueue::release(Rank rank, TimePoint now)
{
    updateDeficits(limit_, now);
    RankState &state = ranks_[rankIndex(rank)];
    state.running -= std::min<std::uint32_t>(state.running, 1);
}

void RankQueue::recordServiceTime(Rank rank, Duration took)
{
    ranks_[rankIndex(rank)].service.add(took);
    service_.add(took);
}

Duration RankQueue::estimatedWait(Rank rank, const CallerId &caller, std::uint32_t weight, std::uint32_t limit) const
{
    const RankState &state = ranks_[rankIndex(rank)];
    return drainTime(state, state.callers.requestsAhead(caller, weight), limit);
}

Duration RankQueue::queueDelay(Rank rank, std::uint32_t limit) const
{
    const RankState &state = ranks_[rankIndex(rank)];
    return drainTime(state, static_cast<double>(state.callers.size()), limit);
}

Duration RankQueue::serviceTime(Rank rank) const
{
    const LatencyAverage &own = ranks_[rankIndex(rank)].service;
    return own.hasSamples() ? own.value() : service_.value();
}

std::size_t RankQueue::waiting(Rank rank) const
{
    return ranks_[rankIndex(rank)].callers.size();
}

std::size_t RankQueue::waiting() const
{
    return std::accumulate(ranks_.begin(), ranks_.end(), std::size_t{0}, [](std::size_t sum, const RankState &state) { return sum + state.callers.size(); });
}

std::uint32_t RankQueue::running(Rank rank) const
{
    return ranks_[rankIndex(rank)].running;
}

std::uint32_t RankQueue::running() const
{
    return std::accumulate(ranks_.begin(), ranks_.end(), std::uint32_t{0}, [](std::uint32_t sum, const RankState &state) { return sum + state.running; });
}

/// Updates the deficit of each rank to `now`.
void RankQueue::updateDeficits(std::uint32_t limit, TimePoint now)
{
    const auto span = static_cast<double>(std::max(now - deficitsUpdatedAt_, Duration{0}).count());
    for (RankState &state : ranks_) {
        const double cap = state.callers.size() > 0 ? maxDeficit(state) : 0.0;
        state.deficit = std::min(state.deficit + state.reservedFraction * limit_ * span, cap);
    }
    deficitsUpdatedAt_ = now;
    limit_ = limit;
}

std::optional<Rank> RankQueue::nextRank() const
{
    for (const Rank rank : AllRanks) {
        const RankState &state = ranks_[rankIndex(rank)];
        if (state.callers.size() > 0 && state.reservedFraction > 0 && state.deficit >= meanServiceTime(state) * DeficitThreshold) {
            return rank;
        }
    }
    for (const Rank rank : AllRanks) {
        if (ranks_[rankIndex(rank)].callers.size() > 0) {
            return rank;
        }
    }
    return std::nullopt;
}

void RankQueue::updateSlotFractions(Rank chosen)
{
    for (const Rank rank : AllRanks) {
        RankState &state = ranks_[rankIndex(rank)];
        if (state.callers.size() > 0) {
            state.slotFraction += ((rank == chosen ? 1 : 0) - state.slotFraction) * SlotFractionWeight;
        }
    }
}

Duration RankQueue::drainTime(const RankState &state, double requestsAhead, std::uint32_t limit) const
{
    const std::uint32_t slots = std::max<std::uint32_t>(limit, 1);
    const double serviceInterval = static_cast<double>(service_.value().count()) / slots;
    const double slotWait = running() >= slots ? serviceInterval : 0;
    const double slotFraction = std::max({state.slotFraction, state.reservedFraction, MinSlotFraction});
    return Duration(static_cast<Duration::rep>(slotWait + requestsAhead * serviceInterval / slotFraction));
}

/// The mean service time of the rank in microseconds of slot time.
double RankQueue::meanServiceTime(const RankState &state) const
{
    const Duration service = state.service.hasSamples() ? state.service.value() : service_.value();
    return static_cast<double>(std::max(service, service_.hasSamples() ? Duration{1} : DefaultServiceTime).count());
}

/// The cap includes the longest service time of any rank: a rank may have to wait that long for a free slot,
/// and its reserved fraction accrues meanwhile.
double RankQueue::maxDeficit(const RankState &state) const
{
    double longest = 0;
    for (const RankState &other : ranks_) {
        longest = std::max(longest, meanServiceTime(other));
    }
    return std::max(meanServiceTime(state), MaxDeficitServices * longest * state.reservedFraction * limit_);
}

} // namespace Burdock
