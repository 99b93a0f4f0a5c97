#include <burdock/router/routingfeed.h>

#include <burdock/router/crashreportcodec.h>
#include <burdock/router/instancecodec.h>
#include <burdock/store/storehistory.h>

#include <algorithm>
#include <iterator>
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
/// The end of the keys of crash reports; ids of instances have no slash.
constexpr const char *CrashReportsSuffix = "/crashes";

} // namespace

RoutingFeed::RoutingFeed(Runtime &runtime,
                         Store &store,
                         const Dialect &dialect,
                         ServerTable &servers,
                         InstanceTable &instances,
                         EmptiedDataCentres *emptied,
                         RelayService &relay,
                         DecisionLog &log,
                         Events events)
    : runtime_(runtime)
    , dialect_(dialect)
    , servers_(servers)
    , instances_(instances)
    , emptied_(emptied)
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
    if (emptied_ != nullptr) {
        emptiedEntries_.emplace(runtime,
                                store,
                                dialect.emptiedPrefix(),
                                makeEvents("emptied", dialect.emptiedPrefix(), &RoutingFeed::applyEmptiedListing, &RoutingFeed::applyEmptied));
    }
}

StoreFollower::Events RoutingFeed::makeEvents(const char *dependency, const std::string &prefix, ListingHandler onListing, ChangeHandler onChange)
{
    return {[this, dependency, prefix, onListing](const std::vector<StoreEntry> &entries, std::int64_t revision) {
                std::vector<StoreEntry> asked;
                std::copy_if(entries.begin(), entries.end(), std::back_inserter(asked), [this, dependency, &prefix](const StoreEntry &entry) {
                    return hasPrefix(dependency, entry, prefix);
                });
                noteHistory(revision);
                relay_.onListed(prefix, (this->*onListing)(asked), revision);
            },
            [this, dependency, prefix, onChange](const StoreEntry &entry) {
                if (hasPrefix(dependency, entry, prefix)) {
                    relay_.onChanged(prefix, (this->*onChange)(entry));
                }
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
    if (emptiedEntries_) {
        emptiedEntries_->start();
    } else {
        startServers();
    }
}

void RoutingFeed::startServers()
{
    if (!std::exchange(serversStarted_, true)) {
        serverEntries_.start();
    }
}

void RoutingFeed::restart()
{
    othersStarted_ = true;
    runtime_.cancel(std::exchange(startTimer_, 0));
    config_.restart();
    if (emptiedEntries_) {
        emptiedEntries_->restart();
    }
    if (serversStarted_ || !emptiedEntries_) {
        serversStarted_ = true;
        serverEntries_.restart();
    }
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
        scheduleDropLapsed();
    }
}

void RoutingFeed::scheduleDropLapsed()
{
    disturbedUntil_ = runtime_.now() + EntryReturnTime;
    runtime_.cancel(dropLapsedTimer_);
    dropLapsedTimer_ = runtime_.schedule(EntryReturnTime, [this] {
        dropLapsedTimer_ = 0;
        servers_.dropLapsed();
        instances_.dropLapsed();
        if (emptied_ != nullptr) {
            emptied_->dropLapsed();
        }
        events_.onInstances();
    });
}

void RoutingFeed::noteHistory(std::int64_t revision)
{
    const std::int64_t history = StoreHistory::historyOf(revision);
    const std::int64_t before = history_.value_or(history);
    if (history_ && history <= before) {
        return;
    }
    history_ = history;
    if (history == before) {
        return;
    }
    log_.write(DecisionPriority::Change, "history.changed", {{"history", history}, {"before", before}, {"config", version_}});
    if (unreachableFollowers_ == 0) {
        scheduleDropLapsed();
    }
    events_.onHistoryLost(history);
}

void RoutingFeed::logOutdated(const char *dependency, const std::vector<std::string> &keys)
{
    constexpr std::size_t MaxLoggedKeys = 5;
    if (keys.empty()) {
        return;
    }
    std::string first;
    for (std::size_t index = 0; index < std::min(keys.size(), MaxLoggedKeys); ++index) {
        first += (index == 0 ? "" : " ") + keys[index];
    }
    log_.write(DecisionPriority::Change, "entries.outdated", {{"kind", dependency}, {"entries", static_cast<std::int64_t>(keys.size())}, {"first", first}});
}

void RoutingFeed::logSkipped(const char *dependency, const std::string &key, const std::string &reason)
{
    log_.write(DecisionPriority::Problem, "entry.skipped", {{"kind", dependency}, {"key", key}, {"reason", reason}});
}

bool RoutingFeed::hasPrefix(const char *dependency, const StoreEntry &entry, const std::string &prefix)
{
    if (entry.key.compare(0, prefix.size(), prefix) == 0) {
        return true;
    }
    logSkipped(dependency, entry.key, "the key does not begin with " + prefix);
    return false;
}

std::vector<StoreEntry> RoutingFeed::applyConfigs(const std::vector<StoreEntry> &entries)
{
    std::vector<StoreEntry> served;
    served.reserve(entries.size());
    for (const StoreEntry &entry : entries) {
        served.push_back(applyConfig(entry));
    }
    return served;
}

StoreEntry RoutingFeed::applyConfig(const StoreEntry &entry)
{
    if (entry.key != dialect_.configKey() || entry.deleted) {
        return entry;
    }
    Result<RoutingConfig> config = dialect_.readConfig(entry.value);
    if (!config) {
        logSkipped("config", entry.key, config.error().message);
        return entry;
    }
    if (config->version < version_) {
        log_.write(DecisionPriority::Change, "config.older", {{"version", config->version}, {"inForce", version_}, {"revision", entry.modRevision}});
        StoreEntry served = entry;
        served.value = configValue_;
        return served;
    }
    if (config->version == version_) {
        return entry;
    }
    configValue_ = entry.value;
    const std::int64_t previous = std::exchange(version_, config->version);
    log_.write(DecisionPriority::Change,
               "config.inForce",
               {{"version", version_},
                {"before", previous},
                {"revision", entry.modRevision},
                {"routes", static_cast<std::int64_t>(config->routes.size())},
                {"services", static_cast<std::int64_t>(config->services.size())},
                {"workspaces", static_cast<std::int64_t>(config->workspaces.size())}});
    events_.onRoutes(std::make_shared<const RouteTable>(std::make_shared<const RoutingConfig>(std::move(*config))));
    return entry;
}

void RoutingFeed::offerConfig(const StoreEntry &entry)
{
    const std::int64_t before = version_;
    applyConfig(entry);
    if (version_ != before && config_.hasListing()) {
        // Those that this instance serves get the newer value at the revision that they know, as after a listing.
        StoreEntry served = entry;
        served.modRevision = config_.revision();
        relay_.onListed(dialect_.configKey(), {served}, config_.revision());
    }
}

std::optional<StoreEntry> RoutingFeed::configInForce() const
{
    if (version_ == 0) {
        return std::nullopt;
    }
    return StoreEntry{dialect_.configKey(), configValue_, config_.revision(), 0, false};
}

StoreEntry RoutingFeed::applyServer(const StoreEntry &entry)
{
    const ServerId id = dialect_.serverIdFromKey(entry.key);
    if (entry.deleted) {
        servers_.remove(id, isDisturbed());
        return entry;
    }
    const Result<ServerEntry> server = dialect_.readServer(entry.key, entry.value);
    if (server) {
        servers_.put(*server);
        return entry;
    }
    logSkipped("server", entry.key, server.error().message);
    servers_.remove(id, false);
    return entry;
}

std::vector<StoreEntry> RoutingFeed::applyServers(const std::vector<StoreEntry> &entries)
{
    std::vector<ServerEntry> read;
    std::vector<StoreEntry> served;
    std::vector<std::string> outdated;
    for (const StoreEntry &entry : entries) {
        const Result<ServerEntry> server = dialect_.readServer(entry.key, entry.value);
        if (!server) {
            logSkipped("server", entry.key, server.error().message);
            continue;
        }
        read.push_back(*server);
        if (servers_.isOutdated(*server)) {
            outdated.push_back(entry.key);
        } else {
            served.push_back(entry);
        }
    }
    logOutdated("server", outdated);
    listingServers_ = true;
    servers_.replace(read, isDisturbed());
    listingServers_ = false;
    log_.write(DecisionPriority::Change,
               "servers.listed",
               {{"entries", static_cast<std::int64_t>(entries.size())}, {"servers", static_cast<std::int64_t>(servers_.size())}});
    events_.onServersListed();
    return served;
}

std::vector<StoreEntry> RoutingFeed::applyEmptiedListing(const std::vector<StoreEntry> &entries)
{
    std::vector<DataCentre> listed;
    std::string names;
    for (const StoreEntry &entry : entries) {
        listed.push_back(dialect_.dataCentreFromKey(entry.key));
        names += (names.empty() ? "" : " ") + listed.back().text();
    }
    emptied_->replace(listed, isDisturbed());
    log_.write(DecisionPriority::Change,
               "emptied.listed",
               {{"entries", static_cast<std::int64_t>(entries.size())}, {"emptied", static_cast<std::int64_t>(emptied_->count())}, {"listed", names}});
    startServers();
    return entries;
}

StoreEntry RoutingFeed::applyEmptied(const StoreEntry &entry)
{
    const DataCentre dataCentre = dialect_.dataCentreFromKey(entry.key);
    if (entry.deleted) {
        emptied_->remove(dataCentre);
    } else {
        emptied_->add(dataCentre);
    }
    log_.write(DecisionPriority::Change,
               entry.deleted ? "dataCentre.used" : "dataCentre.emptied",
               {{"dataCentre", dataCentre.text()}, {"revision", entry.modRevision}});
    return entry;
}

std::string RoutingFeed::crashReportsKey(const Dialect &dialect, const InstanceId &instance)
{
    return dialect.instancesPrefix() + instance.text() + CrashReportsSuffix;
}

bool RoutingFeed::isCrashReports(const StoreEntry &entry) const
{
    const std::size_t slash = entry.key.rfind('/');
    return slash != std::string::npos && slash >= dialect_.instancesPrefix().size() && entry.key.substr(slash) == CrashReportsSuffix;
}

void RoutingFeed::applyCrashReports(const StoreEntry &entry)
{
    if (entry.deleted) {
        return;
    }
    const auto reports = readCrashReports(entry.value, runtime_.wallNow());
    if (!reports) {
        return logSkipped("crashes", entry.key, reports.error().message);
    }
    const std::size_t begin = dialect_.instancesPrefix().size();
    const InstanceId from(entry.key.substr(begin, entry.key.rfind('/') - begin));
    log_.write(DecisionPriority::Change,
               "crashes.learned",
               {{"from", from.text()},
                {"requests", static_cast<std::int64_t>(reports->size())},
                {"latest", reports->empty() ? std::string() : reports->front().request.text()},
                {"revision", entry.modRevision}});
    events_.onCrashReports(from, *reports);
}

StoreEntry RoutingFeed::applyInstance(const StoreEntry &entry)
{
    if (isCrashReports(entry)) {
        applyCrashReports(entry);
        return entry;
    }
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
    return entry;
}

std::vector<StoreEntry> RoutingFeed::applyInstances(const std::vector<StoreEntry> &entries)
{
    std::vector<InstanceRecord> read;
    std::vector<StoreEntry> served;
    std::vector<std::string> outdated;
    for (const StoreEntry &entry : entries) {
        if (isCrashReports(entry)) {
            applyCrashReports(entry);
            served.push_back(entry);
            continue;
        }
        const Result<InstanceRecord> record = readInstance(entry.value);
        if (!record) {
            logSkipped("instance", entry.key, record.error().message);
            continue;
        }
        read.push_back(*record);
        if (instances_.isOutdated(*record)) {
            outdated.push_back(entry.key);
        } else {
            served.push_back(entry);
        }
    }
    logOutdated("instance", outdated);
    instances_.replace(read, isDisturbed());
    log_.write(DecisionPriority::Change, "instances.listed", {{"instances", static_cast<std::int64_t>(read.size())}});
    events_.onInstances();
    startOthers();
    return served;
}

} // namespace Burdock
