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
    const std::vector<InstanceRecord> ready = readyIn(&region, self);
    double most = 0;
    for (const InstanceRecord &record : ready) {
        most = std::max(most, record.cores);
    }
    std::vector<InstanceRecord> large;
    std::copy_if(ready.begin(), ready.end(), std::back_inserter(large), [most](const InstanceRecord &record) { return record.cores >= most * LargePart; });
    const bool crowded = std::any_of(large.begin(), large.end(), [](const InstanceRecord &record) { return record.crowded; });
    return large.size() < LeastChosen || crowded ? ready : large;
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
