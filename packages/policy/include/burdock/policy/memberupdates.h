#pragma once

#include <burdock/values/names.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

namespace Burdock
{

/// The members about whom there is news to pass on, one entry each, the least often told first.
class MemberUpdates
{
public:
    /// The fact about the member has changed; it is told afresh, before all others.
    void add(const InstanceId &member);

    /// Offers the members in order until `take` refuses one; each that it takes counts as told once more. A member
    /// that was told `limit` times is dropped.
    void offer(std::uint32_t limit, const std::function<bool(const InstanceId &)> &take);

    std::size_t size() const;

private:
    struct News
    {
        InstanceId member;
        std::uint32_t told;
    };

    /// Told ones go to the back, so that the front is always the least told.
    std::deque<News> queue_;
};

} // namespace Burdock
