#pragma once

#include <burdock/routing/routingconfig.h>
#include <burdock/routing/withdrawnentries.h>
#include <burdock/values/address.h>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace Burdock
{

/// A backend server's entry in the store.
struct ServerEntry
{
    ServerId id;
    ServiceName service;
    Address address;
    DataCentre dataCentre;
    bool draining = false;
    /// The number of requests that it processes concurrently.
    std::uint32_t slots = 1;
    /// The remaining duration of its slow phase after its start.
    Duration coldFor{0};
    /// The start time in Unix milliseconds; a different value under the same id means that the server has restarted.
    std::int64_t born = 0;
    /// The number of the write in this life of the server; zero if the entry does not state it.
    std::int64_t sequence = 0;

    EntryEdition edition() const
    {
        return {born, sequence};
    }

    auto fields() const
    {
        return std::tie(id, service, address, dataCentre, draining, slots, coldFor, born, sequence);
    }
};

/// A server in the table; the pointer is stable until the server restarts or starts draining.
using ServerHandle = std::shared_ptr<const ServerEntry>;

/// The servers that may get requests, by service.
///
/// A server that reports draining, or whose entry is removed, gets no more requests. Entries also lapse while the store is
/// unreachable; until `dropLapsed`, such a server is used if its service has no other.
class ServerTable
{
public:
    /// Called with a server and whether it may get requests now.
    using ChangeHandler = std::function<void(const ServerEntry &, bool)>;

    explicit ServerTable(ChangeHandler changed);

    /// Adds or updates an entry.
    void put(const ServerEntry &entry);

    /// Removes an entry that was deleted or overwritten by a value that is no server entry. `storeDisturbed` states that it may
    /// have lapsed only because the store was unreachable.
    void remove(const ServerId &id, bool storeDisturbed);

    /// Whether an entry in a listing is older than what is known of the server, or had been withdrawn: the store was restored from
    /// a copy, and the server has not written again.
    bool isOutdated(const ServerEntry &entry) const;

    /// Replaces all entries. Outdated ones change nothing.
    void replace(const std::vector<ServerEntry> &entries, bool storeDisturbed);

    /// Removes all lapsed servers.
    void dropLapsed();

    /// Returns the servers of a service that may get requests, or the lapsed ones if there are none.
    const std::vector<ServerHandle> &servers(const ServiceName &service) const;

    /// Returns all servers that may get requests.
    std::vector<ServerHandle> allUsable() const;

    struct Counts
    {
        std::size_t servers = 0;
        std::size_t services = 0;
    };

    /// Counts the servers that may get requests, and their services.
    Counts usableCounts() const;

    /// Whether the server is in the table, has not restarted and may get requests.
    bool usable(const ServerEntry &entry) const;

    std::size_t size() const
    {
        return listed_.size();
    }

private:
    struct Service
    {
        std::vector<ServerHandle> ready;
        std::vector<ServerHandle> lapsed;
    };

    static const std::vector<ServerHandle> &usableOf(const Service &service);
    void unlist(const ServerId &id);
    void withdraw(const ServerId &id);

    ChangeHandler changed_;
    std::unordered_map<ServerId, ServerHandle> listed_;
    std::unordered_map<ServerId, ServerHandle> lapsed_;
    std::unordered_map<ServiceName, Service> services_;
    /// The last known edition of each listed or lapsed entry.
    std::unordered_map<ServerId, EntryEdition> editions_;
    WithdrawnEntries withdrawn_;
};

} // namespace Burdock
