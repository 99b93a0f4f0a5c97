#include "fleet.h"

#include <utility>

namespace Burdock
{

namespace
{

constexpr Duration LatencyWithinDataCentre = std::chrono::microseconds(250);
constexpr Duration LatencyBetweenDataCentres = std::chrono::microseconds(500);
constexpr Duration LatencyBetweenRegions = std::chrono::milliseconds(20);
constexpr std::size_t DataCentres = 5;

/// Adds the processor time of a member's timer callbacks to its cost.
class TimedRuntime final : public Runtime
{
public:
    TimedRuntime(ManualRuntime &clock, MemberCost &cost)
        : clock_(clock)
        , cost_(cost)
    {
    }
    TimePoint now() const override
    {
        return clock_.now();
    }
    WallTime wallNow() const override
    {
        return clock_.wallNow();
    }
    TimerId schedule(Duration delay, std::function<void()> callback) override
    {
        return clock_.schedule(delay, [this, callback = std::move(callback)] {
            const std::uint64_t begin = threadCpuNanoseconds();
            callback();
            cost_.nanoseconds += threadCpuNanoseconds() - begin;
        });
    }
    void cancel(TimerId timer) override
    {
        clock_.cancel(timer);
    }

private:
    ManualRuntime &clock_;
    MemberCost &cost_;
};

} // namespace

struct Fleet::Node final : ProbePort
{
    Node(Fleet &fleet, std::size_t index)
        : fleet_(fleet)
        , index_(index)
        , runtime_(fleet.clock_, cost_)
    {
    }
    void send(const Address &to, const ProbeMessage &message) override
    {
        fleet_.sendDatagram(index_, to, message);
    }

    Fleet &fleet_;
    std::size_t index_;
    MemberCost cost_;
    TimedRuntime runtime_;
    std::unique_ptr<Membership> membership_;
};

Fleet::Fleet(std::size_t size, std::uint64_t seed, double loss)
    : random_(seed)
    , loss_(loss)
{
    list_.version = 1;
    nodes_.resize(size);
    for (std::size_t index = 0; index < size; ++index) {
        list_.instances.push_back(instance(index));
    }
    for (std::size_t index = 0; index < size; ++index) {
        startMember(index, 1);
    }
}

Fleet::~Fleet() = default;

void Fleet::startMember(std::size_t index, std::uint64_t incarnation)
{
    nodes_[index] = std::make_unique<Node>(*this, index);
    Node &node = *nodes_[index];
    node.membership_ = std::make_unique<Membership>(node.runtime_, node, instance(index), incarnation, random_());
    node.membership_->setReady(true);
    node.membership_->onInstanceList(list_);
}

ListedInstance Fleet::instance(std::size_t index)
{
    const std::size_t dataCentre = index % DataCentres;
    const std::string region = dataCentre < 3 ? "gauteng-central" : "north-west-platinum";
    const std::string host = "10." + std::to_string(dataCentre) + ".10." + std::to_string(index % 250);
    const auto port = static_cast<std::uint16_t>(index + 1);
    return {
        InstanceId("burdock-" + std::to_string(index)), {Region(region), DataCentre("dc-" + std::to_string(dataCentre))}, {host, port}, {host, port}, false};
}

void Fleet::run(Duration span)
{
    clock_.advance(span);
}

Duration Fleet::runUntil(const std::function<bool()> &condition, Duration limit)
{
    constexpr Duration Step = std::chrono::milliseconds(50);
    Duration passed{0};
    for (; passed < limit && !condition(); passed += Step) {
        clock_.advance(Step);
    }
    return passed;
}

void Fleet::kill(std::size_t index)
{
    nodes_[index]->membership_.reset();
}

void Fleet::restart(std::size_t index, std::uint64_t incarnation)
{
    startMember(index, incarnation);
}

bool Fleet::isRunning(std::size_t index) const
{
    return nodes_[index]->membership_ != nullptr;
}

Membership &Fleet::operator[](std::size_t index)
{
    return *nodes_[index]->membership_;
}

std::size_t Fleet::size() const
{
    return nodes_.size();
}

std::size_t Fleet::countMembersAccepting(std::size_t other)
{
    const InstanceId id = instance(other).id;
    std::size_t count = 0;
    for (const auto &node : nodes_) {
        const Member *member = node->membership_ ? node->membership_->member(id) : nullptr;
        count += member != nullptr && member->acceptsWork() ? 1 : 0;
    }
    return count;
}

void Fleet::resetCosts()
{
    for (const auto &node : nodes_) {
        node->cost_ = {};
    }
}

const MemberCost &Fleet::cost(std::size_t index) const
{
    return nodes_[index]->cost_;
}

std::uint64_t Fleet::sum(std::uint64_t MembershipCounters::*counter) const
{
    std::uint64_t total = 0;
    for (const auto &node : nodes_) {
        total += node->membership_ ? node->membership_->counters().*counter : 0;
    }
    return total;
}

void Fleet::installReportedVersions(Duration fetchTime)
{
    for (const auto &node : nodes_) {
        node->membership_->onHigherConfigVersion([this, &membership = *node->membership_, fetchTime](const InstanceId &, std::uint64_t version) {
            clock_.schedule(fetchTime, [&membership, version] {
                if (version > membership.self().configVersion) {
                    membership.setConfigVersion(version);
                }
            });
        });
    }
}

void Fleet::sendDatagram(std::size_t from, const Address &to, const ProbeMessage &message)
{
    std::string datagram = encodeProbe(message);
    MemberCost &cost = nodes_[from]->cost_;
    cost.bytesSent += datagram.size() + DatagramOverheadBytes;
    ++cost.datagrams;
    const std::size_t target = std::size_t{to.port} - 1;
    if (std::uniform_real_distribution<double>(0, 1)(random_) < loss_) {
        return;
    }
    clock_.schedule(latency(from, target), [this, from, target, datagram = std::move(datagram)] { deliverDatagram(from, target, datagram); });
}

void Fleet::deliverDatagram(std::size_t from, std::size_t to, const std::string &datagram)
{
    Node &node = *nodes_[to];
    if (!node.membership_) {
        return;
    }
    const std::uint64_t begin = threadCpuNanoseconds();
    node.cost_.bytesReceived += datagram.size() + DatagramOverheadBytes;
    ++node.cost_.datagrams;
    const auto message = decodeProbe(datagram);
    if (message) {
        node.membership_->onDatagram(instance(from).peers, *message);
    }
    node.cost_.nanoseconds += threadCpuNanoseconds() - begin;
}

Duration Fleet::latency(std::size_t from, std::size_t to) const
{
    const ListedInstance &a = list_.instances[from];
    const ListedInstance &b = list_.instances[to];
    if (a.place.region != b.place.region) {
        return LatencyBetweenRegions;
    }
    return a.place == b.place ? LatencyWithinDataCentre : LatencyBetweenDataCentres;
}

} // namespace Burdock
