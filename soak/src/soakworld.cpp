#include "soakworld.h"

#include <algorithm>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

constexpr int ServersPerShard = 3;
constexpr int UnshardedServers = 4;
const std::vector<std::string> FirstShards{"a1", "a2", "a3", "a4", "a5"};
const std::vector<std::string> SecondShards{"b1", "b2", "b3", "b4"};
constexpr std::array<const char *, 3> ZoneLetters{"a", "b", "c"};

} // namespace

SoakWorld::SoakWorld(int instances, SoakBuilds builds, std::uint64_t seed)
    : builds_(std::move(builds))
    , workspaces_(seed, testbed_.loop().now())
{
    if (hasWorkspaces()) {
        testbed_.addBounds("quotaWindowS = " + std::to_string(RateWindowSeconds) + "\nquotaOverage = " + std::to_string(RateOverage)
                           + "\nquotaSlack = " + std::to_string(RateSlack) + "\nevacuationMs = 5000\n");
    }
    for (const auto *shards : {&FirstShards, &SecondShards}) {
        for (const std::string &shard : *shards) {
            for (int number = 0; number < ServersPerShard; ++number) {
                addServer(shard + "-" + std::to_string(number), shard);
            }
        }
    }
    for (int number = 0; number < UnshardedServers; ++number) {
        addServer("one-" + std::to_string(number), "one");
    }
    const Json listed = testbed_.control("POST", "/fake/server", {{"id", "one-proxied"}, {"service", "one"}});
    servers_.emplace_back("one-proxied");
    services_["one-proxied"] = "one";
    serverProxy_ = std::make_unique<LoopbackProxy>(testbed_.loop(), *Address::parse(listed.at("address").get<std::string>()));
    testbed_.control("POST", "/fake/advertise", {{"id", "one-proxied"}, {"address", serverProxy_->address().toString()}});
    publishConfig(false);
    for (int number = 0; number < instances; ++number) {
        instances_.push_back("i" + std::to_string(number));
        storeProxies_[instances_.back()] = std::make_unique<LoopbackProxy>(testbed_.loop(), testbed_.store());
        start(instances_.back());
    }
}

void SoakWorld::addServer(const std::string &id, const std::string &service)
{
    testbed_.addServer(id, service, service == "one" ? 0 : RecordsPerShard);
    servers_.push_back(id);
    services_[id] = service;
}

std::string SoakWorld::replaceServer(const std::string &id)
{
    std::string next = services_.at(id) + "-r" + std::to_string(++replacements_);
    addServer(next, services_.at(id));
    servers_.erase(std::remove(servers_.begin(), servers_.end(), id), servers_.end());
    return next;
}

void SoakWorld::publishConfig(bool reshard)
{
    usesSecondShards_ = usesSecondShards_ != reshard;
    const std::vector<std::string> &shards = usesSecondShards_ ? SecondShards : FirstShards;
    // Versions increase by varying steps.
    version_ += 1 + version_ % 3;
    Json config = RouterTestbed::config(version_, shards);
    Json versioned = config["routes"][0];
    versioned["name"] = "r-version";
    versioned["prefix"] = "/v" + std::to_string(version_) + "/";
    config["routes"].push_back(versioned);
    for (Json &route : config["routes"]) {
        if (route.contains("fanoutServices")) {
            route["minShardShare"] = MinShardShare;
            route["resultLimit"] = ResultLimit;
        }
    }
    if (hasWorkspaces()) {
        config["tenants"] = workspaces_.entries();
    }
    testbed_.control("POST", "/fake/config", config);
    shardSets_.emplace_back(shards.begin(), shards.end());
    recordDisturbance("config");
}

void SoakWorld::withdrawKey()
{
    workspaces_.replaceKey(testbed_.loop().now());
    publishConfig(false);
}

void SoakWorld::changeRate()
{
    workspaces_.changeRate(testbed_.loop().now());
    publishConfig(false);
}

bool SoakWorld::isDisturbedBetween(TimePoint from, TimePoint until) const
{
    return std::any_of(disturbedAt_.begin(), disturbedAt_.end(), [from, until](TimePoint at) { return at >= from && at <= until; });
}

std::string SoakWorld::regionOf(const std::string &instance) const
{
    const auto index = static_cast<std::size_t>(std::find(instances_.begin(), instances_.end(), instance) - instances_.begin());
    return ZoneLetters[index % ZoneLetters.size()];
}

void SoakWorld::start(const std::string &instance)
{
    ++incarnations_[instance];
    ++starts_;
    testbed_.setProgram(instance, builds_.program(instance));
    testbed_.startInstance(instance, regionOf(instance), storeProxies_.at(instance)->address().toString());
    recordDisturbance(instance);
}

void SoakWorld::recordDisturbance(const std::string &what)
{
    disturbances_[what] = testbed_.loop().now();
    if (what != "config") {
        disturbedAt_.push_back(testbed_.loop().now());
    }
}

bool SoakWorld::isUndisturbed(const std::string &what, Duration span) const
{
    const auto found = disturbances_.find(what);
    return found == disturbances_.end() || testbed_.loop().now() - found->second > span;
}

void SoakWorld::cutOff(const std::vector<std::string> &instances, const std::string &how)
{
    testbed_.cut(instances, how);
    if (how != "refuseNew") {
        // Behind the proxy the server cannot tell the instances apart.
        serverProxy_->resetConnections();
    }
    for (const std::string &instance : instances) {
        cutOff_[instance] = testbed_.loop().now();
    }
}

void SoakWorld::endCutOff(const std::vector<std::string> &instances)
{
    testbed_.heal(instances);
    for (const std::string &instance : instances) {
        cutOff_.erase(instance);
    }
    recordDisturbance("links");
}

bool SoakWorld::isCutOff(const std::string &instance, Duration span) const
{
    const auto found = cutOff_.find(instance);
    return found != cutOff_.end() && testbed_.loop().now() - found->second >= span;
}

std::size_t SoakWorld::mostShards()
{
    return std::max(FirstShards.size(), SecondShards.size());
}

} // namespace Burdock
