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

/// The records for which `wanted` holds.
template<class Wanted>
std::vector<InstanceRecord> only(const std::vector<InstanceRecord> &records, Wanted wanted)
{
    std::vector<InstanceRecord> found;
    std::copy_if(records.begin(), records.end(), std::back_inserter(found), wanted);
    return found;
}

bool includes(const std::vector<InstanceRecord> &records, const InstanceId &id)
{
    return std::any_of(records.begin(), records.end(), [&id](const InstanceRecord &record) { return record.id == id; });
}

std::vector<InstanceRecord> readyOf(const std::vector<InstanceRecord> &records)
{
    return only(records, [](const InstanceRecord &record) { return record.ready; });
}

/// Those of one region's instances that its clients are sent to; all of `ready` take clients.
std::vector<InstanceRecord> chosenOf(const std::vector<InstanceRecord> &ready)
{
    double most = 0;
    for (const InstanceRecord &record : ready) {
        most = std::max(most, record.cores);
    }
    const auto large = only(ready, [most](const InstanceRecord &record) { return record.cores >= most * LargePart; });
    const auto hasRoom = [](const InstanceRecord &record) { return !record.crowded; };
    const auto roomy = only(large, hasRoom);
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

std::vector<InstanceRecord> InstanceTable::readyIn(const Region *region, const InstanceRecord &self) const
{
    std::vector<InstanceRecord> found;
    const auto consider = [&found, region](const InstanceRecord &record) {
        if (record.ready && (region == nullptr || record.region == *region)) {
            found.push_back(record);
        }
    };
    consider(self);
    for (const auto &[id, record] : records_) {
        if (id != self.id) {
            consider(record);
        }
    }
    return found;
}

std::vector<InstanceRecord> InstanceTable::chosenIn(const Region &region, const InstanceRecord &self) const
{
    return chosenOf(readyIn(&region, self));
}

std::size_t InstanceTable::countChosen(const InstanceRecord &self) const
{
    std::set<Region> regions{self.region};
    for (const auto &[id, record] : records_) {
        regions.insert(record.region);
    }
    std::size_t sum = 0;
    for (const Region &region : regions) {
        sum += chosenIn(region, self).size();
    }
    return std::max<std::size_t>(sum, 1);
}

Senders InstanceTable::senders(const InstanceRecord &self) const
{
    std::map<Region, std::vector<InstanceRecord>> known;
    known[self.region].push_back(self);
    for (const auto &[id, record] : records_) {
        if (id != self.id) {
            known[record.region].push_back(record);
        }
    }
    Senders chosen;
    Senders allReady;
    for (const auto &[region, records] : known) {
        const auto now = chosenOf(readyOf(records));
        const auto then = chosenOf(records);
        chosen = {chosen.count + now.size(), chosen.self || includes(now, self.id)};
        allReady = {allReady.count + then.size(), allReady.self || includes(then, self.id)};
    }
    return {std::max({chosen.count, allReady.count, std::size_t{1}}), chosen.self || allReady.self};
}

std::vector<Address> InstanceTable::addressesFor(const Region &region, const InstanceRecord &self, std::size_t most)
{
    std::vector<InstanceRecord> chosen = chosenIn(region, self);
    if (chosen.empty()) {
        chosen = readyIn(nullptr, self);
    }
    std::shuffle(chosen.begin(), chosen.end(), random_);
    chosen.resize(std::min(chosen.size(), most));
    std::vector<Address> addresses;
    addresses.reserve(chosen.size());
    for (const InstanceRecord &record : chosen) {
        addresses.push_back(record.address);
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
