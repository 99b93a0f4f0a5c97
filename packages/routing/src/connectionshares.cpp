#include <burdock/routing/connectionshares.h>

#include <burdock/routing/instancerole.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// The weight of an instance that is cut off: it holds hardly any connections now, but the cut may end before the others hear of it.
constexpr double CutOffWeight = 0.5;

} // namespace

ConnectionShares::ConnectionShares(InstanceId self)
    : self_(std::move(self))
{
}

void ConnectionShares::setHolders(const std::vector<ConnectionHolder> &holders, TimePoint now)
{
    const std::map<InstanceId, bool> before = std::exchange(holders_, {});
    std::set<InstanceId> cutOff;
    for (const ConnectionHolder &holder : holders) {
        holders_[holder.id] = holder.cutOff;
        left_.erase(holder.id);
        if (holder.cutOff) {
            cutOff.insert(holder.id);
        }
    }
    for (const auto &[id, wasCutOff] : before) {
        if (holders_.count(id) == 0) {
            left_[id] = now + StoppingTime;
        }
    }
    const auto self = before.find(self_);
    const bool wasCutOff = self != before.end() && self->second;
    if (cutOff.count(self_) > 0) {
        unconfirmed_.clear();
    } else if (wasCutOff) {
        unconfirmed_ = cutOff;
        reconnectedUntil_ = now + StoppingTime;
    }
    for (auto id = unconfirmed_.begin(); id != unconfirmed_.end();) {
        id = cutOff.count(*id) > 0 ? std::next(id) : unconfirmed_.erase(id);
    }
}

double ConnectionShares::fraction(TimePoint now)
{
    for (auto left = left_.begin(); left != left_.end();) {
        left = left->second <= now ? left_.erase(left) : std::next(left);
    }
    const auto self = holders_.find(self_);
    if (self != holders_.end()) {
        return UsedFraction * partOfHolder(self->second, now);
    }
    return left_.count(self_) > 0 ? fractionAfterLeaving() : 0;
}

double ConnectionShares::weights(TimePoint now) const
{
    // Others may have come back as well, also those whose cuts this instance hears of only now.
    const bool reconnected = now < reconnectedUntil_;
    double sum = 0;
    for (const auto &[id, cutOff] : holders_) {
        sum += cutOff && !reconnected && unconfirmed_.count(id) == 0 ? CutOffWeight : 1;
    }
    return sum;
}

double ConnectionShares::partOfHolder(bool cutOff, TimePoint now) const
{
    const auto left = static_cast<double>(left_.size());
    if (cutOff) {
        return CutOffWeight / (weights(now) + left * CutOffWeight);
    }
    return 1 / (weights(now) + (now < reconnectedUntil_ ? left : 0));
}

double ConnectionShares::fractionAfterLeaving() const
{
    const bool allCutOff = std::all_of(holders_.begin(), holders_.end(), [](const auto &holder) { return holder.second; });
    return holders_.empty() || !allCutOff ? 0 : UsedFraction / static_cast<double>(holders_.size() + left_.size());
}

} // namespace Burdock
