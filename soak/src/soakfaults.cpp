#include "soakfaults.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

constexpr int ShortestGapMs = 100;
constexpr int LongestGapMs = 1400;
constexpr Duration ExitCheck = std::chrono::milliseconds(30);
/// A process that is told to stop is killed after this.
constexpr Duration StopTime = std::chrono::seconds(6);
constexpr Duration DrainCheckAfter = std::chrono::seconds(6);

} // namespace

const std::vector<SoakFaults::Kind> &SoakFaults::kinds()
{
    static const std::vector<Kind> all{{"stop", &SoakFaults::stopInstance},
                                       {"kill", &SoakFaults::killInstance},
                                       {"kill many", &SoakFaults::killMany},
                                       {"freeze", &SoakFaults::freezeInstance},
                                       {"reload", &SoakFaults::reloadInstance},
                                       {"store refuses", &SoakFaults::refuseStore},
                                       {"store hangs", &SoakFaults::hangStore},
                                       {"store slow", &SoakFaults::slowStore},
                                       {"store loses replies", &SoakFaults::loseStoreReplies},
                                       {"store compacted", &SoakFaults::compactStore},
                                       {"store link silent", &SoakFaults::silenceStoreLink},
                                       {"store link reset", &SoakFaults::resetStoreLink},
                                       {"store link cut one way", &SoakFaults::cutStoreLink},
                                       {"server link late", &SoakFaults::delayServerLink},
                                       {"server link silent", &SoakFaults::silenceServerLink},
                                       {"server link reset", &SoakFaults::resetServerLink},
                                       {"server pauses", &SoakFaults::pauseServer},
                                       {"server full", &SoakFaults::fillServer},
                                       {"server fails", &SoakFaults::failServer},
                                       {"server slow", &SoakFaults::slowServer},
                                       {"stray answers", &SoakFaults::strayAnswers},
                                       {"answers of others", &SoakFaults::lateAnswers},
                                       {"service fails", &SoakFaults::failService},
                                       {"answers lost", &SoakFaults::loseAnswers},
                                       {"answers cut", &SoakFaults::truncateAnswers},
                                       {"server crash", &SoakFaults::killServerPort},
                                       {"server leaves", &SoakFaults::drainServer},
                                       {"configuration", &SoakFaults::changeConfig},
                                       {"reshard", &SoakFaults::reshard},
                                       {"forged entry", &SoakFaults::forgeEntry}};
    return all;
}

SoakFaults::SoakFaults(SoakWorld &world, SoakLoad &load, SoakChecks &checks, std::uint64_t seed, std::string only)
    : world_(world)
    , load_(load)
    , checks_(checks)
    , random_(seed)
    , only_(std::move(only))
    , started_(world.bed().loop().now())
{
}

SoakFaults::~SoakFaults()
{
    end();
}

bool SoakFaults::knows(const std::string &kind)
{
    return std::any_of(kinds().begin(), kinds().end(), [&kind](const Kind &each) { return each.name == kind; });
}

void SoakFaults::start()
{
    next();
}

void SoakFaults::next()
{
    const auto named = std::find_if(kinds().begin(), kinds().end(), [this](const Kind &each) { return each.name == only_; });
    const Kind &kind = named != kinds().end() ? *named : kinds()[random_() % kinds().size()];
    const double at = std::chrono::duration<double>(world_.bed().loop().now() - started_).count();
    played_.push_back({kind.name, at, at});
    (this->*kind.begin)();
    timer_ = world_.bed().loop().schedule(between(ShortestGapMs, LongestGapMs), [this] { next(); });
}

void SoakFaults::end()
{
    ended_ = true;
    world_.bed().loop().cancel(std::exchange(timer_, 0));
    while (!lifts_.empty()) {
        lift(lifts_.begin()->first);
    }
}

Duration SoakFaults::between(int leastMs, int mostMs)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(leastMs, mostMs)(random_));
}

void SoakFaults::lasting(Duration span, std::function<void()> lift)
{
    const std::size_t fault = played_.size() - 1;
    lifts_[fault] = std::move(lift);
    liftTimers_[fault] = world_.bed().loop().schedule(span, [this, fault] { this->lift(fault); });
}

void SoakFaults::lift(std::size_t fault)
{
    world_.bed().loop().cancel(liftTimers_[fault]);
    const auto node = lifts_.extract(fault);
    played_[fault].until = std::chrono::duration<double>(world_.bed().loop().now() - started_).count();
    node.mapped()();
}

