#pragma once

#include <burdock/policy/member.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Burdock
{

/// Holds all other members and the precedence rules for updates about them.
///
/// A higher incarnation always overrides; within one incarnation dead overrides suspect, and suspect overrides alive.
/// The instance list adds members and sets their places; it never declares a member dead, since it lags.
class MemberTable
{
public:
    /// The result of applying an update.
    enum class Outcome {
        /// The update contains nothing new.
        Nothing,
        /// Older than the known state.
        Stale,
        /// Invalid, or about an unknown member that cannot be added.
        Refused,
        Changed,
    };

    /// A member with the data private to the table.
    struct Record
    {
        Member member;
        /// While Suspect: when the member will be declared dead. While Dead: since when.
        TimePoint deadline{};
        /// Hash of the last list entry, so that only changes of the list override what the member publishes about
        /// itself; 0 if not listed.
        std::uint64_t listedHash = 0;
    };

    MemberTable(const MembershipSettings &settings, InstanceId self);

    /// Applies the instances on a list; returns true if a member was added or changed.
    bool applyList(const std::vector<ListedInstance> &instances);

    /// Applies an update about another member.
    Outcome apply(const ProbeUpdate &update, TimePoint now);

    /// Declares suspects dead whose time is over, and removes members that have been dead and unlisted for long
    /// enough. Returns the members declared dead.
    std::vector<InstanceId> expire(TimePoint now);

    /// Extends the deadline of all suspects after a pause of this process.
    void extendSuspicions(Duration pause);

    /// Returns the member, or null if unknown.
    Record *find(const InstanceId &id);
    const Record *find(const InstanceId &id) const;

    const std::map<InstanceId, Record> &records() const;

    /// Returns the update that publishes the state of a member.
    static ProbeUpdate updateOf(const Member &member);

    /// Returns how long a suspect has to refute at the current number of members.
    Duration suspicionTime() const;

private:
    Outcome add(const ProbeUpdate &update);
    void overwrite(Record &record, const ProbeUpdate &update, TimePoint now);
    bool applyListed(const ListedInstance &instance);
    std::size_t unlistedCount() const;

    MembershipSettings settings_;
    InstanceId self_;
    std::map<InstanceId, Record> records_;
};

} // namespace Burdock
