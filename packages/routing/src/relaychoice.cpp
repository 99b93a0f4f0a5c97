#include <burdock/routing/relaychoice.h>

#include <burdock/policy/rendezvous.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// In regions with fewer instances each watches the store itself: a relay would save very little there.
constexpr std::size_t MinInstances = 4;
/// The number of relays that an instance tries before it watches the store itself.
constexpr std::size_t MaxCandidates = 2;
/// How long a relay is skipped after a failure.
constexpr Duration AvoidTime = std::chrono::seconds(5);
constexpr const char *OrderName = "store relay";

std::pair<std::string, std::uint16_t> keyOf(const Address &address)
{
    return {address.host, address.port};
}

} // namespace

RelayChoice::RelayChoice(InstanceId self)
    : self_(std::move(self))
{
}

void RelayChoice::setInstances(const std::vector<InstanceRecord> &inRegion)
{
    predecessors_.clear();
    if (inRegion.size() < MinInstances) {
        return;
    }
    std::vector<InstanceId> ids;
    std::map<InstanceId, Address> peers;
    for (const InstanceRecord &record : inRegion) {
        ids.push_back(record.id);
        peers[record.id] = record.peers;
    }
    for (const InstanceId &id : rendezvousOrder(OrderName, ids)) {
        if (id == self_ || predecessors_.size() == MaxCandidates) {
            break;
        }
        predecessors_.push_back(peers.at(id));
    }
}

std::optional<Address> RelayChoice::relay(TimePoint now) const
{
    for (const Address &address : predecessors_) {
        const auto avoided = avoidedUntil_.find(keyOf(address));
        if (avoided == avoidedUntil_.end() || avoided->second <= now) {
            return address;
        }
    }
    return std::nullopt;
}

void RelayChoice::onFailed(const Address &address, TimePoint now)
{
    avoidedUntil_[keyOf(address)] = now + AvoidTime;
}

} // namespace Burdock
