#pragma once

#include <burdock/values/probe.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <tuple>

namespace Burdock
{

/// What this instance knows about another instance.
struct Member
{
    ListedInstance instance;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    MemberLife life = MemberLife::Ready;
    std::uint64_t configVersion = 0;
    /// True if the instance list contains the member.
    bool listed = false;

    auto fields() const
    {
        return std::tie(instance, incarnation, state, life, configVersion, listed);
    }

    /// Returns true if new work may be sent to the member: not dead, ready, and leaving neither by its own report nor
    /// by the list.
    bool acceptsWork() const
    {
        return state != MemberState::Dead && life == MemberLife::Ready && !instance.leaving;
    }
};

/// Intervals and limits of Membership.
struct MembershipSettings
{
    /// One member is probed in each period.
    Duration period = std::chrono::seconds(1);
    /// Without an Ack after this time, the ping is repeated and other members are asked to ping the target too, until
    /// the period ends.
    Duration ackTimeout = std::chrono::milliseconds(300);
    /// Number of members asked to ping a target that did not answer.
    std::uint32_t indirectProbers = 3;
    /// How many periods a suspect has to refute, multiplied by the decimal logarithm of the number of members but at
    /// least by one.
    double suspicionPeriods = 3;
    /// How often an update is transmitted, multiplied by the binary logarithm of the number of members.
    std::uint32_t transmitFactor = 2;
    /// Pings and Acks are filled with updates up to this size.
    std::size_t datagramBytes = 600;
    /// A Notice is filled with updates up to this size.
    std::size_t noticeBytes = 150;
    /// Number of members to which the first pings, and notices of a new configuration version or a changed
    /// MemberLife, are sent.
    std::uint32_t fanout = 4;
    /// Minimum interval between notices about a changed MemberLife of other members.
    Duration noticeInterval = std::chrono::seconds(1);
    /// How often one dead member that is still listed is probed, to detect that a network partition has healed.
    Duration deadProbeInterval = std::chrono::seconds(5);
    /// How long a dead member that is not listed is kept.
    Duration deadRetention = std::chrono::minutes(5);
    /// How long after the start every probe includes the place and addresses of this instance.
    Duration introductionTime = std::chrono::seconds(60);
    /// Maximum number of members learned from probes that are not listed yet.
    std::size_t maxUnlistedMembers = 256;
    /// Maximum number of Acks and relayed pings sent in each period.
    std::uint32_t maxAnswersPerPeriod = 64;
};

/// Counters of Membership since its construction.
struct MembershipCounters
{
    std::uint64_t pingsSent = 0;
    std::uint64_t pingRequestsSent = 0;
    std::uint64_t acksSent = 0;
    std::uint64_t noticesSent = 0;
    std::uint64_t received = 0;
    std::uint64_t answersRefused = 0;
    /// Acks that match no running probe: late ones, and those for pings sent outside a probe.
    std::uint64_t unmatchedAcks = 0;
    std::uint64_t failedProbes = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
    std::uint64_t returns = 0;
    std::uint64_t refutations = 0;
    std::uint64_t staleUpdates = 0;
    std::uint64_t refusedUpdates = 0;
    std::uint64_t pauses = 0;
};

} // namespace Burdock
