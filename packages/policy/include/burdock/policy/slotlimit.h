#pragma once

#include <burdock/values/runtime.h>

#include <cstdint>
#include <vector>

namespace Burdock
{

/// How many requests one backend server is given at a time: at most its declared slots, fewer while it
/// sheds or slows under them.
///
/// Starts at half the declared slots, since a server may be cold. A shed takes the limit down by a
/// third, once for all requests that were under way together. Where the median service time rises well
/// above what it was, requests wait inside the server, out of reach of the rank queue: the limit goes
/// down by one, but not below half the declared slots, since a server may also be slow by itself. A run
/// of answers as long as the limit, gained while the limit was in use, takes it up by one.
class SlotLimit
{
public:
    explicit SlotLimit(std::uint32_t declared);

    /// Changes the declared slots.
    void setDeclared(std::uint32_t declared);

    /// The limit now; at least 1.
    std::uint32_t current() const;

    /// A request begun at `started` was answered after `took`; `limited` where all slots of the limit
    /// were in use meanwhile.
    void answered(TimePoint started, Duration took, bool limited, TimePoint now);

    /// A request begun at `started` was refused for lack of a slot or a connection.
    void shed(TimePoint started, TimePoint now);

private:
    void learnService(Duration took, TimePoint now);
    void judge(double median, TimePoint now);

    std::uint32_t declared_;
    std::uint32_t limit_;
    std::uint32_t answersInARow_ = 0;
    TimePoint loweredAt_{};
    /// The service times since the last judgement.
    std::vector<Duration> window_;
    /// The usual median service time in microseconds; zero while unknown.
    double usual_ = 0;
    bool slowed_ = false;
};

} // namespace Burdock
