#include <burdock/policy/rankqueue.h>

#include <algorithm>
#include <numeric>

namespace Burdock
{

namespace
{

/// How much one served sub-request moves the estimate of a rank's pace.
constexpr double PaceWeight = 0.1;
/// A rank goes before more urgent ones once it is behind its floor by this part of one service time.
constexpr double OwedPart = 0.5;
/// A rank is owed at most what its floor earns in so many service times.
constexpr double OwedServices = 2;
/// The least pace that waits are estimated with, so that no estimate is endless.
constexpr double LeastPace = 0.01;
/// Stands in for the service time while there was no sample.
constexpr Duration UnknownService = std::chrono::milliseconds(1);

} // namespace

RankQueue::RankQueue(const PerRank<double> &floors)
{
    setFloors(floors);
}

void RankQueue::setFloors(const PerRank<double> &floors)
{
    for (const Rank rank : AllRanks) {
        lines_[rankIndex(rank)].floor = std::clamp(floors[rankIndex(rank)], 0.0, 1.0);
    }
}

QueueTicket RankQueue::push(const QueuedRequest &request, TimePoint now)
{
    settle(limit_, now);
    Line &line = lines_[rankIndex(request.rank)];
    if (line.callers.size() == 0) {
        line.pace = 1;
    }
    return line.callers.push(request);
}

bool RankQueue::remove(const QueueTicket &ticket, TimePoint now)
{
    settle(limit_, now);
    return lines_[rankIndex(ticket.rank)].callers.remove(ticket);
}

std::optional<SubRequestId> RankQueue::pop(std::uint32_t limit, TimePoint now)
{
    settle(limit, now);
    if (running() >= limit) {
        return std::nullopt;
    }
    const std::optional<Rank> rank = nextRank();
    if (!rank) {
        return std::nullopt;
    }
    learnPace(*rank);
    Line &line = lines_[rankIndex(*rank)];
    ++line.running;
    line.owed = std::max(line.owed - oneService(line), -oneService(line));
    return line.callers.pop();
}

void RankQueue::release(Rank rank, TimePoint now)
{
    settle(limit_, now);
    Line &line = lines_[rankIndex(rank)];
    line.running -= std::min<std::uint32_t>(line.running, 1);
}

void RankQueue::learnService(Rank rank, Duration took)
{
    lines_[rankIndex(rank)].service.add(took);
    service_.add(took);
}

Duration RankQueue::estimatedWait(Rank rank, const CallerId &caller, std::uint32_t share, std::uint32_t limit) const
{
    const Line &line = lines_[rankIndex(rank)];
    return drainTime(line, line.callers.ahead(caller, share), limit);
}

Duration RankQueue::queueDelay(Rank rank, std::uint32_t limit) const
{
    const Line &line = lines_[rankIndex(rank)];
    return drainTime(line, static_cast<double>(line.callers.size()), limit);
}

Duration RankQueue::serviceTime(Rank rank) const
{
    const LatencyAverage &own = lines_[rankIndex(rank)].service;
    return own.known() ? own.value() : service_.value();
}

std::size_t RankQueue::waiting(Rank rank) const
{
    return lines_[rankIndex(rank)].callers.size();
}

std::size_t RankQueue::waiting() const
{
    return std::accumulate(lines_.begin(), lines_.end(), std::size_t{0}, [](std::size_t sum, const Line &line) { return sum + line.callers.size(); });
}

std::uint32_t RankQueue::running(Rank rank) const
{
    return lines_[rankIndex(rank)].running;
}

std::uint32_t RankQueue::running() const
{
    return std::accumulate(lines_.begin(), lines_.end(), std::uint32_t{0}, [](std::uint32_t sum, const Line &line) { return sum + line.running; });
}

/// Brings what each rank is owed up to the present.
void RankQueue::settle(std::uint32_t limit, TimePoint now)
{
    const auto span = static_cast<double>(std::max(now - settledAt_, Duration{0}).count());
    for (Line &line : lines_) {
        const double most = line.callers.size() > 0 ? mostOwed(line) : 0.0;
        line.owed = std::min(line.owed + line.floor * limit_ * span, most);
    }
    settledAt_ = now;
    limit_ = limit;
}

std::optional<Rank> RankQueue::nextRank() const
{
    for (const Rank rank : AllRanks) {
        const Line &line = lines_[rankIndex(rank)];
        if (line.callers.size() > 0 && line.floor > 0 && line.owed >= oneService(line) * OwedPart) {
            return rank;
        }
    }
    for (const Rank rank : AllRanks) {
        if (lines_[rankIndex(rank)].callers.size() > 0) {
            return rank;
        }
    }
    return std::nullopt;
}

void RankQueue::learnPace(Rank chosen)
{
    for (const Rank rank : AllRanks) {
        Line &line = lines_[rankIndex(rank)];
        if (line.callers.size() > 0) {
            line.pace += ((rank == chosen ? 1 : 0) - line.pace) * PaceWeight;
        }
    }
}

Duration RankQueue::drainTime(const Line &line, double ahead, std::uint32_t limit) const
{
    const std::uint32_t slots = std::max<std::uint32_t>(limit, 1);
    const double everySlot = static_cast<double>(service_.value().count()) / slots;
    const double residual = running() >= slots ? everySlot : 0;
    const double pace = std::max({line.pace, line.floor, LeastPace});
    return Duration(static_cast<Duration::rep>(residual + ahead * everySlot / pace));
}

/// One service time of the rank, in microseconds of slot time.
double RankQueue::oneService(const Line &line) const
{
    const Duration service = line.service.known() ? line.service.value() : service_.value();
    return static_cast<double>(std::max(service, service_.known() ? Duration{1} : UnknownService).count());
}

/// A rank may have to wait for the longest service of any rank before a slot is free, and is owed its
/// floor for that time.
double RankQueue::mostOwed(const Line &line) const
{
    double longest = 0;
    for (const Line &any : lines_) {
        longest = std::max(longest, oneService(any));
    }
    return std::max(oneService(line), OwedServices * longest * line.floor * limit_);
}

} // namespace Burdock
