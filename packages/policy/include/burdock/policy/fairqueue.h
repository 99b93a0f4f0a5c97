#pragma once

#include <burdock/values/rank.h>
#include <burdock/values/subrequest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace Burdock
{

/// A sub-request as the queue needs it.
struct QueuedRequest
{
    SubRequestId id;
    CallerId caller;
    Rank rank = Rank::Batch;
    /// The weight of the caller relative to the other callers of its rank; at least 1.
    std::uint32_t weight = 1;
    TimePoint arrived{};
    TimePoint deadline{};
};

/// Identifies a queued sub-request, so that it can be removed.
struct QueueTicket
{
    Rank rank = Rank::Batch;
    CallerId caller;
    TimePoint dueAt{};
    std::uint64_t sequence = 0;
};

/// The queue of one rank, shared by callers in proportion to their weights (start-time fair queueing).
///
/// The requests of one caller are ordered by the time at which half of their time budget has passed. Requests
/// with a short budget overtake those with a long one, and no request starves.
class FairQueue
{
public:
    QueueTicket push(const QueuedRequest &request);
    bool remove(const QueueTicket &ticket);
    /// Removes and returns the next sub-request; nothing if the queue is empty.
    std::optional<SubRequestId> pop();

    std::size_t size() const;

    /// How many sub-requests would be served before a new one of this caller if all weights stay the same.
    double requestsAhead(const CallerId &caller, std::uint32_t weight) const;

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

    struct CallerQueue
    {
        std::set<Entry> entries;
        double weight = 1;
        /// The virtual time at which the caller's next turn starts.
        double startTag = 0;
    };

    void removeIdleCallers();

    std::map<CallerId, CallerQueue> callers_;
    double virtualTime_ = 0;
    std::uint64_t lastSequence_ = 0;
    std::size_t size_ = 0;
};

} // namespace Burdock
