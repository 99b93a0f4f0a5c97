#include <burdock/policy/memberupdates.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

void MemberUpdates::add(const InstanceId &member)
{
    const auto known = std::find_if(queue_.begin(), queue_.end(), [&member](const Pending &pending) { return pending.member == member; });
    if (known != queue_.end()) {
        queue_.erase(known);
    }
    queue_.push_front({member, 0});
}

void MemberUpdates::transmit(std::uint32_t limit, const std::function<bool(const InstanceId &)> &accept)
{
    for (std::size_t left = queue_.size(); left > 0 && accept(queue_.front().member); --left) {
        Pending pending = std::move(queue_.front());
        queue_.pop_front();
        if (++pending.transmissions < limit) {
            queue_.push_back(std::move(pending));
        }
    }
}

std::size_t MemberUpdates::size() const
{
    return queue_.size();
}

} // namespace Burdock
