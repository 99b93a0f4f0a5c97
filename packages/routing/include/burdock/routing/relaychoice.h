#pragma once

#include <burdock/routing/instancetable.h>
#include <burdock/values/runtime.h>

#include <map>
#include <optional>

namespace Burdock
{

/// Selects the instance through which this instance watches the store.
///
/// The request rates that the store allows grow more slowly than the fleet. In a region of several instances the first one in
/// rendezvous order therefore watches the store, and the others watch that instance. All instances use the same order and
/// only use relays before them, so no cycle can form. A relay that fails is skipped for a while; an instance without an
/// available relay watches the store itself.
class RelayChoice
{
public:
    explicit RelayChoice(InstanceId self);

    /// Sets the instances of this region, including this one.
    void setInstances(const std::vector<InstanceRecord> &inRegion);

    /// Returns the relay's address, or nothing if this instance watches the store itself.
    std::optional<Address> relay(TimePoint now) const;

    /// Skips the relay at the address for a while: it did not answer or its data is stale.
    void onFailed(const Address &address, TimePoint now);

private:
    const InstanceId self_;
    /// The candidates before this instance, in rendezvous order.
    std::vector<Address> predecessors_;
    std::map<std::pair<std::string, std::uint16_t>, TimePoint> avoidedUntil_;
};

} // namespace Burdock
