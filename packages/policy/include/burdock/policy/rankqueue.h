#pragma once

#include <burdock/policy/fairqueue.h>
#include <burdock/policy/latencyaverage.h>
#include <burdock/values/rank.h>
#include <burdock/values/subrequest.h>

#include <cstdint>
#include <optional>

namespace Burdock
{

/// Schedules the sub-requests of one backend server and counts the slots in use.
///
/// More urgent ranks go first. Each rank has a reserved fraction of the slot time; a rank with waiting
/// requests that has received less goes before more urgent ranks until it has caught up. Slots that a rank
/// does not use go to the others. Within a rank, callers share the slots by weight; see FairQueue for the
/// order of one caller's requests.
class RankQueue
{
public:
    explicit RankQueue(const PerRank<double> &reservedFractions);

    /// Changes the reserved fractions of the ranks. Waiting requests stay queued.
    void setReservedFractions(const PerRank<double> &reservedFractions);

    /// Adds a sub-request. The ticket can be passed to `remove`.
    QueueTicket push(const QueuedRequest &request, TimePoint now);

    /// Removes a waiting sub-request; false if it is no longer waiting.
    bool remove(const QueueTicket &ticket, TimePoint now);

    /// Removes the next sub-request and occupies a slot; nothing if `limit` slots are in use or the queue is empty.
    std::optional<SubRequestId> pop(std::uint32_t limit, TimePoint now);

    /// Frees a slot occupied by `pop`.
    void release(Rank rank, TimePoint now);

    /// Records how long a sub-request held its slot.
    void recordServiceTime(Rank rank, Duration took);

    /// How long a new sub-request of this caller would wait, given its fair share of the rank's slots.
    Duration estimatedWait(Rank rank, const CallerId &caller, std::uint32_t weight, std::uint32_t limit) const;

    /// How long the last request in the rank's queue will wait.
    Duration queueDelay(Rank rank, std::uint32_t limit) const;

    /// How long a sub-request of the rank holds its slot on average; zero while unknown.
    Duration serviceTime(Rank rank) const;

    std::size_t waiting(Rank rank) const;
    std::size_t waiting() const;
    std::uint32_t running(Rank rank) const;
    std::uint32_t running() const;

private:
    struct RankState
    {
        FairQueue callers;
        double reservedFraction = 0;
        std::uint32_t running = 0;
        /// Slot time in microseconds that the rank is behind its reserved fraction; negative if it is ahead.
        double deficit = 0;
        /// The fraction of recent slots that went to this rank while it had requests waiting.
        double slotFraction = 1;
        LatencyAverage service;
    };

    void updateDeficits(std::uint32_t limit, TimePoint now);
    std::optional<Rank> nextRank() const;
    void updateSlotFractions(Rank chosen);
    Duration drainTime(const RankState &state, double requestsAhead, std::uint32_t limit) const;
    double meanServiceTime(const RankState &state) const;
    double maxDeficit(const RankState &state) const;

    PerRank<RankState> ranks_;
    LatencyAverage service_;
    std::uint32_t limit_ = 1;
    TimePoint deficitsUpdatedAt_{};
};

} // namespace Burdock
