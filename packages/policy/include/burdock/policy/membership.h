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

/// Detects which instances are alive, with SWIM-like probes combined with the platform's instance list.
///
/// In each period one random member is pinged; without an Ack in time, a few other members are asked to ping it. A
/// member from which no Ack arrives is suspected, and declared dead unless it refutes in time by raising its
/// incarnation. Updates are piggybacked on the probes, so the traffic of an instance does not grow with the number of
/// instances. Dead members that are still listed are probed occasionally to detect that a network partition has
/// healed. After a pause of its own process, an instance draws no conclusions from missing Acks. Each probe carries
/// the version of the configuration in force.
class Membership
{
public:
    using ChangeHandler = std::function<void()>;
    using VersionHandler = std::function<void(const InstanceId &peer, std::uint64_t version)>;

    /// Starts probing immediately, in state MemberLife::Starting. `incarnation` must exceed that of any earlier
    /// process with the same name, for example the wall clock time in microseconds. `seed` determines the random
    /// choice of probe targets.
    Membership(
        Runtime &runtime, ProbePort &port, const ListedInstance &self, std::uint64_t incarnation, std::uint64_t seed, const MembershipSettings &settings = {});
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    /// Applies a list, unless it is not newer than the last one.
    void onInstanceList(const InstanceList &list);

    /// Handles a datagram received from an address.
    void onDatagram(const Address &from, const ProbeMessage &message);

    /// Sets the handler called after members or their states changed, at most once per input.
    void onChange(ChangeHandler handler);

    /// Sets the handler called for each probe of a known member with a higher configuration version than that of this
    /// instance.
    void onHigherConfigVersion(VersionHandler handler);

    /// Sets the configuration version in force. A higher version is sent to a few members at once.
    void setConfigVersion(std::uint64_t version);

    /// Sets whether this instance admits work. Has no effect once it is leaving.
    void setReady(bool ready);

    /// Announces that this instance is leaving. Probing continues until destruction.
    void leave();

    /// Returns all instances that accept new work, including this one, sorted by id.
    std::vector<ListedInstance> live() const;

    /// Returns all other members, sorted by id.
    std::vector<Member> members() const;

    /// Returns another member, or null if unknown. Valid until the next input.
    const Member *member(const InstanceId &id) const;

    /// Returns the state that this instance publishes about itself.
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
        Address requester;
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
