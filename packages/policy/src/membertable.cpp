#include <burdock/policy/membertable.h>
#include <burdock/policy/rendezvous.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <utility>

namespace Burdock
{

namespace
{

bool hasValidId(const ListedInstance &instance)
{
    return !instance.id.empty() && instance.id.text().size() <= ProbeNameBytes;
}

std::uint64_t hashOf(const ListedInstance &instance)
{
    const std::string text = instance.place.region.text() + '\n' + instance.place.dataCentre.text() + '\n' + instance.callers.toString() + '\n'
        + instance.peers.toString() + (instance.leaving ? "\nleaving" : "");
    return rendezvousHash(text);
}

} // namespace

MemberTable::MemberTable(const MembershipSettings &settings, InstanceId self)
    : settings_(settings)
    , self_(std::move(self))
{
}

bool MemberTable::applyList(const std::vector<ListedInstance> &instances)
{
    bool changed = false;
    std::set<InstanceId> listedIds;
    for (const ListedInstance &instance : instances) {
        if (instance.id != self_ && hasValidId(instance)) {
            listedIds.insert(instance.id);
            changed = applyListed(instance) || changed;
        }
    }
    for (auto &[id, record] : records_) {
        record.member.listed = listedIds.count(id) > 0;
        if (!record.member.listed) {
            record.listedHash = 0;
        }
    }
    return changed;
}

bool MemberTable::applyListed(const ListedInstance &instance)
{
    Record &record = records_[instance.id];
    const std::uint64_t hash = hashOf(instance);
    if (record.listedHash == hash) {
        return false;
    }
    record.listedHash = hash;
    const bool changed = record.member.instance != instance;
    record.member.instance = instance;
    return changed;
}

MemberTable::Outcome MemberTable::apply(const ProbeUpdate &update, TimePoint now)
{
    if (update.member == self_ || update.incarnation > MaxIncarnation) {
        return Outcome::Refused;
    }
    Record *record = find(update.member);
    if (record == nullptr) {
        return add(update);
    }
    Member &member = record->member;
    if (update.incarnation < member.incarnation) {
        return Outcome::Stale;
    }
    if (update.incarnation == member.incarnation && update.state <= member.state) {
        return Outcome::Nothing;
    }
    overwrite(*record, update, now);
    return Outcome::Changed;
}

MemberTable::Outcome MemberTable::add(const ProbeUpdate &update)
{
    const bool hasDetails = update.details && update.details->id == update.member && hasValidId(*update.details);
    if (!hasDetails || update.state != MemberState::Alive || unlistedCount() >= settings_.maxUnlistedMembers) {
        return Outcome::Refused;
    }
    Record record;
    record.member.instance = *update.details;
    record.member.incarnation = update.incarnation;
    record.member.life = update.life;
    records_.emplace(update.member, std::move(record));
    return Outcome::Changed;
}

void MemberTable::overwrite(Record &record, const ProbeUpdate &update, TimePoint now)
{
    Member &member = record.member;
    if (update.state != member.state) {
        record.deadline = update.state == MemberState::Suspect ? now + suspicionTime() : now;
    }
    if (update.details && update.details->id == update.member && update.incarnation > member.incarnation) {
        const bool leaving = member.instance.leaving;
        member.instance = *update.details;
        member.instance.leaving = leaving;
    }
    member.incarnation = update.incarnation;
    member.state = update.state;
    member.life = update.life;
}

std::vector<InstanceId> MemberTable::expire(TimePoint now)
{
    std::vector<InstanceId> dead;
    for (auto entry = records_.begin(); entry != records_.end();) {
        Record &record = entry->second;
        if (record.member.state == MemberState::Suspect && record.deadline <= now) {
            record.member.state = MemberState::Dead;
            record.deadline = now;
            dead.push_back(entry->first);
        }
        const bool forget = record.member.state == MemberState::Dead && !record.member.listed && now - record.deadline >= settings_.deadRetention;
        entry = forget ? records_.erase(entry) : std::next(entry);
    }
    return dead;
}

void MemberTable::extendSuspicions(Duration pause)
{
    for (auto &[id, record] : records_) {
        if (record.member.state == MemberState::Suspect) {
            record.deadline += pause;
        }
    }
}

MemberTable::Record *MemberTable::find(const InstanceId &id)
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

const MemberTable::Record *MemberTable::find(const InstanceId &id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

const std::map<InstanceId, MemberTable::Record> &MemberTable::records() const
{
    return records_;
}

ProbeUpdate MemberTable::updateOf(const Member &member)
{
    ProbeUpdate fact{member.instance.id, member.incarnation, member.state, member.life, std::nullopt};
    if (!member.listed && member.state == MemberState::Alive) {
        fact.details = member.instance;
    }
    return fact;
}

Duration MemberTable::suspicionTime() const
{
    const double scale = std::max(1.0, std::log10(static_cast<double>(records_.size() + 1)));
    return std::chrono::duration_cast<Duration>(settings_.period * (settings_.suspicionPeriods * scale));
}

std::size_t MemberTable::unlistedCount() const
{
    const auto isUnlisted = [](const auto &entry) { return !entry.second.member.listed; };
    return static_cast<std::size_t>(std::count_if(records_.begin(), records_.end(), isUnlisted));
}

} // namespace Burdock
