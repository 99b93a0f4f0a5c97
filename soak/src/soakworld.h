#pragma once

#include "loopbackproxy.h"
#include "routertestbed.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Burdock
{

/// The deployment under soak: the stand-in platform, servers, instances, and proxies before the store and some servers.
class SoakWorld
{
public:
    explicit SoakWorld(int instances);

    /// The names of the instances, and the ids of the servers.
    const std::vector<std::string> &instances() const
    {
        return instances_;
    }
    const std::vector<std::string> &servers() const
    {
        return servers_;
    }
    const std::string &serviceOf(const std::string &server) const
    {
        return services_.at(server);
    }

    /// The shards of each configuration that was ever sent, and the version sent last.
    const std::vector<std::set<std::string>> &shardSets() const
    {
        return shardSets_;
    }
    std::int64_t version() const
    {
        return version_;
    }

    /// Sends the next configuration; `reshard` names the other set of shards from now on.
    void sendConfig(bool reshard);

    /// Starts an instance, or starts it again.
    void start(const std::string &instance);

    /// The n-th life of an instance; a new one with each start.
    int life(const std::string &instance) const
    {
        return lives_.at(instance);
    }

    /// A fault was begun or ended; promises with a time bound hold for what is undisturbed.
    void disturb(const std::string &what);
    bool undisturbed(const std::string &what, Duration span) const;

    LoopbackProxy &storeProxy(const std::string &instance)
    {
        return *storeProxies_.at(instance);
    }
    LoopbackProxy &serverProxy()
    {
        return *serverProxy_;
    }

    /// A new server of a shard, for one that left.
    std::string replaceServer(const std::string &id);

    RouterTestbed &bed()
    {
        return bed_;
    }

    static constexpr int PartRecords = 4;
    static constexpr std::size_t ResultLimit = 4;
    static constexpr double LeastShare = 0.6;

private:
    void addServer(const std::string &id, const std::string &service);

    RouterTestbed bed_;
    std::vector<std::string> instances_;
    std::vector<std::string> servers_;
    std::map<std::string, std::string> services_;
    std::map<std::string, int> lives_;
    std::map<std::string, TimePoint> disturbed_;
    std::map<std::string, std::unique_ptr<LoopbackProxy>> storeProxies_;
    std::unique_ptr<LoopbackProxy> serverProxy_;
    std::vector<std::set<std::string>> shardSets_;
    std::int64_t version_ = 0;
    bool secondSet_ = false;
    int replacements_ = 0;
};

} // namespace Burdock
