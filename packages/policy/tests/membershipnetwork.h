#pragma once

#include <burdock/policy/membership.h>
#include <burdock/values/manualruntime.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Burdock
{

/// A runtime of one member that can be frozen while the others continue. Timers due in the meantime run on thawing.
class FreezableRuntime final : public Runtime
{
public:
    explicit FreezableRuntime(ManualRuntime &clock)
        : clock_(clock)
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
        const TimerId id = ++last_;
        waiting_[id] = {clock_.schedule(delay, [this, id] { due(id); }), std::move(callback)};
        return id;
    }
    void cancel(TimerId timer) override
    {
        const auto found = waiting_.find(timer);
        if (found != waiting_.end()) {
            clock_.cancel(found->second.first);
            waiting_.erase(found);
        }
    }

    void freeze()
    {
        frozen_ = true;
    }
    void thaw()
    {
        frozen_ = false;
        for (const TimerId id : std::exchange(queued_, {})) {
            due(id);
        }
    }
    bool frozen() const
    {
        return frozen_;
    }

private:
    void due(TimerId id)
    {
        if (frozen_) {
            queued_.push_back(id);
        } else if (waiting_.count(id) > 0) {
            const auto callback = std::move(waiting_.extract(id).mapped().second);
            callback();
        }
    }

    ManualRuntime &clock_;
    TimerId last_ = 0;
    std::map<TimerId, std::pair<TimerId, std::function<void()>>> waiting_;
    std::vector<TimerId> queued_;
    bool frozen_ = false;
};

/// Members that exchange probes in memory, with simulated loss, duplication, delay and partitions.
class MembershipNetwork
{
public:
    /// One member, whose port sends into the network.
    struct Node final : ProbePort
    {
        Node(MembershipNetwork &network, std::size_t index)
            : network_(network)
            , runtime_(network.clock_)
            , index_(index)
        {
        }
        void send(const Address &to, const ProbeMessage &message) override
        {
            network_.carry(*this, to, message);
        }

        MembershipNetwork &network_;
        FreezableRuntime runtime_;
        std::size_t index_;
        std::unique_ptr<Membership> membership_;
        std::uint64_t bytesSent_ = 0;
        std::uint64_t bytesReceived_ = 0;
        std::deque<std::pair<Address, ProbeMessage>> queued_;
    };

    explicit MembershipNetwork(std::uint64_t seed, const MembershipSettings &settings = {})
        : settings_(settings)
        , random_(seed)
    {
    }

    static ListedInstance instance(std::size_t index)
    {
        const std::string region = index % 2 == 0 ? "litoral" : "norte";
        const auto port = static_cast<std::uint16_t>(index + 1);
        return {InstanceId("instance-" + std::to_string(index)), {Region(region), DataCentre("d1")}, {"10.0.0.1", port}, {"10.0.0.2", port}, false};
    }

    InstanceList list(const std::vector<std::size_t> &indexes)
    {
        InstanceList result{++listVersion_, {}, {}};
        for (const std::size_t index : indexes) {
            result.instances.push_back(instance(index));
        }
        return result;
    }

    /// Starts members that are ready and share one list with all of them.
    void start(std::size_t count)
    {
        std::vector<std::size_t> indexes;
        for (std::size_t index = 0; index < count; ++index) {
            indexes.push_back(index);
            startOne(index, 1);
        }
        const InstanceList all = list(indexes);
        for (const auto &node : nodes_) {
            node->membership_->setReady(true);
            node->membership_->onInstanceList(all);
        }
    }

    /// Starts or restarts a member without a list.
    Membership &startOne(std::size_t index, std::uint64_t incarnation)
    {
        nodes_.resize(std::max(nodes_.size(), index + 1));
        nodes_[index] = std::make_unique<Node>(*this, index);
        Node &node = *nodes_[index];
        node.membership_ = std::make_unique<Membership>(node.runtime_, node, instance(index), incarnation, random_(), settings_);
        return *node.membership_;
    }

    void kill(std::size_t index)
    {
        nodes_[index]->membership_.reset();
    }
    void freeze(std::size_t index)
    {
        nodes_[index]->runtime_.freeze();
    }
    void thaw(std::size_t index)
    {
        Node &node = *nodes_[index];
        for (const auto &[from, message] : std::exchange(node.queued_, {})) {
            node.membership_->onDatagram(from, message);
        }
        node.runtime_.thaw();
    }

    Membership &operator[](std::size_t index)
    {
        return *nodes_[index]->membership_;
    }
    bool runs(std::size_t index) const
    {
        return nodes_[index]->membership_ != nullptr && !nodes_[index]->runtime_.frozen();
    }

    /// Returns true if the member considers the other one to accept work.
    bool sees(std::size_t index, std::size_t other)
    {
        const Member *member = (*this)[index].member(instance(other).id);
        return member != nullptr && member->acceptsWork();
    }

    /// Returns how many other running members see the member.
    std::size_t observersOf(std::size_t other)
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            count += index != other && runs(index) && sees(index, other) ? 1 : 0;
        }
        return count;
    }

    /// Advances until the condition holds or the limit is reached; returns the time passed.
    Duration advanceUntil(const std::function<bool()> &condition, Duration limit)
    {
        Duration passed{0};
        for (; passed < limit && !condition(); passed += Step) {
            clock_.advance(Step);
        }
        return passed;
    }

    std::uint64_t sum(std::uint64_t MembershipCounters::*counter) const
    {
        std::uint64_t total = 0;
        for (const auto &node : nodes_) {
            total += node->membership_ ? node->membership_->counters().*counter : 0;
        }
        return total;
    }

    static std::size_t bytes(const ProbeMessage &message)
    {
        std::size_t total = probeHeaderBytes(message);
        for (const ProbeUpdate &update : message.updates) {
            total += probeUpdateBytes(update);
        }
        return total;
    }

    static constexpr Duration Step = std::chrono::milliseconds(100);

    ManualRuntime clock_;
    MembershipSettings settings_;
    double loss_ = 0;
    double duplicated_ = 0;
    Duration delay_ = std::chrono::milliseconds(1);
    Duration jitter_{0};
    std::function<bool(std::size_t, std::size_t)> cut_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Node>> nodes_;

private:
    void carry(Node &from, const Address &to, const ProbeMessage &message)
    {
        from.bytesSent_ += bytes(message);
        const std::size_t target = std::size_t{to.port} - 1;
        if (target >= nodes_.size() || (cut_ && cut_(from.index_, target))) {
            return;
        }
        deliver(from.index_, target, message);
        if (occurs(duplicated_)) {
            deliver(from.index_, target, message);
        }
    }
    void deliver(std::size_t from, std::size_t to, const ProbeMessage &message)
    {
        if (occurs(loss_)) {
            return;
        }
        const Duration extra = jitter_.count() > 0 ? Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(jitter_.count()))) : Duration{0};
        clock_.schedule(delay_ + extra, [this, from, to, message] { arrive(from, to, message); });
    }
    void arrive(std::size_t from, std::size_t to, const ProbeMessage &message)
    {
        Node &node = *nodes_[to];
        node.bytesReceived_ += bytes(message);
        if (node.runtime_.frozen()) {
            node.queued_.emplace_back(instance(from).peers, message);
        } else if (node.membership_) {
            node.membership_->onDatagram(instance(from).peers, message);
        }
    }
    bool occurs(double chance)
    {
        return chance > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < chance;
    }

    std::uint64_t listVersion_ = 0;
};

} // namespace Burdock
