#include <burdock/policy/fairqueue.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// A sub-request is due after its time budget divided by this.
constexpr int DueDivisor = 2;
/// Idle callers are removed once there are more callers than this.
constexpr std::size_t IdleCleanupThreshold = 64;

} // namespace

QueueTicket FairQueue::push(const QueuedRequest &request)
{
    CallerQueue &queue = callers_[request.caller];
    queue.weight = std::max<std::uint32_t>(request.weight, 1);
    if (queue.entries.empty()) {
        queue.startTag = std::max(queue.startTag, virtualTime_);
    }
    const TimePoint dueAt = request.arrived + (request.deadline - request.arrived) / DueDivisor;
    const Entry entry{dueAt, ++lastSequence_, request.id};
    queue.entries.insert(entry);
    ++size_;
    return {request.rank, request.caller, dueAt, entry.sequence};
}

bool FairQueue::remove(const QueueTicket &ticket)
{
    const auto queue = callers_.find(ticket.caller);
    if (queue == callers_.end() || queue->second.entries.erase(Entry{ticket.dueAt, ticket.sequence, {}}) == 0) {
        return false;
    }
    --size_;
    return true;
}

std::optional<SubRequestId> FairQueue::pop()
{
    CallerQueue *earliest = nullptr;
    for (auto &[caller, queue] : callers_) {
        if (!queue.entries.empty() && (earliest == nullptr || queue.startTag < earliest->startTag)) {
            earliest = &queue;
        }
    }
    if (earliest == nullptr) {
        return std::nullopt;
    }
    virtualTime_ = earliest->startTag;
    earliest->startTag += 1 / earliest->weight;
    SubRequestId id = earliest->entries.begin()->id;
    earliest->entries.erase(earliest->entries.begin());
    --size_;
    removeIdleCallers();
    return id;
}

std::size_t FairQueue::size() const
{
    return size_;
}

double FairQueue::requestsAhead(const CallerId &caller, std::uint32_t weight) const
{
    const double callerWeight = std::max<std::uint32_t>(weight, 1);
    const auto own = callers_.find(caller);
    const double ownRequests = own == callers_.end() ? 0 : static_cast<double>(own->second.entries.size());
    double total = ownRequests;
    for (const auto &[name, queue] : callers_) {
        if (name != caller) {
            total += std::min(static_cast<double>(queue.entries.size()), (ownRequests + 1) * queue.weight / callerWeight);
        }
    }
    return total;
}

void FairQueue::removeIdleCallers()
{
    if (callers_.size() <= IdleCleanupThreshold) {
        return;
    }
    for (auto queue = callers_.begin(); queue != callers_.end();) {
        const bool idle = queue->second.entries.empty() && queue->second.startTag <= virtualTime_;
        queue = idle ? callers_.erase(queue) : std::next(queue);
    }
}

} // namespace Burdock
