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
    /// How many processor cores it has, in parts of one.
    double cores = 1;
    /// Whether its loop is late, so that it wants fewer clients.
    bool crowded = false;

    auto fields() const
    {
        return std::tie(id, address, peers, region, dataCentre, ready, cores, crowded);
    }
};

/// The instances that clients are sent to, and whether this one is among them.
struct Senders
{
    std::size_t count = 0;
    bool self = false;

    auto fields() const
    {
        return std::tie(count, self);
    }
};

/// The instances that are alive, as the store tells, and the answer to which of them a client uses.
///
/// Records that lapse while the store is out of reach are kept as they were until `dropLapsed`: their instances are more
/// likely alive than not, and a client that finds one gone tries another.
class InstanceTable
{
public:
    /// Records of the table, valid until its next change; one of them may be the caller's own.
    using Records = std::vector<const InstanceRecord *>;

    explicit InstanceTable(std::uint64_t seed);

    void put(const InstanceRecord &record);
    void remove(const InstanceId &id, bool storeDisturbed);
    void replace(const std::vector<InstanceRecord> &records, bool storeDisturbed);
    void dropLapsed();

    /// The addresses for a client of the region: the chosen instances there, or all that take clients where there is none, in
    /// random order, at most `most`. `self` stands for what this instance knows of itself.
    std::vector<Address> addressesFor(const Region &region, const InstanceRecord &self, std::size_t maxCount);

    /// The instances of a region that its clients are sent to.
    ///
    /// Answers fleets of unlike instances: a request to many shards takes an instance with a small part of a core several times
    /// as long, and the fewer instances ask a server, the more each of them knows of it and the more connections it may keep.
    /// So clients go to the large instances while these are several and have room. A few crowded ones are left out; where many are
    /// crowded there is more work than the large ones bear, and clients go to all.
    Records chosenIn(const Region &region, const InstanceRecord &self) const;

    /// The instances that are chosen in all regions together, at least one.
    Senders chosen(const InstanceRecord &self) const;

    /// The instances that may send many requests to servers, as far as the records tell: those that are chosen, or those that would
    /// be if all were ready, whichever are more. Just after a restart of many, few are ready and all are about to send.
    Senders senders(const InstanceRecord &self) const;

    /// How many instances there are; `self` is counted once.
    std::size_t count(const InstanceRecord &self) const;

    /// The records of a region.
    std::vector<InstanceRecord> recordsIn(const Region &region) const;

private:
    Records all(const InstanceRecord &self) const;
    std::map<Region, Records> byRegion(const InstanceRecord &self) const;

    std::map<InstanceId, InstanceRecord> records_;
    std::set<InstanceId> lapsed_;
    std::mt19937_64 random_;
};

} // namespace Burdock
