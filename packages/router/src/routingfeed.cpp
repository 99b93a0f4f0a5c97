#include <burdock/router/routingfeed.h>

#include <burdock/router/instancecodec.h>

#include <utility>

namespace Burdock
{

namespace
{

/// The time after the store's recovery in which lapsed entries may still be written again; the platform guarantees about two
/// seconds.
constexpr Duration EntryReturnTime = std::chrono::milliseconds(2200);
/// Changes of the instances' records are combined for this time: when all instances restart, each receives a change for every
/// instance.
constexpr Duration InstancesBatchDelay = std::chrono::milliseconds(100);
/// The routes and the servers are followed once the instances are known, or after this time: in a large region they then come
/// from a relay.
constexpr Duration OthersStartDelay = std::chrono::milliseconds(250);

} // namespace

RoutingFeed::RoutingFeed(Runtime &runtime,
                         Store &store,
                         const Dialect &dialect,
                         ServerTable &servers,
                         InstanceTable &instances,
                         RelayService &relay,
                         DecisionLog &log,
                         Events events)
    : runtime_(runtime)
    , dialect_(dialect)
    , servers_(servers)
    , instances_(instances)
    , relay_(relay)
    , log_(log)
    , events_(std::move(events))
    , config_(runtime, store, dialect.configKey(), makeEvents("config", dialect.configKey(), &RoutingFeed::applyConfigs, &RoutingFeed::applyConfig))
    , serverEntries_(
          runtime, store, dialect.serversPrefix(), makeEvents("servers", dialect.serversPrefix(), &RoutingFeed::applyServers, &RoutingFeed::applyServer))
    , instanceRecords_(runtime,
                       store,
                       dialect.instancesPrefix(),
                       makeEvents("instances", dialect.instancesPrefix(), &RoutingFeed::applyInstances, &RoutingFeed::applyInstance))
{
}

StoreFollower::Events RoutingFeed::makeEvents(const char *dependency, const std::string &prefix, ListingHandler onListing, ChangeHandler onChange)
{
    return {[this, prefix, onListing](const std::vector<StoreEntry> &entries, std::int64_t revision) {
                (this->*onListing)(entries);
                relay_.onListed(prefix, entries, revision);
            },
            [this, prefix, onChange](const StoreEntry &entry) {
                (this->*onChange)(entry);
                relay_.onChanged(prefix, entry);
            },
            [this, dependency](const Failure *failure) { onReachability(dependency, failure); },
            [this, dependency](std::int64_t revision, std::int64_t known) {
                log_.write(
                    DecisionPriority::Problem, "listing.older", {{"dependency", dependency}, {"revision", revision}, {"known", known}, {"config", version_}});
            }};
}

RoutingFeed::~RoutingFeed()
{
    runtime_.cancel(dropLapsedTimer_);
    runtime_.cancel(instancesTimer_);
    runtime_.cancel(startTimer_);
}

void RoutingFeed::start()
{
    instanceRecords_.start();
    startTimer_ = runtime_.schedule(OthersStartDelay, [this] {
        startTimer_ = 0;
        startOthers();
    });
}

void RoutingFeed::startOthers()
{
    if (std::exchange(othersStarted_, true)) {
        return;
    }
    runtime_.cancel(std::exchange(startTimer_, 0));
    config_.start();
    serverEntries_.start();
}

void RoutingFeed::restart()
{
    othersStarted_ = true;
    runtime_.cancel(std::exchange(startTimer_, 0));
    config_.restart();
    serverEntries_.restart();
    instanceRecords_.restart();
}

bool RoutingFeed::hasRoutesAndServers() const
{
    return version_ != 0 && serverEntries_.hasListing();
}

bool RoutingFeed::isDisturbed() const
{
    return unreachableFollowers_ > 0 || runtime_.now() < disturbedUntil_;
}

void RoutingFeed::onReachability(const char *dependency, const Failure *failure)
{
    if (failure != nullptr) {
        ++unreachableFollowers_;
        runtime_.cancel(std::exchange(dropLapsedTimer_, 0));
        log_.write(DecisionPriority::Change, "store.lost", {{"dependency", dependency}, {"config", version_}, {"reason", failure->message}});
        return;
    }
    --unreachableFollowers_;
    log_.write(DecisionPriority::Change, "store.regained", {{"dependency", dependency}, {"config", version_}});
    if (unreachableFollowers_ == 0) {
        disturbedUntil_ = runtime_.now() + EntryReturnTime;
        dropLapsedTimer_ = runtime_.schedule(EntryReturnTime, [this] {
            dropLapsedTimer_ = 0;
            servers_.dropLapsed();
            instances_.dropLapsed();
            events_.onInstances();
        });
    }
}

void RoutingFeed::logSkipped(const char *dependency, const std::string &key, const std::string &reason)
{
    log_.write(DecisionPriority::Problem, "entry.skipped", {{"kind", dependency}, {"key", key}, {"reason", reason}});
}

void RoutingFeed::applyConfigs(const std::vector<StoreEntry> &entries)
{
    for (const StoreEntry &entry : entries) {
        applyConfig(entry);
    }
}

void RoutingFeed::applyConfig(const StoreEntry &entry)
{
    if (entry.key != dialect_.configKey() || entry.deleted) {
        return;
    }
    Result<RoutingConfig> config = dialect_.readConfig(entry.value);
    if (!config) {
        return logSkipped("config", entry.key, config.error().message);
    }
    if (config->version <= version_) {
        return;
    }
    const std::int64_t previous = std::exchange(version_, config->version);
    log_.write(DecisionPriority::Change,
               "config.inForce",
               {{"version", version_},
                {"before", previous},
                {"revision", entry.modRevision},
                {"routes", static_cast<std::int64_t>(config->routes.size())},
                {"services", static_cast<std::int64_t>(config->services.size())}});
    events_.onRoutes(std::make_shared<const RouteTable>(std::make_shared<const RoutingConfig>(std::move(*config))));
}

void RoutingFeed::applyServer(const StoreEntry &entry)
{
    const ServerId id = dialect_.serverIdFromKey(entry.key);
    if (entry.deleted) {
        servers_.remove(id, isDisturbed());
        return;
    }
    const Result<ServerEntry> server = dialect_.readServer(entry.key, entry.value);
    if (server) {
        servers_.put(*server);
        return;
    }
    logSkipped("server", entry.key, server.error().message);
    servers_.remove(id, false);
}

void RoutingFeed::applyServers(const std::vector<StoreEntry> &entries)
{
    std::vector<ServerEntry> read;
    for (const StoreEntry &entry : entries) {
        const Result<ServerEntry> server = dialect_.readServer(entry.key, entry.value);
        if (server) {
            read.push_back(*server);
        } else {
            logSkipped("server", entry.key, server.error().message);
        }
    }
    listingServers_ = true;
    servers_.replace(read, isDisturbed());
    listingServers_ = false;
    log_.write(DecisionPriority::Change,
               "servers.listed",
               {{"entries", static_cast<std::int64_t>(entries.size())}, {"servers", static_cast<std::int64_t>(servers_.size())}});
    events_.onServersListed();
}

void RoutingFeed::applyInstance(const StoreEntry &entry)
{
    const InstanceId id(entry.key.substr(dialect_.instancesPrefix().size()));
    const Result<InstanceRecord> record = entry.deleted ? notRun(Errc::NotFound, "the record was removed") : readInstance(entry.value);
    instanceChanges_.add(id.text(), record && record->ready, entry.modRevision);
    if (record) {
        instances_.put(*record);
    } else {
        instances_.remove(id, isDisturbed());
    }
    if (instancesTimer_ == 0) {
        instancesTimer_ = runtime_.schedule(InstancesBatchDelay, [this] {
            instancesTimer_ = 0;
            instanceChanges_.write(log_, "instances.changed");
            events_.onInstances();
        });
    }
}

void RoutingFeed::applyInstances(const std::vector<StoreEntry> &entries)
{
    std::vector<InstanceRecord> read;
    for (const StoreEntry &entry : entries) {
        const Result<InstanceRecord> record = readInstance(entry.value);
        if (record) {
            read.push_back(*record);
        } else {
            logSkipped("instance", entry.key, record.error().message);
        }
    }
    instances_.replace(read, isDisturbed());
    log_.write(DecisionPriority::Change, "instances.listed", {{"instances", static_cast<std::int64_t>(read.size())}});
    events_.onInstances();
    startOthers();
}

} // namespace Burdock
