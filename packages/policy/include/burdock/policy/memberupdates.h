#pragma once

#include <burdock/values/names.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

namespace Burdock
{

/// Queue of members with updates to transmit, one entry per member, least often transmitted first.
class MemberUpdates
{
public:
    /// Queues a changed member at the front, with no transmissions counted.
    void add(const InstanceId &member);

    /// Passes the members in order to `accept` until it refuses one. Each accepted member counts as transmitted once
    /// more, and is removed after `limit` transmissions.
    void transmit(std::uint32_t limit, const std::function<bool(const InstanceId &)> &accept);

    std::size_t size() const;

private:
    struct Pending
    {
        InstanceId member;
        std::uint32_t transmissions;
    };

    /// Transmitted entries move to the back, so the front is always the least often transmitted.
    std::deque<Pending> queue_;
};

} // namespace Burdock
