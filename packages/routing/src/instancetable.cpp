#include <burdock/routing/instancetable.h>

#include <algorithm>
#include <iterator>

namespace Burdock
{

namespace
{

/// An instance is large if it has at least this fraction of the cores of the largest in its region.
constexpr double LargeFraction = 0.5;
/// Clients use only the large instances if there are at least this many, so that the others can take over when one is lost.
constexpr std::size_t MinChosen = 3;
/// Crowded instances are left out while they are at most one in this many; with more of them the others would become crowded too.
constexpr std::size_t MaxCrowdedDivisor = 3;

using Records = InstanceTable::Records;

/// Returns the records that satisfy `predicate`.
template<class Predicate>
Records filter(const Records &records, Predicate predicate)
{
    Records found;
    std::copy_if(records.begin(), records.end(), std::back_inserter(found), predicate);
    return found;
}

bool includes(const Records &records, const InstanceId &id)
{
    return std::any_of(records.begin(), records.end(), [&id](const InstanceRecord *record) { return record->id == id; });
}

Records readyOf(const Records &records)
{
    return filter(records, [](const InstanceRecord *record) { return record->ready; });
}

/// Returns the instances of one region that its clients are directed to, out of its ready instances.
Records chosenOf(const Records &ready)
{
    double maxCores = 0;
    for (const InstanceRecord *record : ready) {
        maxCores = std::max(maxCores, record->cores);
    }
    const Records large = filter(ready, [maxCores](const InstanceRecord *record) { return record->cores >= maxCores * LargeFraction; });
    const auto isUncrowded = [](const InstanceRecord *record) { return !record->crowded; };
    const Records uncrowded = filter(large, isUncrowded);
    if ((large.size() - uncrowded.size()) * MaxCrowdedDivisor > large.size()) {
        return ready;
    }
    return uncrowded.size() < MinChosen ? filter(ready, isUncrowded) : uncrowded;
}

} // namespace

InstanceTable::InstanceTable(std::uint64_t seed)
    : random_(seed)
{
}

void InstanceTable::put(const InstanceRecord &record)
{
    records_[record.id] = record;
    lapsed_.erase(record.id);
    withdrawn_.forget(record.id.text());
}

void InstanceTable::withdraw(const InstanceId &id)
{
    const auto node = records_.extract(id);
    if (!node.empty()) {
        withdrawn_.add(id.text(), node.mapped().edition);
    }
}

bool InstanceTable::isOutdated(const InstanceRecord &record) const
{
    const auto known = records_.find(record.id);
    return withdrawn_.covers(record.id.text(), record.edition) || (known != records_.end() && record.edition.isBefore(known->second.edition));
}

void InstanceTable::remove(const InstanceId &id, bool storeDisturbed)
{
    if (!storeDisturbed) {
        withdraw(id);
        lapsed_.erase(id);
    } else if (records_.count(id) > 0) {
        lapsed_.insert(id);
    }
}

void InstanceTable::replace(const std::vector<InstanceRecord> &records, bool storeDisturbed)
{
    std::set<InstanceId> missing;
    for (const auto &[id, record] : records_) {
        missing.insert(id);
    }
    for (const InstanceRecord &record : records) {
        if (!isOutdated(record)) {
            put(record);
        }
        missing.erase(record.id);
    }
    for (const InstanceId &id : missing) {
        remove(id, storeDisturbed);
    }
}

void InstanceTable::dropLapsed()
{
    for (const InstanceId &id : lapsed_) {
        withdraw(id);
    }
    lapsed_.clear();
}

InstanceTable::Records InstanceTable::all(const InstanceRecord &self) const
{
    Records found{&self};
    for (const auto &[id, record] : records_) {
        if (id != self.id) {
            found.push_back(&record);
        }
    }
    return found;
}

std::map<Region, InstanceTable::Records> InstanceTable::byRegion(const InstanceRecord &self) const
{
    std::map<Region, Records> regions;
    for (const InstanceRecord *record : all(self)) {
        regions[record->region].push_back(record);
    }
    return regions;
}

InstanceTable::Records InstanceTable::chosenIn(const Region &region, const InstanceRecord &self) const
{
    return chosenOf(filter(all(self), [&region](const InstanceRecord *record) { return record->ready && record->region == region; }));
}

Senders InstanceTable::chosen(const InstanceRecord &self) const
{
    Senders chosen;
    for (const auto &[region, records] : byRegion(self)) {
        const Records here = chosenOf(readyOf(records));
        chosen = {chosen.count + here.size(), chosen.self || includes(here, self.id)};
    }
    return {std::max<std::size_t>(chosen.count, 1), chosen.self};
}

std::vector<ConnectionHolder> InstanceTable::connectionHolders(const InstanceRecord &self) const
{
    std::map<InstanceId, bool> cutOff;
    for (const auto &[region, records] : byRegion(self)) {
        for (const Records &senders : {chosenOf(readyOf(records)), directedFrom(region, self)}) {
            for (const InstanceRecord *record : senders) {
                cutOff[record->id] = record->cutOff;
            }
        }
    }
    std::vector<ConnectionHolder> holders;
    std::transform(cutOff.begin(), cutOff.end(), std::back_inserter(holders), [](const auto &entry) { return ConnectionHolder{entry.first, entry.second}; });
    return holders;
}

Senders InstanceTable::senders(const InstanceRecord &self) const
{
    Senders allReady;
    for (const auto &[region, records] : byRegion(self)) {
        const Records here = chosenOf(records);
        allReady = {allReady.count + here.size(), allReady.self || includes(here, self.id)};
    }
    const Senders now = chosen(self);
    return {std::max(now.count, allReady.count), now.self || allReady.self};
}

std::vector<InstanceId> InstanceTable::senderIds(const InstanceRecord &self) const
{
    std::set<InstanceId> ids;
    for (const auto &[region, records] : byRegion(self)) {
        for (const Records &chosen : {chosenOf(readyOf(records)), chosenOf(records)}) {
            for (const InstanceRecord *record : chosen) {
                ids.insert(record->id);
            }
        }
    }
    return {ids.begin(), ids.end()};
}

InstanceTable::Records InstanceTable::rateSharers(const InstanceRecord &self) const
{
    const std::vector<InstanceId> senders = senderIds(self);
    Records sharers = filter(
        all(self), [&senders](const InstanceRecord *record) { return record->sharesRates && std::binary_search(senders.begin(), senders.end(), record->id); });
    std::sort(sharers.begin(), sharers.end(), [](const InstanceRecord *a, const InstanceRecord *b) {
        return std::tie(a->edition.born, a->id) < std::tie(b->edition.born, b->id);
    });
    return sharers;
}

bool InstanceTable::wouldBeChosen(const InstanceRecord &self) const
{
    return includes(chosenOf(filter(all(self), [&self](const InstanceRecord *record) { return record->region == self.region; })), self.id);
}

InstanceTable::Records InstanceTable::connected(const InstanceRecord &self) const
{
    return filter(all(self), [](const InstanceRecord *record) { return record->ready && !record->cutOff; });
}

InstanceTable::Records InstanceTable::directedFrom(const Region &region, const InstanceRecord &self) const
{
    const Records connected = this->connected(self);
    Records here = chosenOf(filter(connected, [&region](const InstanceRecord *record) { return record->region == region; }));
    if (!here.empty()) {
        return here;
    }
    return connected.empty() ? chosenIn(region, self) : connected;
}

std::vector<InstanceTable::Records> InstanceTable::helpersFor(const InstanceRecord &self) const
{
    const Records others = filter(connected(self), [&self](const InstanceRecord *record) { return record->id != self.id && record->takesRequests; });
    const Records here = filter(others, [&self](const InstanceRecord *record) { return record->region == self.region; });
    const Records chosen = chosenOf(here);
    std::vector<Records> groups{chosen,
                                filter(here, [&chosen](const InstanceRecord *record) { return !includes(chosen, record->id); }),
                                filter(others, [&self](const InstanceRecord *record) { return record->region != self.region; })};
    groups.erase(std::remove_if(groups.begin(), groups.end(), [](const Records &group) { return group.empty(); }), groups.end());
    return groups;
}

bool InstanceTable::contains(const InstanceId &id) const
{
    return records_.count(id) > 0;
}

bool InstanceTable::hasOtherReady(const InstanceRecord &self) const
{
    return std::any_of(records_.begin(), records_.end(), [&self](const auto &entry) { return entry.first != self.id && entry.second.ready; });
}

std::vector<Address> InstanceTable::addressesFor(const Region &region, const InstanceRecord &self, std::size_t maxCount)
{
    Records chosen = directedFrom(region, self);
    if (chosen.empty()) {
        chosen = readyOf(all(self));
    }
    std::shuffle(chosen.begin(), chosen.end(), random_);
    chosen.resize(std::min(chosen.size(), maxCount));
    std::vector<Address> addresses;
    addresses.reserve(chosen.size());
    for (const InstanceRecord *record : chosen) {
        addresses.push_back(record->address);
    }
    return addresses;
}

std::size_t InstanceTable::count(const InstanceRecord &self) const
{
    return records_.size() + (records_.count(self.id) > 0 ? 0 : 1);
}

std::vector<InstanceRecord> InstanceTable::recordsIn(const Region &region) const
{
    std::vector<InstanceRecord> found;
    for (const auto &[id, record] : records_) {
        if (record.region == region) {
            found.push_back(record);
        }
    }
    return found;
}

} // namespace Burdock
