#include <burdock/routing/instancetable.h>

#include <algorithm>
#include <iterator>

namespace Burdock
{

namespace
{

/// An instance counts as large with this part of the cores of the largest in its region.
constexpr double LargePart = 0.5;
/// Clients are sent to the large instances alone only where they are as many as this: the others take over when they are lost.
constexpr std::size_t LeastChosen = 3;
/// Crowded instances are left out while they are at most one in so many; beyond that the others would be crowded next.
constexpr std::size_t CrowdedOneIn = 3;

using Records = InstanceTable::Records;

/// The records for which `wanted` holds.
template<class Wanted>
Records only(const Records &records, Wanted wanted)
{
    Records found;
    std::copy_if(records.begin(), records.end(), std::back_inserter(found), wanted);
    return found;
}

bool includes(const Records &records, const InstanceId &id)
{
    return std::any_of(records.begin(), records.end(), [&id](const InstanceRecord *record) { return record->id == id; });
}

Records readyOf(const Records &records)
{
    return only(records, [](const InstanceRecord *record) { return record->ready; });
}

/// Those of one region's instances that its clients are sent to; all of `ready` take clients.
Records chosenOf(const Records &ready)
{
    double most = 0;
    for (const InstanceRecord *record : ready) {
        most = std::max(most, record->cores);
    }
    const Records large = only(ready, [most](const InstanceRecord *record) { return record->cores >= most * LargePart; });
    const auto hasRoom = [](const InstanceRecord *record) { return !record->crowded; };
    const Records roomy = only(large, hasRoom);
    if ((large.size() - roomy.size()) * CrowdedOneIn > large.size()) {
        return ready;
    }
    return roomy.size() < LeastChosen ? only(ready, hasRoom) : roomy;
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
}

void InstanceTable::remove(const InstanceId &id, bool storeDisturbed)
{
    if (!storeDisturbed) {
        records_.erase(id);
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
        put(record);
        missing.erase(record.id);
    }
    for (const InstanceId &id : missing) {
        remove(id, storeDisturbed);
    }
}

void InstanceTable::believeListing()
{
    for (const InstanceId &id : lapsed_) {
        records_.erase(id);
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
    return chosenOf(only(all(self), [&region](const InstanceRecord *record) { return record->ready && record->region == region; }));
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

std::vector<Address> InstanceTable::addressesFor(const Region &region, const InstanceRecord &self, std::size_t most)
{
    Records chosen = chosenIn(region, self);
    if (chosen.empty()) {
        chosen = readyOf(all(self));
    }
    std::shuffle(chosen.begin(), chosen.end(), random_);
    chosen.resize(std::min(chosen.size(), most));
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
