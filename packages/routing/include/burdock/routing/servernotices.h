#pragma once

#include <burdock/routing/servertable.h>
#include <burdock/values/runtime.h>

#include <unordered_map>

namespace Burdock
{

/// Knows which servers have asked in their answers for no more requests: for a while, or since they are leaving.
///
/// Load: a server that is about to stop or needs a rest, at a time at which the store does not say so, since it is away or the server
/// cannot reach it. What a server says holds until it starts anew, which another time of birth shows.
class ServerNotices
{
public:
    /// The server is leaving; returns whether that is news.
    bool onLeaving(const ServerEntry &server, TimePoint now);

    /// The server wants no requests for the given time; returns whether that is longer than was known.
    bool onPause(const ServerEntry &server, Duration span, TimePoint now);

    /// Whether the server may get a request.
    bool accepts(const ServerEntry &server, TimePoint now) const;

    /// Returns when the server accepts requests again: the past if it does, and the greatest time if it is leaving.
    TimePoint acceptsFrom(const ServerEntry &server) const;

    std::size_t size() const
    {
        return notices_.size();
    }

private:
    struct Notice
    {
        std::int64_t born = 0;
        TimePoint until{};
        TimePoint heardAt{};
    };

    bool extend(const ServerEntry &server, TimePoint until, TimePoint now);

    std::unordered_map<ServerId, Notice> notices_;
};

} // namespace Burdock
