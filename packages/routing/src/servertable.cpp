#include <burdock/routing/servertable.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace Burdock
{

namespace
{

void erase(std::vector<ServerHandle> &servers, const ServerId &id)
{
    const auto hasId = [&id](const ServerHandle &server) { return server->id == id; };
    servers.erase(std::remove_if(servers.begin(), servers.end(), hasId), servers.end());
}

bool sameIncarnation(const ServerEntry &a, const ServerEntry &b)
{
    return a.service == b.service && a.address == b.address && a.born == b.born;
}

} // namespace

ServerTable::ServerTable(ChangeHandler changed)
    : changed_(std::move(changed))
{
}

void ServerTable::put(const ServerEntry &entry)
{
    const auto current = listed_.find(entry.id);
    editions_[entry.id] = entry.edition();
    withdrawn_.forget(entry.id.text());
    const bool unchanged = current != listed_.end() && sameIncarnation(*current->second, entry) && current->second->draining == entry.draining;
    if (unchanged) {
        return;
    }
    unlist(entry.id);
    const auto handle = std::make_shared<const ServerEntry>(entry);
    listed_[entry.id] = handle;
    if (!entry.draining) {
        services_[entry.service].ready.push_back(handle);
    }
    changed_(entry, !entry.draining);
}

void ServerTable::unlist(const ServerId &id)
{
    for (auto *table : {&listed_, &lapsed_}) {
        const auto node = table->extract(id);
        if (!node.empty()) {
            Service &service = services_[node.mapped()->service];
            erase(service.ready, id);
            erase(service.lapsed, id);
        }
    }
}

void ServerTable::withdraw(const ServerId &id)
{
    const auto node = editions_.extract(id);
    if (!node.empty()) {
        withdrawn_.add(id.text(), node.mapped());
    }
}

void ServerTable::remove(const ServerId &id, bool storeDisturbed)
{
    const auto current = listed_.find(id);
    if (current == listed_.end()) {
        return;
    }
    const ServerHandle handle = current->second;
    unlist(id);
    if (storeDisturbed && !handle->draining) {
        lapsed_[id] = handle;
        services_[handle->service].lapsed.push_back(handle);
    } else {
        withdraw(id);
    }
    changed_(*handle, false);
}

bool ServerTable::isOutdated(const ServerEntry &entry) const
{
    const auto known = editions_.find(entry.id);
    return withdrawn_.covers(entry.id.text(), entry.edition()) || (known != editions_.end() && entry.edition().isBefore(known->second));
}

void ServerTable::replace(const std::vector<ServerEntry> &entries, bool storeDisturbed)
{
    std::unordered_set<ServerId> listedIds;
    for (const ServerEntry &entry : entries) {
        listedIds.insert(entry.id);
        if (!isOutdated(entry)) {
            put(entry);
        }
    }
    std::vector<ServerId> missing;
    for (const auto &[id, handle] : listed_) {
        if (listedIds.count(id) == 0) {
            missing.push_back(id);
        }
    }
    for (const ServerId &id : missing) {
        remove(id, storeDisturbed);
    }
}

void ServerTable::dropLapsed()
{
    for (const auto &[id, handle] : lapsed_) {
        erase(services_[handle->service].lapsed, id);
        withdraw(id);
    }
    lapsed_.clear();
}

const std::vector<ServerHandle> &ServerTable::servers(const ServiceName &service) const
{
    static const std::vector<ServerHandle> none;
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return none;
    }
    return usableOf(found->second);
}

const std::vector<ServerHandle> &ServerTable::usableOf(const Service &service)
{
    return service.ready.empty() ? service.lapsed : service.ready;
}

std::vector<ServerHandle> ServerTable::allUsable() const
{
    std::vector<ServerHandle> all;
    for (const auto &[name, service] : services_) {
        all.insert(all.end(), usableOf(service).begin(), usableOf(service).end());
    }
    return all;
}

ServerTable::Counts ServerTable::usableCounts() const
{
    Counts counts;
    for (const auto &[name, service] : services_) {
        counts.servers += usableOf(service).size();
        counts.services += usableOf(service).empty() ? 0 : 1;
    }
    return counts;
}

bool ServerTable::usable(const ServerEntry &entry) const
{
    const auto current = listed_.find(entry.id);
    if (current != listed_.end()) {
        return sameIncarnation(*current->second, entry) && !current->second->draining;
    }
    const auto lapsed = lapsed_.find(entry.id);
    return lapsed != lapsed_.end() && sameIncarnation(*lapsed->second, entry);
}

} // namespace Burdock
