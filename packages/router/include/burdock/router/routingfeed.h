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
        std::function<void(std::shared_ptr<const RouteTable>)> routes;
        std::function<void()> serversListed;
        std::function<void()> instances;
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
    bool known() const;

    /// The version of the routes; zero while none are known.
    std::int64_t version() const
    {
        return version_;
    }

private:
    using TakeAll = void (RoutingFeed::*)(const std::vector<StoreEntry> &);
    using TakeOne = void (RoutingFeed::*)(const StoreEntry &);

    StoreFollower::Events eventsOf(const char *what, const std::string &prefix, TakeAll all, TakeOne one);
    void takeConfigs(const std::vector<StoreEntry> &entries);
    void takeConfig(const StoreEntry &entry);
    void takeServer(const StoreEntry &entry);
    void takeServers(const std::vector<StoreEntry> &entries);
    void takeInstance(const StoreEntry &entry);
    void takeInstances(const std::vector<StoreEntry> &entries);
    void reach(const char *what, const Failure *failure);
    void skipped(const char *what, const std::string &key, const std::string &why);
    bool disturbed() const;

    Runtime &runtime_;
    const Dialect &dialect_;
    ServerTable &servers_;
    InstanceTable &instances_;
    RelayService &relay_;
    DecisionLog &log_;
    const Events events_;
    std::int64_t version_ = 0;
    /// How many of the followers do not reach the store.
    int lost_ = 0;
    TimePoint disturbedUntil_{};
    TimerId believeTimer_ = 0;
    TimerId tellTimer_ = 0;
    StoreFollower config_;
    StoreFollower serverEntries_;
    StoreFollower instanceRecords_;
};

} // namespace Burdock
