#include <burdock/policy/memberupdates.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

void MemberUpdates::add(const InstanceId &member)
{
    const auto known = std::find_if(queue_.begin(), queue_.end(), [&member](const News &news) { return news.member == member; });
    if (known != queue_.end()) {
        queue_.erase(known);
    }
    queue_.push_front({member, 0});
}

void MemberUpdates::offer(std::uint32_t limit, const std::function<bool(const InstanceId &)> &take)
{
    for (std::size_t left = queue_.size(); left > 0 && take(queue_.front().member); --left) {
        News news = std::move(queue_.front());
        queue_.pop_front();
        if (++news.told < limit) {
            queue_.push_back(std::move(news));
        }
    }
}

std::size_t MemberUpdates::size() const
{
    return queue_.size();
}

} // namespace Burdock
