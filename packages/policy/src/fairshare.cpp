#include <burdock/policy/fairshare.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// The part of its time after which a sub-request is due.
constexpr int DueDivisor = 2;
/// Idle callers are looked for and forgotten when there are more than this many.
constexpr std::size_t CallersKept = 64;

} // namespace

QueueTicket FairShare::push(const QueuedRequest &request)
{
    CallerLine &line = lines_[request.caller];
    line.share = std::max<std::uint32_t>(request.share, 1);
    if (line.entries.empty()) {
        line.start = std::max(line.start, virtualTime_);
    }
    const TimePoint dueAt = request.arrived + (request.deadline - request.arrived) / DueDivisor;
    const Entry entry{dueAt, ++sequence_, request.id};
    line.entries.insert(entry);
    ++size_;
    return {request.rank, request.caller, dueAt, entry.sequence};
}

bool FairShare::remove(const QueueTicket &ticket)
{
    const auto line = lines_.find(ticket.caller);
    if (line == lines_.end() || line->second.entries.erase(Entry{ticket.dueAt, ticket.sequence, {}}) == 0) {
        return false;
    }
    --size_;
    return true;
}

std::optional<SubRequestId> FairShare::pop()
{
    CallerLine *next = nullptr;
    for (auto &[caller, line] : lines_) {
        if (!line.entries.empty() && (next == nullptr || line.start < next->start)) {
            next = &line;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    virtualTime_ = next->start;
    next->start += 1 / next->share;
    SubRequestId id = next->entries.begin()->id;
    next->entries.erase(next->entries.begin());
    --size_;
    forgetIdle();
    return id;
}

std::size_t FairShare::size() const
{
    return size_;
}

double FairShare::ahead(const CallerId &caller, std::uint32_t share) const
{
    const double weight = std::max<std::uint32_t>(share, 1);
    const auto own = lines_.find(caller);
    const double turns = own == lines_.end() ? 0 : static_cast<double>(own->second.entries.size());
    double total = turns;
    for (const auto &[name, line] : lines_) {
        if (name != caller) {
            total += std::min(static_cast<double>(line.entries.size()), (turns + 1) * line.share / weight);
        }
    }
    return total;
}

void FairShare::forgetIdle()
{
    if (lines_.size() <= CallersKept) {
        return;
    }
    for (auto line = lines_.begin(); line != lines_.end();) {
        const bool idle = line->second.entries.empty() && line->second.start <= virtualTime_;
        line = idle ? lines_.erase(line) : std::next(line);
    }
}

} // namespace Burdock
