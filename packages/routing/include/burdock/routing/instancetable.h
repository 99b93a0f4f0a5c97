#pragma once

#include <burdock/routing/connectionshares.h>
#include <burdock/routing/withdrawnentries.h>
#include <burdock/values/address.h>
#include <burdock/values/names.h>

#include <map>
#include <random>
#include <set>
#include <vector>

namespace Burdock
{

/// An instance's record in the store, which all other instances read.
struct InstanceRecord
{
    InstanceId id;
    /// The address for clients.
    Address address;
    /// The address at which other instances request changes of the store.
    Address peers;
    Region region;
    DataCentre dataCentre;
    /// Whether the instance accepts new clients.
    bool ready = false;
    /// The number of processor cores; may be fractional.
    double cores = 1;
    /// Whether its event loop is delayed, so that it should get fewer clients.
    bool crowded = false;
    /// Which write of which life of the instance the record is.
    EntryEdition edition{};
    /// Whether the instance can reach no server. It serves clients through other instances.
    bool cutOff = false;
    /// Whether the instance's build serves requests that others pass on.
    bool takesRequests = true;
    /// Whether the instance's build shares rates out over all instances.
    bool sharesRates = true;
    /// Whether the instance's build serves requests only in the regions of their routes.
    bool keepsRegions = true;
    /// Whether the instance follows which data centres are emptied, so that others can learn it from there.
    bool followsEmptied = false;

    auto fields() const
    {
        return std::tie(
            id, address, peers, region, dataCentre, ready, cores, crowded, edition, cutOff, takesRequests, sharesRates, keepsRegions, followsEmptied);
    }
};

/// The number of instances that clients are directed to, and whether this instance is one of them.
struct Senders
{
    std::size_t count = 0;
    bool self = false;

    auto fields() const
    {
        return std::tie(count, self);
    }
};

/// The live instances according to the store; selects those that clients use.
///
/// Records that lapse while the store is unreachable are kept until `dropLapsed`: their instances are probably alive, and a
/// client that cannot reach one tries another.
class InstanceTable
{
public:
    /// Pointers to records, valid until the table's next change; one may point to the caller's `self`.
    using Records = std::vector<const InstanceRecord *>;

    explicit InstanceTable(std::uint64_t seed);

    void put(const InstanceRecord &record);
    void remove(const InstanceId &id, bool storeDisturbed);
    /// Whether a record in a listing is older than the known one, or had been withdrawn: the store was restored from a copy.
    bool isOutdated(const InstanceRecord &record) const;
    /// Replaces all records. Outdated ones change nothing.
    void replace(const std::vector<InstanceRecord> &records, bool storeDisturbed);
    void dropLapsed();

    /// Returns at most `maxCount` addresses for a client of the region, in random order: the chosen instances there, or all ready
    /// instances of all regions if there are none. Instances that are cut off are left out unless all ready ones are. `self`
    /// replaces this instance's record in the store.
    std::vector<Address> addressesFor(const Region &region, const InstanceRecord &self, std::size_t maxCount);

    /// Returns the instances of a region that its clients are directed to while none is cut off. What instances share, such as limits
    /// and connections to servers, is divided among these.
    ///
    /// Instances differ in size: a request to many shards takes several times as long on an instance with a fraction of a core.
    /// Fewer senders per server also means more latency samples and more connections for each of them. Clients therefore use
    /// the large instances while there are several with spare capacity. A few crowded instances are left out; if many are
    /// crowded, the load exceeds the capacity of the large ones and clients use all.
    Records chosenIn(const Region &region, const InstanceRecord &self) const;

    /// Returns the instances that can serve requests for this one, in groups: those that clients of its region are directed to, then
    /// the other ready ones of its region, then those of other regions. None is cut off, and no group is empty.
    std::vector<Records> helpersFor(const InstanceRecord &self) const;

    /// Whether the instance has a record.
    bool contains(const InstanceId &id) const;

    /// Whether another instance is ready, be it cut off or not.
    bool hasOtherReady(const InstanceRecord &self) const;

    /// Counts the chosen instances of all regions; the count is at least 1.
    Senders chosen(const InstanceRecord &self) const;

    /// Returns the instances among which the connections to servers are divided: the chosen ones of all regions, and those that clients
    /// are directed to instead while chosen ones are cut off.
    std::vector<ConnectionHolder> connectionHolders(const InstanceRecord &self) const;

    /// Estimates the instances that send many requests to servers: the chosen ones, or those that would be chosen if all were
    /// ready, whichever is more. Just after a restart of many instances, few are ready but all are about to send.
    Senders senders(const InstanceRecord &self) const;

    /// Returns the chosen instances of all regions, and those that would be chosen if all were ready.
    std::vector<InstanceId> senderIds(const InstanceRecord &self) const;

    /// Returns the instances among which rates are divided: the senders whose builds do so, the oldest first, which stay in this order
    /// while others come and go.
    Records rateSharers(const InstanceRecord &self) const;

    /// Whether clients would be directed to this instance if all were ready.
    bool wouldBeChosen(const InstanceRecord &self) const;

    /// Returns the number of instances; `self` is counted once.
    std::size_t count(const InstanceRecord &self) const;

    /// Returns the records of a region.
    std::vector<InstanceRecord> recordsIn(const Region &region) const;

private:
    Records all(const InstanceRecord &self) const;
    /// Returns the ready instances that are not cut off.
    Records connected(const InstanceRecord &self) const;
    /// Returns the instances that clients of a region are directed to, which may stand in other regions.
    Records directedFrom(const Region &region, const InstanceRecord &self) const;
    void withdraw(const InstanceId &id);
    std::map<Region, Records> byRegion(const InstanceRecord &self) const;

    std::map<InstanceId, InstanceRecord> records_;
    std::set<InstanceId> lapsed_;
    WithdrawnEntries withdrawn_;
    std::mt19937_64 random_;
};

} // namespace Burdock
