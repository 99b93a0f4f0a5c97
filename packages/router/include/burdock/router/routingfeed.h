#pragma once

#include <burdock/router/decisionlog.h>
#include <burdock/router/dialect.h>
#include <burdock/router/relayservice.h>
#include <burdock/routing/instancetable.h>
#include <burdock/routing/routetable.h>
#include <burdock/routing/servertable.h>
#include <burdock/routing/storefollower.h>

#include <functional>
#include <memory>

namespace Burdock
{

/// What the router learns from the store: the routes, the servers and the other instances.
///
/// Routes never go back to an older version. Entries that vanish while the store is out of reach, and shortly after, count as
/// lapsed; once the store has been back for a while its listing is believed again.
class RoutingFeed
{
public:
    /// What is told of news: another version of the routes, a whole listing of servers, and other instances, the changes of about a
    /// tenth of a second together.
    struct Events
    {
        std::function<void(std::shared_ptr<const RouteTable>)> onRoutes;
        std::function<void()> onServersListed;
        std::function<void()> onInstances;
    };

    RoutingFeed(Runtime &runtime,
                Store &store,
                const Dialect &dialect,
                ServerTable &servers,
                InstanceTable &instances,
                RelayService &relay,
                DecisionLog &log,
                Events events);
    ~RoutingFeed();
    RoutingFeed(const RoutingFeed &) = delete;
    RoutingFeed &operator=(const RoutingFeed &) = delete;

    void start();

    /// After a suspension: reads everything again.
    void restart();

    /// Whether routes and servers are known.
    bool hasRoutesAndServers() const;

    /// The version of the routes; zero while none are known.
    std::int64_t version() const
    {
        return version_;
    }

private:
    using ListingHandler = void (RoutingFeed::*)(const std::vector<StoreEntry> &);
    using ChangeHandler = void (RoutingFeed::*)(const StoreEntry &);

    StoreFollower::Events makeEvents(const char *dependency, const std::string &prefix, ListingHandler onListing, ChangeHandler onChange);
    void applyConfigs(const std::vector<StoreEntry> &entries);
    void applyConfig(const StoreEntry &entry);
    void applyServer(const StoreEntry &entry);
    void applyServers(const std::vector<StoreEntry> &entries);
    void applyInstance(const StoreEntry &entry);
    void applyInstances(const std::vector<StoreEntry> &entries);
    void onReachability(const char *dependency, const Failure *failure);
    void logSkipped(const char *dependency, const std::string &key, const std::string &reason);
    bool isDisturbed() const;

    Runtime &runtime_;
    const Dialect &dialect_;
    ServerTable &servers_;
    InstanceTable &instances_;
    RelayService &relay_;
    DecisionLog &log_;
    const Events events_;
    std::int64_t version_ = 0;
    /// How many of the followers do not reach the store.
    int unreachableFollowers_ = 0;
    TimePoint disturbedUntil_{};
    TimerId dropLapsedTimer_ = 0;
    TimerId instancesTimer_ = 0;
    StoreFollower config_;
    StoreFollower serverEntries_;
    StoreFollower instanceRecords_;
};

} // namespace Burdock
