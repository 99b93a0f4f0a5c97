#pragma once

#include <burdock/routing/instancetable.h>
#include <burdock/values/runtime.h>

#include <map>
#include <optional>

namespace Burdock
{

/// Selects the instance through which this instance watches the store.
///
/// Load: hundreds of instances that start together, or that all lose the store or a relay at once. In a region of several
/// instances one watches the store and the others form a tree below it in which each has a bounded number of children. All
/// instances derive the tree from the list in the same way: the largest instances come first, and each uses only instances
/// before it, so no cycle can form. A relay that fails is skipped for a while in favour of another one of its level. An instance
/// without an available relay watches the store itself: at once next to the root, and after a while further down, since
/// those above it recover first.
class RelayChoice
{
public:
    /// The number of children of a relay.
    static constexpr std::size_t FanOut = 10;

    explicit RelayChoice(InstanceId self);

    /// Sets the instances of this region, including this one.
    void setInstances(const std::vector<InstanceRecord> &inRegion);

    /// Returns the relay's address, or nothing if none is available.
    std::optional<Address> relay(TimePoint now) const;

    /// Returns the address of a relay that follows which data centres are emptied, or nothing if none is available.
    std::optional<Address> relayOfEmptied(TimePoint now) const;

    /// Whether any of the relays follows which data centres are emptied, be it available or not.
    bool hasRelayOfEmptied() const;

    /// Whether this instance may watch or list at the store while no relay is available.
    bool mayUseStore(TimePoint now) const;

    /// Skips the relay at the address for a while, since it did not answer.
    void onFailed(const Address &address, TimePoint now);

    /// Skips the relay at the address for a shorter while: it answered, but has no fresh data.
    void onStale(const Address &address, TimePoint now);

    /// A relay answered with data.
    void onAnswered();

    /// The number of relays between this instance and the store.
    int depth() const
    {
        return depth_;
    }

    /// Whether other instances use this one as their relay, or would if another one failed.
    bool hasChildren() const
    {
        return hasChildren_;
    }

private:
    struct Relay
    {
        Address address;
        bool followsEmptied = false;
    };

    bool isAvoided(const Address &address, TimePoint now) const;
    void avoid(const Address &address, TimePoint now, Duration span);

    const InstanceId self_;
    /// The relays to use, in order of preference.
    std::vector<Relay> candidates_;
    std::map<std::pair<std::string, std::uint16_t>, TimePoint> avoidedUntil_;
    int depth_ = 0;
    bool hasChildren_ = false;
    /// How long all candidates must have been unavailable before the store is used.
    Duration patience_{0};
    std::optional<TimePoint> unavailableSince_;
};

} // namespace Burdock
