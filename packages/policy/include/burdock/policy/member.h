#pragma once

#include <burdock/values/probe.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <tuple>

namespace Burdock
{

/// What an instance knows of another one.
struct Member
{
    ListedInstance instance;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    MemberLife life = MemberLife::Ready;
    std::uint64_t configVersion = 0;
    /// The instance list names it.
    bool listed = false;

    auto fields() const
    {
        return std::tie(instance, incarnation, state, life, configVersion, listed);
    }

    /// May get new work: not dead, ready, and leaving neither by its own word nor by the list's.
    bool acceptsWork() const
    {
        return state != MemberState::Dead && life == MemberLife::Ready && !instance.leaving;
    }
};

/// The times and bounds of Membership.
struct MembershipSettings
{
    /// One member is probed in each period.
    Duration period = std::chrono::seconds(1);
    /// After this without an Ack the ping is repeated and other members are asked to probe it too, until the period ends.
    Duration ackTimeout = std::chrono::milliseconds(300);
    /// How many members are asked.
    std::uint32_t indirectProbers = 3;
    /// A suspect has this many periods, times the decimal logarithm of the members but at least once, to refute.
    double suspicionPeriods = 3;
    /// A fact is passed on this many times, times the binary logarithm of the members.
    std::uint32_t transmitFactor = 2;
    /// Pings and Acks are filled with facts up to this size.
    std::size_t datagramBytes = 600;
    /// A Notice is filled with facts up to this size.
    std::size_t noticeBytes = 150;
    /// How many members are told at once of a new configuration version or a changed life.
    std::uint32_t fanout = 4;
    /// The changed life of another member is passed on at once, but not more often than this.
    Duration noticeInterval = std::chrono::seconds(1);
    /// How often one dead member that is still listed is probed, so that a healed split is noticed.
    Duration deadProbeInterval = std::chrono::seconds(5);
    /// How long a dead member that is not listed is remembered.
    Duration deadRetention = std::chrono::minutes(5);
    /// For so long after the start the own place and addresses are told with every probe.
    Duration introductionTime = std::chrono::seconds(60);
    /// Members that the list has not named yet are learned from probes up to this many.
    std::size_t maxUnlistedMembers = 256;
    /// Acks and relayed pings are sent up to this many in each period.
    std::uint32_t maxAnswersPerPeriod = 64;
};

/// What Membership has counted since it was made.
struct MembershipCounters
{
    std::uint64_t pingsSent = 0;
    std::uint64_t pingRequestsSent = 0;
    std::uint64_t acksSent = 0;
    std::uint64_t noticesSent = 0;
    std::uint64_t received = 0;
    std::uint64_t answersRefused = 0;
    /// Acks that answer no running probe: late ones, and those of pings that wait for none.
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
