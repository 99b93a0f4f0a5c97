#pragma once

#include <burdock/routing/instancetable.h>
#include <burdock/values/runtime.h>

#include <map>
#include <optional>

namespace Burdock
{

/// From whom an instance hears of changes in the store.
///
/// Answers the store's rates, which grow more slowly than the fleet: in a region of several instances the first by rendezvous
/// order watches the store, and the others watch it. All instances have the same order and ask only those before them, so no
/// circle can form. Whoever fails to answer is passed over for a while; an instance with nobody before it watches the store.
class RelayChoice
{
public:
    explicit RelayChoice(InstanceId self);

    /// The instances of this region changed.
    void setInstances(const std::vector<InstanceRecord> &inRegion);

    /// Where to ask; nothing where this instance watches the store itself.
    std::optional<Address> relay(TimePoint now) const;

    /// The relay at the address did not answer, or knows nothing fresh.
    void onFailed(const Address &address, TimePoint now);

private:
    const InstanceId self_;
    /// Those before this instance in the order, first first.
    std::vector<Address> predecessors_;
    std::map<std::pair<std::string, std::uint16_t>, TimePoint> avoidedUntil_;
};

} // namespace Burdock
