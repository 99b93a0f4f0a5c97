#pragma once

#include <burdock/values/runtime.h>

#include <cstdint>
#include <vector>

namespace Burdock
{

/// Adaptive concurrency limit for one backend server: at most its declared slots, fewer while it sheds requests
/// or slows down.
///
/// The limit starts at half the declared slots, because a server may be cold. A shed request lowers it by a
/// third, once for all requests that were in flight together. If the median service time rises well above its
/// baseline, requests queue inside the server, where the rank queue cannot order them: the limit then drops by
/// one, but not below half the declared slots, because the server may be slow for other reasons. After as many
/// consecutive answers as the limit, received while all its slots were in use, it rises by one.
class SlotLimit
{
public:
    explicit SlotLimit(std::uint32_t declaredSlots);

    void setDeclared(std::uint32_t declaredSlots);

    /// The current limit; at least 1.
    std::uint32_t current() const;

    /// Records a request started at `started` that was answered after `took`. `limited` is true if all slots of the
    /// limit were in use.
    void onAnswered(TimePoint started, Duration took, bool limited, TimePoint now);

    /// Records a request started at `started` that was refused for lack of a slot or a connection.
    void onShed(TimePoint started, TimePoint now);

private:
    void recordServiceTime(Duration took, TimePoint now);
    void adjustToMedian(double median, TimePoint now);

    std::uint32_t declaredSlots_;
    std::uint32_t limit_;
    std::uint32_t consecutiveAnswers_ = 0;
    TimePoint loweredAt_{};
    /// The service times since the last adjustment.
    std::vector<Duration> window_;
    /// The usual median service time in microseconds; zero while unknown.
    double baselineMedian_ = 0;
    bool slowed_ = false;
};

} // namespace Burdock
