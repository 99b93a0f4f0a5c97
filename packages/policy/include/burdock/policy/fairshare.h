#pragma once

#include <burdock/values/rank.h>
#include <burdock/values/subrequest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace Burdock
{

/// One sub-request as a queue sees it.
struct QueuedRequest
{
    SubRequestId id;
    CallerId caller;
    Rank rank = Rank::Batch;
    /// The caller's weight among the callers of its rank; at least 1.
    std::uint32_t share = 1;
    TimePoint arrived{};
    TimePoint deadline{};
};

/// Where a queued sub-request stands; enough to take it out.
struct QueueTicket
{
    Rank rank = Rank::Batch;
    CallerId caller;
    TimePoint dueAt{};
    std::uint64_t sequence = 0;
};

/// The queue of one rank: callers take turns in proportion to their weights (start-time fair queueing).
///
/// One caller's own work goes by the moment at which half of its time is used up. So work with little
/// time passes work with much, but no work is passed for ever.
class FairShare
{
public:
    QueueTicket push(const QueuedRequest &request);
    bool remove(const QueueTicket &ticket);
    /// Takes the next sub-request; nothing where none waits.
    std::optional<SubRequestId> pop();

    std::size_t size() const;

    /// How many sub-requests are served before a new one of this caller, if all keep their weights.
    double ahead(const CallerId &caller, std::uint32_t share) const;

private:
    struct Entry
    {
        TimePoint dueAt;
        std::uint64_t sequence;
        SubRequestId id;

        bool operator<(const Entry &other) const
        {
            return std::tie(dueAt, sequence) < std::tie(other.dueAt, other.sequence);
        }
    };

    struct CallerLine
    {
        std::set<Entry> entries;
        double share = 1;
        /// The virtual time at which the caller's next turn begins.
        double start = 0;
    };

    void forgetIdle();

    std::map<CallerId, CallerLine> lines_;
    double virtualTime_ = 0;
    std::uint64_t sequence_ = 0;
    std::size_t size_ = 0;
};

} // namespace Burdock
