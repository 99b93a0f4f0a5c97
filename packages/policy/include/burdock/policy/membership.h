#pragma once

#include <burdock/policy/member.h>
#include <burdock/policy/membertable.h>
#include <burdock/policy/memberupdates.h>
#include <burdock/values/probe.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace Burdock
{

/// Finds out which instances live: SWIM-like probes, combined with the platform's instance list.
///
/// Once in a period one random member is pinged; without an Ack in time a few others are asked to ping it. A member that no
/// Ack came from is suspected, and dead unless it refutes in time by raising its incarnation. News rides on
/// the probes, so what an instance sends does not grow with the number of instances. A dead member that the list still
/// names is probed now and then, so that a healed split is noticed. An instance that stood still itself draws no conclusion
/// from what it missed. Each probe tells the version of the configuration in force.
class Membership
{
public:
    using ChangeHandler = std::function<void()>;
    using VersionHandler = std::function<void(const InstanceId &peer, std::uint64_t version)>;

    /// Starts to probe at once. `incarnation` must be above that of an earlier process of the same name, such as the
    /// calendar time in microseconds. `seed` draws whom to probe. The instance starts as MemberLife::Starting.
    Membership(
        Runtime &runtime, ProbePort &port, const ListedInstance &self, std::uint64_t incarnation, std::uint64_t seed, const MembershipSettings &settings = {});
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    /// Takes over a list; one that is not newer than the last is ignored.
    void onInstanceList(const InstanceList &list);

    /// Handles a datagram that arrived from an address.
    void onDatagram(const Address &from, const ProbeMessage &message);

    /// Called after members or their states changed, at most once for each input.
    void onChange(ChangeHandler handler);

    /// Called for each probe of a known member that tells a higher configuration version than the own.
    void onHigherConfigVersion(VersionHandler handler);

    /// Tells the version that is now in force here; a higher one is told to a few members at once.
    void setConfigVersion(std::uint64_t version);

    /// Tells whether this instance admits work. No effect once it is leaving.
    void setReady(bool ready);

    /// Tells that this instance is leaving. It goes on probing until it is destroyed.
    void leave();

    /// All instances that may get new work, this one included, by id.
    std::vector<ListedInstance> live() const;

    /// Every other member, by id.
    std::vector<Member> members() const;

    /// One other member; null for a stranger. Valid until the next input.
    const Member *member(const InstanceId &id) const;

    /// What this instance tells of itself.
    Member self() const;

    const MembershipCounters &counters() const;

private:
    using Predicate = std::function<bool(const Member &)>;

    struct Probe
    {
        InstanceId target;
        std::uint32_t number;
        bool acked;
    };

    struct Relay
    {
        Address back;
        std::uint32_t number;
        InstanceId target;
        TimePoint expires;
    };

    void beginPeriod();
    void concludeProbe();
    void expireMembers();
    void probeNext();
    void probeSuspect();
    void probeDead();
    void retryProbe();
    void sendPingRequests();
    void sendPings();
    void sendNotices();
    std::uint32_t ping(const InstanceId &target);
    void sendPing(const InstanceId &target, std::uint32_t number);

    void applyUpdate(const ProbeUpdate &update);
    void applySelfUpdate(const ProbeUpdate &update);
    void applyHeader(const ProbeMessage &message);
    void answerPing(const Address &from, const ProbeMessage &message);
    void relayPing(const Address &from, const ProbeMessage &message);
    void onAck(const ProbeMessage &message);
    bool tryCountAnswer();
    void changeSelf(MemberLife life, std::uint64_t incarnation);
    void notify();

    ProbeMessage compose(ProbeKind kind, std::uint32_t number) const;
    void addUpdates(ProbeMessage &message, const InstanceId &addressee, std::size_t maxBytes);
    std::optional<ProbeUpdate> updateOf(const InstanceId &id) const;
    ProbeUpdate selfIntroduction() const;
    std::vector<InstanceId> sample(std::size_t count, const Predicate &eligible);

    Runtime &runtime_;
    ProbePort &port_;
    MembershipSettings settings_;
    std::mt19937_64 random_;
    Member self_;
    MemberTable table_;
    MemberUpdates updates_;
    ChangeHandler changed_;
    VersionHandler higherVersion_;
    MembershipCounters counters_;
    std::uint64_t listVersion_ = 0;
    std::uint32_t lastNumber_;
    std::optional<Probe> probe_;
    std::map<std::uint32_t, Relay> relays_;
    std::vector<InstanceId> staleMembers_;
    std::uint32_t answersThisPeriod_ = 0;
    bool pendingChange_ = false;
    bool pendingNotice_ = false;
    TimePoint started_;
    TimePoint nextPeriod_;
    TimePoint nextDeadProbe_;
    TimePoint nextNotice_;
    TimerId periodTimer_ = 0;
    TimerId ackTimer_ = 0;
};

} // namespace Burdock