std::string SoakFaults::anyInstance()
{
    const auto &all = world_.instances();
    for (std::size_t attempt = 0; attempt < all.size(); ++attempt) {
        const std::string &instance = all[random_() % all.size()];
        if (busyInstances_.insert(instance).second) {
            world_.disturb(instance);
            return instance;
        }
    }
    return {};
}

std::string SoakFaults::anyServer()
{
    const auto &all = world_.servers();
    for (std::size_t attempt = 0; attempt < all.size(); ++attempt) {
        const std::string &server = all[random_() % all.size()];
        if (busyServers_.insert(server).second) {
            return server;
        }
    }
    return {};
}

void SoakFaults::restartWhenGone(const std::string &instance)
{
    if (world_.bed().process(instance).running()) {
        world_.bed().loop().schedule(ExitCheck, [this, instance] { restartWhenGone(instance); });
        return;
    }
    world_.start(instance);
    load_.setStopping(instance, false);
    checks_.setRestarting(instance, false);
    busyInstances_.erase(instance);
}

void SoakFaults::stopInstance()
{
    const std::string instance = anyInstance();
    if (instance.empty()) {
        return;
    }
    checks_.setRestarting(instance, true);
    load_.setStopping(instance, true);
    world_.bed().process(instance).signal(SIGTERM);
    world_.bed().loop().schedule(StopTime, [this, instance, life = world_.life(instance)] {
        if (world_.life(instance) == life) {
            world_.bed().process(instance).signal(SIGKILL);
        }
    });
    restartWhenGone(instance);
}

void SoakFaults::killInstance()
{
    const std::string instance = anyInstance();
    if (instance.empty()) {
        return;
    }
    checks_.setRestarting(instance, true);
    world_.bed().process(instance).signal(SIGKILL);
    lasting(between(50, 1500), [this, instance] { restartWhenGone(instance); });
}

void SoakFaults::killMany()
{
    for (std::size_t count = 0; count * 2 < world_.instances().size(); ++count) {
        const std::string instance = anyInstance();
        if (!instance.empty()) {
            checks_.setRestarting(instance, true);
            world_.bed().process(instance).signal(SIGKILL);
            restartWhenGone(instance);
        }
    }
}

void SoakFaults::freezeInstance()
{
    const std::string instance = anyInstance();
    if (instance.empty()) {
        return;
    }
    world_.bed().process(instance).signal(SIGSTOP);
    lasting(between(300, 3000), [this, instance] {
        world_.bed().process(instance).signal(SIGCONT);
        world_.disturb(instance);
        busyInstances_.erase(instance);
    });
}

void SoakFaults::reloadInstance()
{
    const auto &all = world_.instances();
    world_.bed().process(all[random_() % all.size()]).signal(SIGHUP);
}

void SoakFaults::storeFault(const Json &transport, const Json &repair)
{
    world_.disturb("store");
    world_.bed().control("POST", "/fake/faults", {{"target", "store"}, {"transport", transport}});
    lasting(between(500, 5000), [this, repair] {
        world_.bed().control("POST", "/fake/faults", {{"target", "store"}, {"transport", repair}});
        world_.disturb("store");
    });
}

void SoakFaults::refuseStore()
{
    storeFault({{"outage", "refuse"}}, {{"outage", "none"}});
}

void SoakFaults::hangStore()
{
    storeFault({{"outage", "hang"}}, {{"outage", "none"}});
}

void SoakFaults::slowStore()
{
    storeFault({{"delayMs", 300}}, {{"delayMs", 0}});
}

void SoakFaults::loseStoreReplies()
{
    storeFault({{"delivery", "dropped"}, {"every", 3}}, {{"delivery", "whole"}, {"every", 1}});
}

void SoakFaults::compactStore()
{
    world_.bed().control("POST", "/fake/store/compact");
}

void SoakFaults::proxyFault(ProxyMode mode)
{
    const auto &all = world_.instances();
    const std::string instance = all[random_() % all.size()];
    world_.disturb(instance);
    world_.storeProxy(instance).setMode(mode);
    lasting(between(300, 4000), [this, instance] {
        world_.storeProxy(instance).setMode(ProxyMode::Pass);
        world_.disturb(instance);
    });
}

void SoakFaults::silenceStoreLink()
{
    proxyFault(ProxyMode::Silent);
}

void SoakFaults::resetStoreLink()
{
    proxyFault(ProxyMode::Reset);
}

void SoakFaults::cutStoreLink()
{
    proxyFault(ProxyMode::CutBack);
}

void SoakFaults::delayServerLink()
{
    world_.serverProxy().setMode(ProxyMode::Delay);
    lasting(between(300, 4000), [this] { world_.serverProxy().setMode(ProxyMode::Pass); });
}

