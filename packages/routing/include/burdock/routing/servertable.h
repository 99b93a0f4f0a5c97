#pragma once

#include <burdock/routing/routingconfig.h>
#include <burdock/values/address.h>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace Burdock
{

/// What a backend server says of itself in the store.
struct ServerEntry
{
    ServerId id;
    ServiceName service;
    Address address;
    DataCentre dataCentre;
    bool draining = false;
    /// How many requests it works on at a time.
    std::uint32_t slots = 1;
    /// For how much longer it is slow after its start.
    Duration coldFor{0};
    /// The Unix millisecond of its start; another value under the same id is another life.
    std::int64_t born = 0;

    auto fields() const
    {
        return std::tie(id, service, address, dataCentre, draining, slots, coldFor, born);
    }
};

/// A server as the table holds it; the pointer stays the same through one life of the server.
using ServerHandle = std::shared_ptr<const ServerEntry>;

/// The servers that may get requests, by service.
///
/// A server that reports draining, or whose entry is removed, gets nothing more. Entries also lapse while the store is
/// out of reach; such a server counts as lapsed, of use where its service has no other, until `dropLapsed`.
class ServerTable
{
public:
    /// Called with the server and whether it is listed now.
    using ChangeHandler = std::function<void(const ServerEntry &, bool)>;

    explicit ServerTable(ChangeHandler changed);

    /// Takes in an entry that was written.
    void put(const ServerEntry &entry);

    /// The entry was removed, or overwritten by something that names no server. `storeDisturbed`: it may have lapsed only because
    /// the store was out of reach.
    void remove(const ServerId &id, bool storeDisturbed);

    /// Replaces the whole listing.
    void replace(const std::vector<ServerEntry> &entries, bool storeDisturbed);

    /// From now on lapsed servers are gone.
    void dropLapsed();

    /// The servers of a service that may get requests; lapsed ones where there is no other.
    const std::vector<ServerHandle> &servers(const ServiceName &service) const;

    /// Whether the server is in the table in the same life and may get requests.
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

    void unlist(const ServerId &id);

    ChangeHandler changed_;
    std::unordered_map<ServerId, ServerHandle> listed_;
    std::unordered_map<ServerId, ServerHandle> lapsed_;
    std::unordered_map<ServiceName, Service> services_;
};

} // namespace Burdock
