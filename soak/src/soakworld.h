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
    void publishConfig(bool reshard);

    /// Starts an instance, or starts it again.
    void start(const std::string &instance);

    /// The n-th incarnation of an instance; a new one with each start.
    int incarnation(const std::string &instance) const
    {
        return incarnations_.at(instance);
    }

    /// A fault was begun or ended; promises with a time bound hold for what is isUndisturbed.
    void recordDisturbance(const std::string &what);
    bool isUndisturbed(const std::string &what, Duration span) const;

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

    RouterTestbed &testbed()
    {
        return testbed_;
    }

    static constexpr int RecordsPerShard = 4;
    static constexpr std::size_t ResultLimit = 4;
    static constexpr double MinShardShare = 0.6;

private:
    void addServer(const std::string &id, const std::string &service);

    RouterTestbed testbed_;
    std::vector<std::string> instances_;
    std::vector<std::string> servers_;
    std::map<std::string, std::string> services_;
    std::map<std::string, int> incarnations_;
    std::map<std::string, TimePoint> disturbances_;
    std::map<std::string, std::unique_ptr<LoopbackProxy>> storeProxies_;
    std::unique_ptr<LoopbackProxy> serverProxy_;
    std::vector<std::set<std::string>> shardSets_;
    std::int64_t version_ = 0;
    bool usesSecondShards_ = false;
    int replacements_ = 0;
};

} // namespace Burdock
