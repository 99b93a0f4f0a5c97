#include <burdock/router/routingfeed.h>

#include <burdock/router/instancecodec.h>

#include <utility>

namespace Burdock
{

namespace
{

/// How long after the store's return entries that lapsed meanwhile may still come back; the platform promises about two seconds.
constexpr Duration ReturnOfEntries = std::chrono::milliseconds(2200);
/// Changes of instances' records are told of together: when all restart, each instance hears of as many as there are.
constexpr Duration TellInstancesAfter = std::chrono::milliseconds(100);

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
    , config_(runtime, store, dialect.configKey(), eventsOf("config", dialect.configKey(), &RoutingFeed::takeConfigs, &RoutingFeed::takeConfig))
    , serverEntries_(runtime, store, dialect.serversPrefix(), eventsOf("servers", dialect.serversPrefix(), &RoutingFeed::takeServers, &RoutingFeed::takeServer))
    , instanceRecords_(
          runtime, store, dialect.instancesPrefix(), eventsOf("instances", dialect.instancesPrefix(), &RoutingFeed::takeInstances, &RoutingFeed::takeInstance))
{
}

StoreFollower::Events RoutingFeed::eventsOf(const char *what, const std::string &prefix, TakeAll all, TakeOne one)
{
    return {[this, prefix, all](const std::vector<StoreEntry> &entries, std::int64_t revision) {
                (this->*all)(entries);
                relay_.listed(prefix, entries, revision);
            },
            [this, prefix, one](const StoreEntry &entry) {
                (this->*one)(entry);
                relay_.changed(prefix, entry);
            },
            [this, what](const Failure *failure) { reach(what, failure); }};
}

RoutingFeed::~RoutingFeed()
{
    runtime_.cancel(believeTimer_);
    runtime_.cancel(tellTimer_);
}

void RoutingFeed::start()
{
    config_.start();
    serverEntries_.start();
    instanceRecords_.start();
}

void RoutingFeed::restart()
{
    config_.restart();
    serverEntries_.restart();
    instanceRecords_.restart();
}

bool RoutingFeed::known() const
{
    return version_ != 0 && serverEntries_.hasListing();
}

bool RoutingFeed::disturbed() const
{
    return lost_ > 0 || runtime_.now() < disturbedUntil_;
}

void RoutingFeed::reach(const char *what, const Failure *failure)
{
    if (failure != nullptr) {
        ++lost_;
        runtime_.cancel(std::exchange(believeTimer_, 0));
        log_.write(DecisionWeight::Change, "store.lost", {{"dependency", what}, {"config", version_}, {"reason", failure->message}});
        return;
    }
    --lost_;
    log_.write(DecisionWeight::Change, "store.regained", {{"dependency", what}, {"config", version_}});
    if (lost_ == 0) {
        disturbedUntil_ = runtime_.now() + ReturnOfEntries;
        believeTimer_ = runtime_.schedule(ReturnOfEntries, [this] {
            believeTimer_ = 0;
            servers_.dropLapsed();
            instances_.dropLapsed();
            events_.instances();
        });
    }
}

void RoutingFeed::skipped(const char *what, const std::string &key, const std::string &why)
{
    log_.write(DecisionWeight::Trouble, "entry.skipped", {{"kind", what}, {"key", key}, {"reason", why}});
}

void RoutingFeed::takeConfigs(const std::vector<StoreEntry> &entries)
{
    for (const StoreEntry &entry : entries) {
        takeConfig(entry);
    }
}

void RoutingFeed::takeConfig(const StoreEntry &entry)
{
    if (entry.key != dialect_.configKey() || entry.deleted) {
        return;
    }
    Result<RoutingConfig> config = dialect_.readConfig(entry.value);
    if (!config) {
        return skipped("config", entry.key, config.error().message);
    }
    if (config->version <= version_) {
        return;
    }
    const std::int64_t before = std::exchange(version_, config->version);
    log_.write(DecisionWeight::Change,
               "config.inForce",
               {{"version", version_},
                {"before", before},
                {"revision", entry.modRevision},
                {"routes", static_cast<std::int64_t>(config->routes.size())},
                {"services", static_cast<std::int64_t>(config->services.size())}});
    events_.routes(std::make_shared<const RouteTable>(std::make_shared<const RoutingConfig>(std::move(*config))));
}

void RoutingFeed::takeServer(const StoreEntry &entry)
{
    const ServerId id = dialect_.serverOfKey(entry.key);
    if (entry.deleted) {
        servers_.remove(id, disturbed());
        return;
    }
    const Result<ServerEntry> server = dialect_.readServer(entry.key, entry.value);
    if (server) {
        servers_.put(*server);
        return;
    }
    skipped("server", entry.key, server.error().message);
    servers_.remove(id, false);
}

void RoutingFeed::takeServers(const std::vector<StoreEntry> &entries)
{
    std::vector<ServerEntry> read;
    for (const StoreEntry &entry : entries) {
        const Result<ServerEntry> server = dialect_.readServer(entry.key, entry.value);
        if (server) {
            read.push_back(*server);
        } else {
            skipped("server", entry.key, server.error().message);
        }
    }
    servers_.replace(read, disturbed());
    log_.write(DecisionWeight::Change,
               "servers.listed",
               {{"entries", static_cast<std::int64_t>(entries.size())}, {"servers", static_cast<std::int64_t>(servers_.size())}});
    events_.serversListed();
}

void RoutingFeed::takeInstance(const StoreEntry &entry)
{
    const InstanceId id(entry.key.substr(dialect_.instancesPrefix().size()));
    const Result<InstanceRecord> record = entry.deleted ? notRun(Errc::NotFound, "the record was removed") : readInstance(entry.value);
    log_.write(DecisionWeight::Change,
               "instance.changed",
               {{"id", id.text()}, {"listed", record ? 1 : 0}, {"ready", record && record->ready ? 1 : 0}, {"revision", entry.modRevision}});
    if (record) {
        instances_.put(*record);
    } else {
        instances_.remove(id, disturbed());
    }
    if (tellTimer_ == 0) {
        tellTimer_ = runtime_.schedule(TellInstancesAfter, [this] {
            tellTimer_ = 0;
            events_.instances();
        });
    }
}

void RoutingFeed::takeInstances(const std::vector<StoreEntry> &entries)
{
    std::vector<InstanceRecord> read;
    for (const StoreEntry &entry : entries) {
        const Result<InstanceRecord> record = readInstance(entry.value);
        if (record) {
            read.push_back(*record);
        } else {
            skipped("instance", entry.key, record.error().message);
        }
    }
    instances_.replace(read, disturbed());
    log_.write(DecisionWeight::Change, "instances.listed", {{"instances", static_cast<std::int64_t>(read.size())}});
    events_.instances();
}

} // namespace Burdock
