#include <burdock/routing/instancetable.h>

#include <algorithm>

namespace Burdock
{

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

std::vector<Address> InstanceTable::addressesFor(const Region &region, const InstanceRecord &self, std::size_t most)
{
    std::vector<Address> near;
    std::vector<Address> all;
    const auto consider = [&](const InstanceRecord &record) {
        if (!record.ready) {
            return;
        }
        all.push_back(record.address);
        if (record.region == region) {
            near.push_back(record.address);
        }
    };
    consider(self);
    for (const auto &[id, record] : records_) {
        if (id != self.id) {
            consider(record);
        }
    }
    std::vector<Address> &chosen = near.empty() ? all : near;
    std::shuffle(chosen.begin(), chosen.end(), random_);
    chosen.resize(std::min(chosen.size(), most));
    return chosen;
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

std::size_t InstanceTable::countIn(const Region &region, const InstanceRecord &self) const
{
    std::size_t found = self.region == region ? 1 : 0;
    for (const auto &[id, record] : records_) {
        found += id != self.id && record.region == region ? 1 : 0;
    }
    return found;
}

} // namespace Burdock
