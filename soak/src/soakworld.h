#pragma once

#include "loopbackproxy.h"
#include "routertestbed.h"
#include "soakbuilds.h"
#include "soakworkspaces.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Burdock
{

/// The deployment under test: the fake platform, its servers, the instances, and proxies in front of the store and one server.
class SoakWorld
{
public:
    /// `seed` chooses the keys of clients.
    SoakWorld(int instances, SoakBuilds builds, std::uint64_t seed);

    /// The names of the instances.
    const std::vector<std::string> &instances() const
    {
        return instances_;
    }
    /// The letter that names the instance's region and zone.
    std::string regionOf(const std::string &instance) const;
    /// The ids of the servers that have not left.
    const std::vector<std::string> &servers() const
    {
        return servers_;
    }
    const std::string &serviceOf(const std::string &server) const
    {
        return services_.at(server);
    }

    /// The shards of every published configuration.
    const std::vector<std::set<std::string>> &shardSets() const
    {
        return shardSets_;
    }
    /// The version that was published last.
    std::int64_t version() const
    {
        return version_;
    }

    /// Publishes the next configuration; `reshard` switches to the other set of shards.
    void publishConfig(bool reshard);

    /// Whether callers need keys. Not beside an earlier build, which may know no workspaces.
    bool hasWorkspaces() const
    {
        return !builds_.hasEarlier();
    }
    SoakWorkspaces &workspaces()
    {
        return workspaces_;
    }

    /// Replaces a key of a workspace and publishes this.
    void withdrawKey();

    /// Changes the rate of a workspace and publishes this.
    void changeRate();

    /// Whether a fault on any instance, link or the store began or ended between these times.
    bool isDisturbedBetween(TimePoint from, TimePoint until) const;

    /// Starts or restarts an instance.
    void start(const std::string &instance);

    /// Which build each instance runs.
    SoakBuilds &builds()
    {
        return builds_;
    }

    /// How often the instance has been started.
    int incarnation(const std::string &instance) const
    {
        return incarnations_.at(instance);
    }

    /// The number of shards of the configuration that has most of them.
    static std::size_t mostShards();

    /// How often instances have been started in all.
    int starts() const
    {
        return starts_;
    }

    /// Records that a fault on `what` (an instance, `store` or `config`) began or ended now. Time-bounded guarantees apply only to what is
    /// undisturbed.
    void recordDisturbance(const std::string &what);

    /// Whether no fault on `what` began or ended within the last `span`.
    bool isUndisturbed(const std::string &what, Duration span) const;

    /// Cuts instances off from all servers; see RouterTestbed::cut().
    void cutOff(const std::vector<std::string> &instances, const std::string &how);
    void endCutOff(const std::vector<std::string> &instances);

    /// Whether the instance has been cut off for at least `span`.
    bool isCutOff(const std::string &instance, Duration span = Duration{0}) const;

    LoopbackProxy &storeProxy(const std::string &instance)
    {
        return *storeProxies_.at(instance);
    }
    LoopbackProxy &serverProxy()
    {
        return *serverProxy_;
    }

    /// Adds a server of the same service for one that leaves, and returns its id.
    std::string replaceServer(const std::string &id);

    RouterTestbed &testbed()
    {
        return testbed_;
    }

    static constexpr int RateWindowSeconds = 5;
    static constexpr double RateOverage = 0.1;
    static constexpr double RateSlack = 20;
    static constexpr int RecordsPerShard = 4;
    static constexpr std::size_t ResultLimit = 4;
    static constexpr double MinShardShare = 0.6;

private:
    void addServer(const std::string &id, const std::string &service);

    RouterTestbed testbed_;
    SoakBuilds builds_;
    SoakWorkspaces workspaces_;
    std::vector<std::string> instances_;
    std::vector<std::string> servers_;
    std::map<std::string, std::string> services_;
    std::map<std::string, int> incarnations_;
    std::map<std::string, TimePoint> disturbances_;
    /// When faults began or ended, other than new configurations.
    std::vector<TimePoint> disturbedAt_;
    /// The instances that are cut off, and since when.
    std::map<std::string, TimePoint> cutOff_;
    std::map<std::string, std::unique_ptr<LoopbackProxy>> storeProxies_;
    std::unique_ptr<LoopbackProxy> serverProxy_;
    std::vector<std::set<std::string>> shardSets_;
    std::int64_t version_ = 0;
    bool usesSecondShards_ = false;
    int replacements_ = 0;
    int starts_ = 0;
};

} // namespace Burdock
