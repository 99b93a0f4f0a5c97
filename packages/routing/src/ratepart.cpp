#include <burdock/routing/ratepart.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Burdock
{

namespace
{

/// The first lists of the senders may lack many of them, and have others instead.
constexpr Duration SettlingTime = std::chrono::seconds(3);
constexpr double UnsettledDivisor = 2;
/// An instance that is isolated gives up its part this long before the others divide it.
constexpr Duration IsolationMargin = std::chrono::seconds(10);
/// While half of the senders or more are missing, they may be the larger side of a partition and still use their parts.
constexpr Duration PartitionMemory = std::chrono::minutes(10);
constexpr std::size_t PartitionDivisor = 2;

} // namespace

RatePart::RatePart(InstanceId self)
    : self_(std::move(self))
{
}

void RatePart::setSenders(const std::vector<InstanceId> &senders, TimePoint now)
{
    if (!senders.empty() && !knownSince_) {
        knownSince_ = now;
    }
    const std::set<InstanceId> listed(senders.begin(), senders.end());
    for (auto &[id, missingSince] : senders_) {
        if (listed.count(id) > 0) {
            missingSince.reset();
        } else if (!missingSince) {
            missingSince = now;
        }
    }
    for (const InstanceId &id : senders) {
        senders_.try_emplace(id);
    }
    forgetOld(now);
}

void RatePart::forgetOld(TimePoint now)
{
    const auto missing =
        static_cast<std::size_t>(std::count_if(senders_.begin(), senders_.end(), [](const auto &sender) { return sender.second.has_value(); }));
    if (missing == 0) {
        return;
    }
    const bool settled = knownSince_ && now - *knownSince_ >= SettlingTime;
    const Duration memory = !settled ? Duration{0} : missing * PartitionDivisor >= senders_.size() ? PartitionMemory : SenderMemory;
    for (auto sender = senders_.begin(); sender != senders_.end();) {
        sender = sender->second && *sender->second + memory <= now ? senders_.erase(sender) : std::next(sender);
    }
}

void RatePart::onConfirmed(TimePoint at)
{
    confirmedAt_ = std::max(confirmedAt_, at);
}

double RatePart::part(TimePoint now)
{
    forgetOld(now);
    if (!knownSince_ || senders_.count(self_) == 0 || now - confirmedAt_ >= SenderMemory - IsolationMargin) {
        return 0;
    }
    const double part = 1 / static_cast<double>(senders());
    return now - *knownSince_ < SettlingTime ? part / UnsettledDivisor : part;
}

std::size_t RatePart::senders() const
{
    return std::max<std::size_t>(senders_.size(), 1);
}

} // namespace Burdock