void SoakFaults::silenceServerLink()
{
    checks_.setServersSlow(true);
    world_.serverProxy().setMode(ProxyMode::Silent);
    lasting(between(300, 2000), [this] { world_.serverProxy().setMode(ProxyMode::Pass); });
}

void SoakFaults::resetServerLink()
{
    world_.serverProxy().resetOpen();
}

void SoakFaults::serverFault(const Json &fault, const Json &repair)
{
    const std::string server = anyServer();
    if (server.empty()) {
        return;
    }
    Json begin = fault;
    begin.update({{"target", "server"}, {"ids", {server}}});
    Json mended = repair;
    mended.update({{"target", "server"}, {"ids", {server}}});
    world_.bed().control("POST", "/fake/faults", begin);
    lasting(between(200, 3000), [this, server, mended] {
        world_.bed().control("POST", "/fake/faults", mended);
        busyServers_.erase(server);
    });
}

void SoakFaults::pauseServer()
{
    checks_.setServersSlow(true);
    serverFault({{"conduct", {{"paused", true}}}}, {{"conduct", Json::object()}});
}

void SoakFaults::fillServer()
{
    serverFault({{"conduct", {{"full", true}}}}, {{"conduct", Json::object()}});
}

void SoakFaults::failServer()
{
    serverFault({{"conduct", {{"failing", 0.5}}}}, {{"conduct", Json::object()}});
}

void SoakFaults::slowServer()
{
    checks_.setServersSlow(true);
    serverFault({{"conduct", {{"slowFactor", 40.0}}}}, {{"conduct", Json::object()}});
}

void SoakFaults::strayAnswers()
{
    serverFault({{"conduct", {{"strayAnswers", true}}}}, {{"conduct", Json::object()}});
}

void SoakFaults::lateAnswers()
{
    serverFault({{"conduct", {{"lateAnswers", true}}}}, {{"conduct", Json::object()}});
}

/// Long enough that repeats without a bound would exceed the ratio and the slack of a window.
void SoakFaults::failService()
{
    const std::string service = world_.serviceOf(world_.servers()[random_() % world_.servers().size()]);
    std::vector<std::string> ids;
    for (const std::string &server : world_.servers()) {
        if (world_.serviceOf(server) == service && busyServers_.insert(server).second) {
            ids.push_back(server);
        }
    }
    const Json servers{{"target", "server"}, {"ids", ids}};
    Json fault = servers;
    fault["conduct"] = {{"failing", 0.8}};
    world_.bed().control("POST", "/fake/faults", fault);
    lasting(between(5000, 9000), [this, ids, servers] {
        Json repair = servers;
        repair["conduct"] = Json::object();
        world_.bed().control("POST", "/fake/faults", repair);
        for (const std::string &server : ids) {
            busyServers_.erase(server);
        }
    });
}

void SoakFaults::loseAnswers()
{
    serverFault({{"transport", {{"delivery", "dropped"}, {"every", 2}}}}, {{"transport", {{"delivery", "whole"}, {"every", 1}}}});
}

void SoakFaults::truncateAnswers()
{
    serverFault({{"transport", {{"delivery", "truncated"}, {"every", 3}}}}, {{"transport", {{"delivery", "whole"}, {"every", 1}}}});
}

void SoakFaults::killServerPort()
{
    serverFault({{"transport", {{"outage", "refuse"}}}}, {{"transport", {{"outage", "none"}}}});
}

void SoakFaults::drainServer()
{
    const std::string server = anyServer();
    if (server.empty() || server == "one-proxied") {
        busyServers_.erase(server);
        return;
    }
    world_.replaceServer(server);
    world_.bed().control("POST", "/fake/state", {{"id", server}, {"state", random_() % 2 == 0 ? "draining" : "removed"}});
    world_.bed().loop().schedule(DrainCheckAfter, [this, server] { checks_.checkLeft(server); });
}

void SoakFaults::changeConfig()
{
    world_.sendConfig(false);
}

void SoakFaults::reshard()
{
    world_.sendConfig(true);
}

void SoakFaults::forgeEntry()
{
    const std::vector<std::string> values{
        "", "[]", "{\"service\":\"one\"}", "not json", R"({"service":"one","address":"x","zone":"z","slots":1,"state":"ready"})"};
    const std::string key = "servers/forged" + std::to_string(random_() % 5);
    world_.bed().control("POST", "/fake/entry", {{"key", key}, {"value", values[random_() % values.size()]}});
}

} // namespace Burdock
