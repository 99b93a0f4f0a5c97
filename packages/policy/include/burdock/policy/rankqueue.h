#pragma once

#include <burdock/policy/fairshare.h>
#include <burdock/policy/latencyaverage.h>
#include <burdock/values/rank.h>
#include <burdock/values/subrequest.h>

#include <cstdint>
#include <optional>

namespace Burdock
{

/// Orders the sub-requests of one backend server and counts the slots in use.
///
/// More urgent ranks go first. A rank that has work and has had less than its floor of the slots, by
/// slot time, goes before more urgent ones until it has had it. Slots that a rank has no use for go to
/// the others. Within a rank, callers share by weight; see FairShare for the order of one caller's work.
class RankQueue
{
public:
    explicit RankQueue(const PerRank<double> &floors);

    /// Changes the parts of the slots that the ranks keep; waiting work stays.
    void setFloors(const PerRank<double> &floors);

    /// Adds a sub-request; the ticket takes it out again.
    QueueTicket push(const QueuedRequest &request, TimePoint now);

    /// Takes out a waiting sub-request; false where it no longer waits.
    bool remove(const QueueTicket &ticket, TimePoint now);

    /// Takes the next sub-request and a slot for it; nothing where no slot of `limit` is free or none waits.
    std::optional<SubRequestId> pop(std::uint32_t limit, TimePoint now);

    /// Gives back a slot taken by `pop`.
    void release(Rank rank, TimePoint now);

    /// Tells how long one sub-request held its slot.
    void learnService(Rank rank, Duration took);

    /// How long a sub-request of this caller would wait now, at its fair share of the rank's pace.
    Duration estimatedWait(Rank rank, const CallerId &caller, std::uint32_t share, std::uint32_t limit) const;

    /// How long the last in line of the rank waits.
    Duration queueDelay(Rank rank, std::uint32_t limit) const;

    /// How long a sub-request of the rank holds its slot on average; zero while unknown.
    Duration serviceTime(Rank rank) const;

    std::size_t waiting(Rank rank) const;
    std::size_t waiting() const;
    std::uint32_t running(Rank rank) const;
    std::uint32_t running() const;

private:
    struct Line
    {
        FairShare callers;
        double floor = 0;
        std::uint32_t running = 0;
        /// Slot time, in microseconds, by which the rank is behind its floor; negative when ahead.
        double owed = 0;
        /// The part of recent slots that went to this rank while it had work waiting.
        double pace = 1;
        LatencyAverage service;
    };

    void settle(std::uint32_t limit, TimePoint now);
    std::optional<Rank> nextRank() const;
    void learnPace(Rank chosen);
    Duration drainTime(const Line &line, double ahead, std::uint32_t limit) const;
    double oneService(const Line &line) const;
    double mostOwed(const Line &line) const;

    PerRank<Line> lines_;
    LatencyAverage service_;
    std::uint32_t limit_ = 1;
    TimePoint settledAt_{};
};

} // namespace Burdock
