#pragma once

#include <burdock/values/names.h>
#include <burdock/values/runtime.h>

#include <map>
#include <optional>
#include <vector>

namespace Burdock
{

/// The part of all rates that belongs to this instance: one divided by the number of instances that send requests to servers.
///
/// The parts of all instances add up to one while they agree on who sends. What they may see differently is bounded: a sender that is lost
/// keeps counting for `SenderMemory`; an instance that hears neither from the store nor from most of the others gives up its part before
/// they divide it; and an instance that has just learned of the others uses a fraction of its part.
class RatePart
{
public:
    explicit RatePart(InstanceId self);

    /// Sets the instances that clients are directed to; none while they are not known.
    void setSenders(const std::vector<InstanceId> &senders, TimePoint now);

    /// The store, or an instance that holds the parts of most senders, has shown that this one counts.
    void onConfirmed(TimePoint at);

    /// Returns the part; zero if this instance has none.
    double part(TimePoint now);

    /// Returns the number of instances among which the rates are divided, at least 1.
    std::size_t senders() const;

    /// How long a lost sender counts. Its part is not used meanwhile; instances restart within this time.
    static constexpr Duration SenderMemory = std::chrono::seconds(60);

private:
    void forgetOld(TimePoint now);

    const InstanceId self_;
    /// Each with the time since which it is missing.
    std::map<InstanceId, std::optional<TimePoint>> senders_;
    std::optional<TimePoint> knownSince_;
    TimePoint confirmedAt_{};
};

} // namespace Burdock
