#pragma once

#include <burdock/values/names.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

namespace Burdock
{

/// The members about whom there is pending to pass on, one entry each, the least often transmissions first.
class MemberUpdates
{
public:
    /// The fact about the member has changed; it is transmissions afresh, before all others.
    void add(const InstanceId &member);

    /// Offers the members in order until `accept` refuses one; each that it takes counts as transmissions once more. A member
    /// that was transmissions `limit` times is dropped.
    void transmit(std::uint32_t limit, const std::function<bool(const InstanceId &)> &accept);

    std::size_t size() const;

private:
    struct Pending
    {
        InstanceId member;
        std::uint32_t transmissions;
    };

    /// Told ones go to the back, so that the front is always the least transmissions.
    std::deque<Pending> queue_;
};

} // namespace Burdock
