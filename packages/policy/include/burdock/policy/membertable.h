#pragma once

#include <burdock/policy/member.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Burdock
{

/// All other members, and the rules by which one fact about a member overrides another.
///
/// A higher incarnation always overrides; within one incarnation dead overrides suspect, and suspect overrides alive.
/// The list adds members and says where they are; it never declares a member dead, since it lags.
class MemberTable
{
public:
    /// What became of a fact.
    enum class Outcome {
        /// Says what was known, or nothing of use.
        Nothing,
        /// Older than what is known.
        Stale,
        /// Out of bounds, or of a stranger who cannot be added.
        Refused,
        Changed,
    };

    /// A member and what only the table needs.
    struct Record
    {
        Member member;
        /// While Suspect: when it is declared dead. While Dead: since when.
        TimePoint deadline{};
        /// The hash of what the list last said, so that only its changes override what the member says of itself; 0 for none.
        std::uint64_t listedHash = 0;
    };

    MemberTable(const MembershipSettings &settings, InstanceId self);

    /// Takes over the list's instances; true where a member was added or changed.
    bool applyList(const std::vector<ListedInstance> &instances);

    /// Takes over a fact about another member.
    Outcome apply(const ProbeUpdate &update, TimePoint now);

    /// Declares suspects dead whose time is up, and forgets old dead members that are not listed. Gives the dead.
    std::vector<InstanceId> expire(TimePoint now);

    /// Gives all suspects more time after this process itself stood still.
    void extendSuspicions(Duration pause);

    /// The member; null for a stranger.
    Record *find(const InstanceId &id);
    const Record *find(const InstanceId &id) const;

    const std::map<InstanceId, Record> &records() const;

    /// The fact about a member as it would be passed on.
    static ProbeUpdate updateOf(const Member &member);

    /// How long a suspect has to refute, at the present number of members.
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
