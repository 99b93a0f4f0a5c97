#include <burdock/routing/servernotices.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// Servers of a large deployment that leave within minutes of each other; beyond, what was heard first is dropped.
constexpr std::size_t MaxNotices = 8192;

} // namespace

bool ServerNotices::extend(const ServerEntry &server, TimePoint until, TimePoint now)
{
    const auto found = notices_.find(server.id);
    if (found == notices_.end() && notices_.size() >= MaxNotices) {
        notices_.erase(
            std::min_element(notices_.begin(), notices_.end(), [](const auto &left, const auto &right) { return left.second.heardAt < right.second.heardAt; }));
    }
    Notice &notice = notices_[server.id];
    if (notice.born != server.born) {
        notice = Notice{server.born, {}, {}};
    }
    notice.heardAt = now;
    const bool isNews = until > notice.until;
    notice.until = std::max(notice.until, until);
    return isNews;
}

bool ServerNotices::onLeaving(const ServerEntry &server, TimePoint now)
{
    return extend(server, TimePoint::max(), now);
}

bool ServerNotices::onPause(const ServerEntry &server, Duration span, TimePoint now)
{
    return extend(server, now + span, now);
}

TimePoint ServerNotices::acceptsFrom(const ServerEntry &server) const
{
    const auto found = notices_.find(server.id);
    return found == notices_.end() || found->second.born != server.born ? TimePoint{} : found->second.until;
}

bool ServerNotices::accepts(const ServerEntry &server, TimePoint now) const
{
    return acceptsFrom(server) <= now;
}

} // namespace Burdock
