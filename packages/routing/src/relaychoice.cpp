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
/// How long a relay is skipped after it did not answer, and after it answered without fresh data.
constexpr Duration FailedAvoidTime = std::chrono::seconds(5);
constexpr Duration StaleAvoidTime = std::chrono::seconds(1);
/// How long an instance waits for its relays before it uses the store: next to the root, and further down. The latter differs
/// between instances, so that not all of them call the store at once.
constexpr Duration ChildPatience = std::chrono::milliseconds(400);
constexpr Duration DescendantPatience = std::chrono::milliseconds(2000);
constexpr Duration PatienceStep = std::chrono::milliseconds(250);
constexpr std::size_t PatienceSteps = 8;
constexpr const char *OrderName = "store relay";

std::pair<std::string, std::uint16_t> keyOf(const Address &address)
{
    return {address.host, address.port};
}

std::size_t parentOf(std::size_t position)
{
    return (position - 1) / RelayChoice::FanOut;
}

/// A level of the tree: the position of its first instance, and the one after its last.
struct Level
{
    std::size_t begin = 0;
    std::size_t end = 1;
    int depth = 0;
};

Level levelOf(std::size_t position)
{
    Level level;
    while (position >= level.end) {
        level = {level.end, level.end + (level.end - level.begin) * RelayChoice::FanOut, level.depth + 1};
    }
    return level;
}

/// Returns the positions of the relays of an instance, the preferred one first: its parent and two others of the parent's level.
/// Instances above that level are left out, since all descendants of a failed relay would turn to them together.
std::vector<std::size_t> relayPositions(std::size_t position)
{
    if (position == 0) {
        return {};
    }
    const std::size_t parent = parentOf(position);
    if (parent == 0) {
        // The root is alone on its level. The first of its children takes over when the root fails.
        return position == 1 ? std::vector<std::size_t>{0} : std::vector<std::size_t>{0, 1};
    }
    const Level level = levelOf(parent);
    const std::size_t width = level.end - level.begin;
    const auto shifted = [&level, parent, width](std::size_t shift) { return level.begin + (parent - level.begin + shift) % width; };
    const std::size_t first = 1 + position % (width - 1);
    const std::size_t second = 1 + (position + 1) % (width - 1);
    return {parent, shifted(first), shifted(second)};
}

/// Returns the instances in the order of the tree: by size, and among equals by rendezvous order.
std::vector<InstanceRecord> treeOrder(const std::vector<InstanceRecord> &inRegion)
{
    std::vector<InstanceId> ids;
    std::map<InstanceId, const InstanceRecord *> records;
    for (const InstanceRecord &record : inRegion) {
        ids.push_back(record.id);
        records[record.id] = &record;
    }
    std::vector<InstanceRecord> order;
    order.reserve(ids.size());
    for (const InstanceId &id : rendezvousOrder(OrderName, ids)) {
        order.push_back(*records.at(id));
    }
    std::stable_sort(order.begin(), order.end(), [](const InstanceRecord &left, const InstanceRecord &right) { return left.cores > right.cores; });
    return order;
}

} // namespace

RelayChoice::RelayChoice(InstanceId self)
    : self_(std::move(self))
{
}

void RelayChoice::setInstances(const std::vector<InstanceRecord> &inRegion)
{
    candidates_.clear();
    depth_ = 0;
    hasChildren_ = false;
    patience_ = Duration{0};
    if (inRegion.size() < MinInstances) {
        return;
    }
    const std::vector<InstanceRecord> order = treeOrder(inRegion);
    const auto self = std::find_if(order.begin(), order.end(), [this](const InstanceRecord &record) { return record.id == self_; });
    const auto position = static_cast<std::size_t>(self - order.begin());
    depth_ = levelOf(position).depth;
    // The others of a level take over the children of one that fails, and the first child of the root those of the root, so all of
    // them must have fresh data.
    hasChildren_ = levelOf(position).end < order.size() || (position == 1 && order.size() > 2);
    for (const std::size_t relay : relayPositions(position)) {
        // The last level is not full, and an instance without a record of its own comes last.
        if (relay < position) {
            candidates_.push_back({order[relay].peers, order[relay].followsEmptied});
        }
    }
    if (order.size() > FanOut + 1) {
        patience_ = depth_ == 0 ? Duration{0} : depth_ == 1 ? ChildPatience : DescendantPatience + PatienceStep * static_cast<int>(position % PatienceSteps);
    }
}

std::optional<Address> RelayChoice::relay(TimePoint now) const
{
    const auto found = std::find_if(candidates_.begin(), candidates_.end(), [this, now](const Relay &relay) { return !isAvoided(relay.address, now); });
    return found == candidates_.end() ? std::nullopt : std::optional(found->address);
}

std::optional<Address> RelayChoice::relayOfEmptied(TimePoint now) const
{
    const auto found = std::find_if(
        candidates_.begin(), candidates_.end(), [this, now](const Relay &relay) { return relay.followsEmptied && !isAvoided(relay.address, now); });
    return found == candidates_.end() ? std::nullopt : std::optional(found->address);
}

bool RelayChoice::hasRelayOfEmptied() const
{
    return std::any_of(candidates_.begin(), candidates_.end(), [](const Relay &relay) { return relay.followsEmptied; });
}

bool RelayChoice::isAvoided(const Address &address, TimePoint now) const
{
    const auto avoided = avoidedUntil_.find(keyOf(address));
    return avoided != avoidedUntil_.end() && avoided->second > now;
}

bool RelayChoice::mayUseStore(TimePoint now) const
{
    return candidates_.empty() || patience_ == Duration{0} || (unavailableSince_ && now - *unavailableSince_ >= patience_);
}

void RelayChoice::onFailed(const Address &address, TimePoint now)
{
    avoid(address, now, FailedAvoidTime);
}

void RelayChoice::onStale(const Address &address, TimePoint now)
{
    avoid(address, now, StaleAvoidTime);
}

void RelayChoice::avoid(const Address &address, TimePoint now, Duration span)
{
    for (auto entry = avoidedUntil_.begin(); entry != avoidedUntil_.end();) {
        entry = entry->second <= now ? avoidedUntil_.erase(entry) : std::next(entry);
    }
    avoidedUntil_[keyOf(address)] = now + span;
    if (!unavailableSince_ && !relay(now)) {
        unavailableSince_ = now;
    }
}

void RelayChoice::onAnswered()
{
    unavailableSince_.reset();
}

} // namespace Burdock
