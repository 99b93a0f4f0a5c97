#pragma once

#include <burdock/values/names.h>
#include <burdock/values/runtime.h>

#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace Burdock
{

/// An instance that holds connections to servers, and whether it is cut off from them.
struct ConnectionHolder
{
    InstanceId id;
    bool cutOff = false;

    auto fields() const
    {
        return std::tie(id, cutOff);
    }
};

/// Divides the connections that a server accepts among the instances.
///
/// Load: some instances are cut off from the servers and pass their requests on, while others are killed, or leave and still serve
/// for a few seconds. Instances that serve for others need more connections. None knows what the others hold, each learns of a change
/// at another moment, and a cut may end at any time. An instance that is cut off therefore counts half, for itself and for the others.
/// One that clients are no longer directed to holds as few connections as it can, unless all that they are directed to are cut off:
/// then it is among the last that reach the servers. docs/notes/cutoff.md has the sums.
class ConnectionShares
{
public:
    explicit ConnectionShares(InstanceId self);

    /// Sets the instances that clients are directed to while none is cut off. One that is no longer among them counts for a while.
    void setHolders(const std::vector<ConnectionHolder> &holders, TimePoint now);

    /// Returns the fraction of a server's connections that this instance may hold; zero if it is to use as few as it can.
    double fraction(TimePoint now);

    /// The fraction that all instances use together; the rest covers those that start or leave, and that disagree on the others.
    static constexpr double UsedFraction = 0.8;

private:
    /// Returns this instance's part of what all use together while clients are directed to it.
    double partOfHolder(bool cutOff, TimePoint now) const;
    /// Returns the fraction of an instance that has left.
    double fractionAfterLeaving() const;
    /// Returns the sum of the holders' weights.
    double weights(TimePoint now) const;

    const InstanceId self_;
    /// Whether each of the instances is cut off.
    std::map<InstanceId, bool> holders_;
    /// Those that clients are no longer directed to, and until when they count.
    std::map<InstanceId, TimePoint> left_;
    /// Those that were cut off when this instance reached the servers again, and have not said since that they do too.
    std::set<InstanceId> unconfirmed_;
    /// Until when the others may still take this instance for cut off.
    TimePoint reconnectedUntil_{};
};

} // namespace Burdock
