#pragma once

#include <burdock/values/address.h>
#include <burdock/values/names.h>

#include <map>
#include <random>
#include <set>
#include <vector>

namespace Burdock
{

/// What an instance tells the others through the store.
struct InstanceRecord
{
    InstanceId id;
    /// Where clients connect.
    Address address;
    /// Where other instances ask for changes of the store.
    Address peers;
    Region region;
    DataCentre dataCentre;
    /// Whether it takes new clients.
    bool ready = false;

    auto fields() const
    {
        return std::tie(id, address, peers, region, dataCentre, ready);
    }
};

/// The instances that are alive, as the store tells, and the answer to which of them a client uses.
///
/// Records that lapse while the store is out of reach are kept as they were until `believeListing`: their instances are more
/// likely alive than not, and a client that finds one gone tries another.
class InstanceTable
{
public:
    explicit InstanceTable(std::uint64_t seed);

    void put(const InstanceRecord &record);
    void remove(const InstanceId &id, bool storeDisturbed);
    void replace(const std::vector<InstanceRecord> &records, bool storeDisturbed);
    void believeListing();

    /// The addresses for a client of the region: the instances there that take clients, or all where there is none, in random
    /// order, at most `most`. `self` stands for what this instance knows of itself.
    std::vector<Address> addressesFor(const Region &region, const InstanceRecord &self, std::size_t most);

    /// How many instances there are, and how many of them in the region; `self` is counted once.
    std::size_t count(const InstanceRecord &self) const;
    std::size_t countIn(const Region &region, const InstanceRecord &self) const;

    /// The records of a region.
    std::vector<InstanceRecord> recordsIn(const Region &region) const;

private:
    std::map<InstanceId, InstanceRecord> records_;
    std::set<InstanceId> lapsed_;
    std::mt19937_64 random_;
};

} // namespace Burdock
