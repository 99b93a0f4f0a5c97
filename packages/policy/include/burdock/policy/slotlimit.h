#pragma once

#include <burdock/values/runtime.h>

#include <cstdint>

namespace Burdock
{

/// How many requests one backend server is given at a time: at most its declared slots, fewer while it sheds.
///
/// Starts at half the declared slots, since a server may be cold. A shed takes the limit down by a
/// third, once for all requests that were under way together; a run of answers as long as the limit,
/// gained while the limit was in use, takes it up by one.
class SlotLimit
{
public:
    explicit SlotLimit(std::uint32_t declared);

    /// Changes the declared slots.
    void setDeclared(std::uint32_t declared);

    /// The limit now; at least 1.
    std::uint32_t current() const;

    /// A request begun at `started` was answered; `limited` where all slots of the limit were in use meanwhile.
    void answered(TimePoint started, bool limited);

    /// A request begun at `started` was shed for lack of a slot.
    void shed(TimePoint started, TimePoint now);

private:
    std::uint32_t declared_;
    std::uint32_t limit_;
    std::uint32_t answersInARow_ = 0;
    TimePoint loweredAt_{};
};

} // namespace Burdock
