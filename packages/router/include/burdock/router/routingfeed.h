#pragma once

#include <burdock/router/changesummary.h>
#include <burdock/router/decisionlog.h>
#include <burdock/router/dialect.h>
#include <burdock/router/relayservice.h>
#include <burdock/routing/crashguard.h>
#include <burdock/routing/emptieddatacentres.h>
#include <burdock/routing/instancetable.h>
#include <burdock/routing/routetable.h>
#include <burdock/routing/servertable.h>
#include <burdock/routing/storefollower.h>

#include <functional>
#include <memory>
#include <optional>

namespace Burdock
{

/// Follows the routes, the servers, the other instances and the data centres that operators empty in the store and keeps the tables up
/// to date.
///
/// Routes never return to an older version. Entries that disappear while the store is unreachable, or shortly after, are kept as
/// lapsed; they are dropped once the store has been reachable again for a while.
///
/// A store that was restored from a copy lists older routes and entries that had been withdrawn, and lacks some that are in use.
/// The routes stay, what was withdrawn stays away, and what is missing counts as lapsed until its writers have had time to write
/// again. Other instances are served the same view.
///
/// Where data centres can be emptied, the servers are read after these: no request is sent before it is known where it may not go.
class RoutingFeed
{
public:
    /// Called with a new version of the routes, after a full listing of the servers, after changes of the instances, and when the
    /// store was restored from a copy. Changes of the instances within a tenth of a second are combined into one call.
    struct Events
    {
        std::function<void(std::shared_ptr<const RouteTable>)> onRoutes;
        std::function<void()> onServersListed;
        std::function<void()> onInstances;
        std::function<void(std::int64_t history)> onHistoryLost;
        /// Called with what an instance has seen of requests in progress at crashes; it may be this one in an earlier life.
        std::function<void(const InstanceId &from, const std::vector<CrashReport> &)> onCrashReports = [](const InstanceId &,
                                                                                                          const std::vector<CrashReport> &) {};
    };

    /// `emptied` is null where data centres cannot be emptied.
    RoutingFeed(Runtime &runtime,
                Store &store,
                const Dialect &dialect,
                ServerTable &servers,
                InstanceTable &instances,
                EmptiedDataCentres *emptied,
                RelayService &relay,
                DecisionLog &log,
                Events events);
    ~RoutingFeed();
    RoutingFeed(const RoutingFeed &) = delete;
    RoutingFeed &operator=(const RoutingFeed &) = delete;

    void start();

    /// Takes the configuration that another instance has in force, if it is newer: a store that was restored from a copy may
    /// list an older one.
    void offerConfig(const StoreEntry &entry);

    /// Returns the entry with the configuration in force, however old it is, or nothing before there is one.
    std::optional<StoreEntry> configInForce() const;

    /// Returns the key of an instance's crash reports, which lies under the prefix of the instances' records.
    static std::string crashReportsKey(const Dialect &dialect, const InstanceId &instance);

    /// Lists all entries again, for use after a suspension of the machine.
    void restart();

    /// Whether the routes and the servers have been read.
    bool hasRoutesAndServers() const;

    /// Whether changes of servers come from a listing, which is logged as a whole.
    bool isListingServers() const
    {
        return listingServers_;
    }

    /// Whether the other instances' records have been read.
    bool hasInstances() const
    {
        return instanceRecords_.hasListing();
    }

    /// Returns the version of the routes, or zero before the first ones are read.
    std::int64_t version() const
    {
        return version_;
    }

private:
    /// Apply a listing or a change, and return what other instances are served of it.
    using ListingHandler = std::vector<StoreEntry> (RoutingFeed::*)(const std::vector<StoreEntry> &);
    using ChangeHandler = StoreEntry (RoutingFeed::*)(const StoreEntry &);

    StoreFollower::Events makeEvents(const char *dependency, const std::string &prefix, ListingHandler onListing, ChangeHandler onChange);
    /// Starts following the routes, the emptied data centres and the servers, which may come from a relay once the instances are known.
    void startOthers();
    void startServers();
    std::vector<StoreEntry> applyConfigs(const std::vector<StoreEntry> &entries);
    StoreEntry applyConfig(const StoreEntry &entry);
    StoreEntry applyServer(const StoreEntry &entry);
    std::vector<StoreEntry> applyServers(const std::vector<StoreEntry> &entries);
    std::vector<StoreEntry> applyEmptiedListing(const std::vector<StoreEntry> &entries);
    StoreEntry applyEmptied(const StoreEntry &entry);
    bool isCrashReports(const StoreEntry &entry) const;
    void applyCrashReports(const StoreEntry &entry);
    StoreEntry applyInstance(const StoreEntry &entry);
    std::vector<StoreEntry> applyInstances(const std::vector<StoreEntry> &entries);
    /// Notes the history of a listing's revision.
    void noteHistory(std::int64_t revision);
    void scheduleDropLapsed();
    /// Logs the entries of a listing that had been withdrawn or are older than the known ones.
    void logOutdated(const char *dependency, const std::vector<std::string> &keys);
    void onReachability(const char *dependency, const Failure *failure);
    /// Whether the entry's key begins with the prefix that was asked for; logs the entry if not.
    bool hasPrefix(const char *dependency, const StoreEntry &entry, const std::string &prefix);
    void logSkipped(const char *dependency, const std::string &key, const std::string &reason);
    bool isDisturbed() const;

    Runtime &runtime_;
    const Dialect &dialect_;
    ServerTable &servers_;
    InstanceTable &instances_;
    EmptiedDataCentres *const emptied_;
    RelayService &relay_;
    DecisionLog &log_;
    const Events events_;
    std::int64_t version_ = 0;
    /// The value with the routes in force.
    std::string configValue_;
    /// The number of the store's history; unset before the first listing.
    std::optional<std::int64_t> history_;
    /// The number of followers that cannot reach the store.
    int unreachableFollowers_ = 0;
    TimePoint disturbedUntil_{};
    TimerId dropLapsedTimer_ = 0;
    TimerId instancesTimer_ = 0;
    TimerId startTimer_ = 0;
    bool othersStarted_ = false;
    bool serversStarted_ = false;
    bool listingServers_ = false;
    /// The changes of instances' records since they were last logged.
    ChangeSummary instanceChanges_;
    StoreFollower config_;
    StoreFollower serverEntries_;
    StoreFollower instanceRecords_;
    std::optional<StoreFollower> emptiedEntries_;
};

} // namespace Burdock
