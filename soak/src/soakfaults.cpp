#include "soakfaults.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

constexpr int MinGapMs = 100;
constexpr int MaxGapMs = 1400;
constexpr Duration ExitCheck = std::chrono::milliseconds(30);
/// An instance that has not exited this long after SIGTERM is killed.
constexpr Duration StopTimeout = std::chrono::seconds(6);
constexpr Duration DrainCheckAfter = std::chrono::seconds(6);

} // namespace

const std::vector<SoakFaults::Kind> &SoakFaults::kinds()
{
    static const std::vector<Kind> all{{"stop", &SoakFaults::stopInstance},
                                       {"kill", &SoakFaults::killInstance},
                                       {"kill many", &SoakFaults::killHalf},
                                       {"freeze", &SoakFaults::freezeInstance},
                                       {"servers unreachable", &SoakFaults::cutInstancesOff},
                                       {"reload", &SoakFaults::reloadInstance},
                                       {"store refuses", &SoakFaults::refuseStore},
                                       {"store hangs", &SoakFaults::hangStore},
                                       {"store slow", &SoakFaults::slowStore},
                                       {"store loses replies", &SoakFaults::loseStoreReplies},
                                       {"store compacted", &SoakFaults::compactStore},
                                       {"store restored", &SoakFaults::restoreStore},
                                       {"store link silent", &SoakFaults::blackholeStoreLink},
                                       {"store link reset", &SoakFaults::resetStoreLink},
                                       {"store link cut one way", &SoakFaults::holdStoreResponses},
                                       {"server link late", &SoakFaults::delayServerLink},
                                       {"server link silent", &SoakFaults::blackholeServerLink},
                                       {"server link reset", &SoakFaults::resetServerLink},
                                       {"server pauses", &SoakFaults::pauseServer},
                                       {"server full", &SoakFaults::saturateServer},
                                       {"servers limited", &SoakFaults::limitService},
                                       {"server wants none", &SoakFaults::turnAway},
                                       {"server says it leaves", &SoakFaults::announceLeaving},
                                       {"deadly request", &SoakFaults::sendDeadlyRequest},
                                       {"server fails", &SoakFaults::failServer},
                                       {"server slow", &SoakFaults::slowServer},
                                       {"stray answers", &SoakFaults::sendStrayAnswers},
                                       {"answers of others", &SoakFaults::sendEarlierAnswers},
                                       {"service fails", &SoakFaults::failService},
                                       {"answers lost", &SoakFaults::loseAnswers},
                                       {"answers cut", &SoakFaults::truncateAnswers},
                                       {"server crash", &SoakFaults::refuseServerConnections},
                                       {"server leaves", &SoakFaults::drainServer},
                                       {"configuration", &SoakFaults::changeConfig},
                                       {"reshard", &SoakFaults::reshard},
                                       {"forged entry", &SoakFaults::forgeEntry},
                                       {"key withdrawn", &SoakFaults::withdrawKey},
                                       {"rate changed", &SoakFaults::changeRate},
                                       {"workspace hot", &SoakFaults::sendHot}};
    return all;
}

SoakFaults::SoakFaults(SoakWorld &world, SoakLoad &load, SoakChecks &checks, std::uint64_t seed, std::string only)
    : world_(world)
    , load_(load)
    , checks_(checks)
    , random_(seed)
    , onlyKind_(std::move(only))
    , started_(world.testbed().loop().now())
{
}

SoakFaults::~SoakFaults()
{
    stop();
}

bool SoakFaults::hasKind(const std::string &kind)
{
    return std::any_of(kinds().begin(), kinds().end(), [&kind](const Kind &each) { return each.name == kind; });
}

void SoakFaults::start()
{
    injectNext();
}

void SoakFaults::injectNext()
{
    const auto onlyKind = std::find_if(kinds().begin(), kinds().end(), [this](const Kind &each) { return each.name == onlyKind_; });
    const Kind &kind = onlyKind != kinds().end() ? *onlyKind : kinds()[random_() % kinds().size()];
    const double at = std::chrono::duration<double>(world_.testbed().loop().now() - started_).count();
    injected_.push_back({kind.name, at, at});
    (this->*kind.inject)();
    timer_ = world_.testbed().loop().schedule(randomDuration(MinGapMs, MaxGapMs), [this] { injectNext(); });
}

void SoakFaults::stop()
{
    stopped_ = true;
    world_.testbed().loop().cancel(std::exchange(timer_, 0));
    world_.testbed().loop().cancel(std::exchange(replaceTimer_, 0));
    while (!lifts_.empty()) {
        liftFault(lifts_.begin()->first);
    }
}

Duration SoakFaults::randomDuration(int minMs, int maxMs)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(minMs, maxMs)(random_));
}

void SoakFaults::liftAfter(Duration span, std::function<void()> lift)
{
    const std::size_t fault = injected_.size() - 1;
    lifts_[fault] = std::move(lift);
    liftTimers_[fault] = world_.testbed().loop().schedule(span, [this, fault] { this->liftFault(fault); });
}

void SoakFaults::liftFault(std::size_t fault)
{
    world_.testbed().loop().cancel(liftTimers_[fault]);
    const auto node = lifts_.extract(fault);
    injected_[fault].until = std::chrono::duration<double>(world_.testbed().loop().now() - started_).count();
    node.mapped()();
}

std::string SoakFaults::acquireRandomInstance()
{
    const auto &all = world_.instances();
    for (std::size_t attempt = 0; attempt < all.size(); ++attempt) {
        const std::string &instance = all[random_() % all.size()];
        if (busyInstances_.insert(instance).second) {
            world_.recordDisturbance(instance);
            return instance;
        }
    }
    return {};
}

std::string SoakFaults::acquireRandomServer()
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

void SoakFaults::restartAfterExit(const std::string &instance)
{
    if (world_.testbed().process(instance).isRunning()) {
        world_.testbed().loop().schedule(ExitCheck, [this, instance] { restartAfterExit(instance); });
        return;
    }
    world_.start(instance);
    load_.setStopping(instance, false);
    checks_.setRestarting(instance, false);
    busyInstances_.erase(instance);
}

void SoakFaults::stopInstance()
{
    const std::string instance = acquireRandomInstance();
    if (!instance.empty()) {
        stop(instance);
    }
}

void SoakFaults::replaceAll(Duration span)
{
    if (world_.builds().replacesInTurn()) {
        replaceInterval_ = span / static_cast<int>(world_.instances().size() + 1);
        replaceTimer_ = world_.testbed().loop().schedule(replaceInterval_, [this] { replaceNext(); });
    }
}

void SoakFaults::replaceNext()
{
    const std::string &instance = world_.instances().at(replaced_++);
    world_.builds().replace(instance);
    // One that a fault holds takes the other build with its next start.
    if (busyInstances_.insert(instance).second) {
        world_.recordDisturbance(instance);
        stop(instance);
    }
    if (replaced_ < world_.instances().size()) {
        replaceTimer_ = world_.testbed().loop().schedule(replaceInterval_, [this] { replaceNext(); });
    }
}

void SoakFaults::stop(const std::string &instance)
{
    checks_.setRestarting(instance, true);
    load_.setStopping(instance, true);
    world_.testbed().process(instance).signal(SIGTERM);
    world_.testbed().loop().schedule(StopTimeout, [this, instance, incarnation = world_.incarnation(instance)] {
        if (world_.incarnation(instance) == incarnation) {
            world_.testbed().process(instance).signal(SIGKILL);
        }
    });
    restartAfterExit(instance);
}

void SoakFaults::killInstance()
{
    const std::string instance = acquireRandomInstance();
    if (instance.empty()) {
        return;
    }
    checks_.setRestarting(instance, true);
    world_.testbed().process(instance).signal(SIGKILL);
    liftAfter(randomDuration(50, 1500), [this, instance] { restartAfterExit(instance); });
}

void SoakFaults::killHalf()
{
    for (std::size_t count = 0; count * 2 < world_.instances().size(); ++count) {
        const std::string instance = acquireRandomInstance();
        if (!instance.empty()) {
            checks_.setRestarting(instance, true);
            world_.testbed().process(instance).signal(SIGKILL);
            restartAfterExit(instance);
        }
    }
}

void SoakFaults::freezeInstance()
{
    const std::string instance = acquireRandomInstance();
    if (instance.empty()) {
        return;
    }
    world_.testbed().process(instance).signal(SIGSTOP);
    liftAfter(randomDuration(300, 3000), [this, instance] {
        world_.testbed().process(instance).signal(SIGCONT);
        world_.recordDisturbance(instance);
        busyInstances_.erase(instance);
    });
}

/// One instance, about half of them, all but one, or all of a region lose their links to all servers; one at least keeps them.
void SoakFaults::cutInstancesOff()
{
    constexpr std::array<const char *, 5> Forms{"hang", "lose", "oneWay", "reset", "refuseNew"};
    std::vector<std::string> linked = world_.instances();
    linked.erase(std::remove_if(linked.begin(), linked.end(), [this](const std::string &each) { return world_.isCutOff(each); }), linked.end());
    std::shuffle(linked.begin(), linked.end(), random_);
    const std::string region = world_.regionOf(linked.front());
    const std::array<std::size_t, 3> counts{1, linked.size() / 2, linked.size() - 1};
    const std::size_t choice = random_() % (counts.size() + 1);
    std::vector<std::string> chosen;
    for (const std::string &instance : linked) {
        const bool isChosen = choice == counts.size() ? world_.regionOf(instance) == region : chosen.size() < counts[choice];
        if (isChosen && chosen.size() + 1 < linked.size()) {
            chosen.push_back(instance);
        }
    }
    if (chosen.empty()) {
        return;
    }
    checks_.setServersSlow(true);
    world_.cutOff(chosen, Forms[random_() % Forms.size()]);
    liftAfter(randomDuration(6000, 11000), [this, chosen] { world_.endCutOff(chosen); });
}

void SoakFaults::reloadInstance()
{
    const auto &all = world_.instances();
    world_.testbed().process(all[random_() % all.size()]).signal(SIGHUP);
}

void SoakFaults::injectStoreFault(const Json &transport, const Json &repair)
{
    world_.recordDisturbance("store");
    world_.testbed().control("POST", "/fake/faults", {{"target", "store"}, {"transport", transport}});
    liftAfter(randomDuration(500, 5000), [this, repair] {
        world_.testbed().control("POST", "/fake/faults", {{"target", "store"}, {"transport", repair}});
        world_.recordDisturbance("store");
    });
}

void SoakFaults::refuseStore()
{
    injectStoreFault({{"outage", "refuse"}}, {{"outage", "none"}});
}

void SoakFaults::hangStore()
{
    injectStoreFault({{"outage", "hang"}}, {{"outage", "none"}});
}

void SoakFaults::slowStore()
{
    injectStoreFault({{"delayMs", 300}}, {{"delayMs", 0}});
}

void SoakFaults::loseStoreReplies()
{
    injectStoreFault({{"delivery", "dropped"}, {"every", 3}}, {{"delivery", "whole"}, {"every", 1}});
}

void SoakFaults::compactStore()
{
    world_.testbed().control("POST", "/fake/store/compact");
}

/// A copy is taken now; the store goes away some seconds later and returns from it, mostly after others have written again.
void SoakFaults::restoreStore()
{
    constexpr int MinRewriteMs = 50;
    constexpr int MaxRewriteMs = 1500;
    // More changes than are written again before the configuration, so that its revision is one of those that were lost.
    constexpr int LostChanges = 4;
    world_.testbed().control("POST", "/fake/store/copy");
    for (int change = 0; change < LostChanges; ++change) {
        world_.publishConfig(false);
    }
    const Json rewrite{{"rewriteMs", MinRewriteMs + static_cast<int>(random_() % (MaxRewriteMs - MinRewriteMs))}};
    liftAfter(randomDuration(1000, 6000), [this, rewrite] {
        const auto setOutage = [this](const char *outage) {
            world_.testbed().control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", outage}}}});
            world_.recordDisturbance("store");
        };
        setOutage("refuse");
        world_.testbed().control("POST", "/fake/store/restore", rewrite);
        world_.publishConfig(false);
        world_.testbed().loop().schedule(randomDuration(100, 2500), [setOutage] { setOutage("none"); });
    });
}

void SoakFaults::injectStoreLinkFault(ProxyMode mode)
{
    const auto &all = world_.instances();
    const std::string instance = all[random_() % all.size()];
    world_.recordDisturbance(instance);
    world_.storeProxy(instance).setMode(mode);
    liftAfter(randomDuration(300, 4000), [this, instance] {
        world_.storeProxy(instance).setMode(ProxyMode::Pass);
        world_.recordDisturbance(instance);
    });
}

void SoakFaults::blackholeStoreLink()
{
    injectStoreLinkFault(ProxyMode::Blackhole);
}

void SoakFaults::resetStoreLink()
{
    injectStoreLinkFault(ProxyMode::Reset);
}

void SoakFaults::holdStoreResponses()
{
    injectStoreLinkFault(ProxyMode::HoldResponses);
}

void SoakFaults::delayServerLink()
{
    world_.serverProxy().setMode(ProxyMode::Delay);
    liftAfter(randomDuration(300, 4000), [this] { world_.serverProxy().setMode(ProxyMode::Pass); });
}

void SoakFaults::blackholeServerLink()
{
    checks_.setServersSlow(true);
    world_.serverProxy().setMode(ProxyMode::Blackhole);
    liftAfter(randomDuration(300, 2000), [this] { world_.serverProxy().setMode(ProxyMode::Pass); });
}

void SoakFaults::resetServerLink()
{
    world_.serverProxy().resetConnections();
}

void SoakFaults::injectServerFault(const Json &fault, const Json &repair)
{
    const std::string server = acquireRandomServer();
    if (server.empty()) {
        return;
    }
    Json faultBody = fault;
    faultBody.update({{"target", "server"}, {"ids", {server}}});
    Json repairBody = repair;
    repairBody.update({{"target", "server"}, {"ids", {server}}});
    world_.testbed().control("POST", "/fake/faults", faultBody);
    liftAfter(randomDuration(200, 3000), [this, server, repairBody] {
        world_.testbed().control("POST", "/fake/faults", repairBody);
        busyServers_.erase(server);
    });
}

void SoakFaults::pauseServer()
{
    checks_.setServersSlow(true);
    injectServerFault({{"conduct", {{"paused", true}}}}, {{"conduct", Json::object()}});
}

void SoakFaults::saturateServer()
{
    injectServerFault({{"conduct", {{"full", true}}}}, {{"conduct", Json::object()}});
}

/// Lasts longer than the notice and the window of the rule. Some of the service's servers name limits, or all of them.
void SoakFaults::limitService()
{
    const std::string service = world_.serviceOf(world_.servers()[random_() % world_.servers().size()]);
    const bool all = random_() % 3 == 0;
    std::vector<std::string> ids;
    for (const std::string &server : world_.servers()) {
        if (world_.serviceOf(server) == service && (all || ids.empty()) && busyServers_.insert(server).second) {
            ids.push_back(server);
        }
    }
    if (ids.empty()) {
        return;
    }
    const Json servers{{"target", "server"}, {"ids", ids}};
    Json fault = servers;
    fault["conduct"] = {{"limit", static_cast<double>(2 + random_() % 20)}};
    world_.testbed().control("POST", "/fake/faults", fault);
    const int starts = world_.starts();
    liftAfter(randomDuration(9500, 13000), [this, ids, servers, starts] {
        for (const std::string &server : ids) {
            checks_.checkLimit(server, world_.starts() - starts);
            busyServers_.erase(server);
        }
        Json repair = servers;
        repair["conduct"] = Json::object();
        world_.testbed().control("POST", "/fake/faults", repair);
    });
}

void SoakFaults::turnAway()
{
    injectServerFault({{"conduct", {{"pause", 2.0}}}}, {{"conduct", Json::object()}});
}

/// The server says so in its answers some time before its entry does.
void SoakFaults::announceLeaving()
{
    const std::string server = acquireRandomServer();
    if (server.empty() || server == "one-proxied") {
        busyServers_.erase(server);
        return;
    }
    world_.replaceServer(server);
    world_.testbed().control("POST", "/fake/faults", {{"target", "server"}, {"ids", {server}}, {"conduct", {{"leaving", true}}}});
    liftAfter(randomDuration(500, 2500), [this, server] { world_.testbed().control("POST", "/fake/state", {{"id", server}, {"state", "draining"}}); });
}

/// A request that crashes each server that runs it comes again at random instances.
void SoakFaults::sendDeadlyRequest()
{
    constexpr int Comings = 8;
    const std::string target = (random_() % 2 == 0 ? "/one/deadly" : "/all/deadly") + std::to_string(injected_.size());
    const int starts = world_.starts();
    for (int coming = 0; coming < Comings; ++coming) {
        const std::string &instance = world_.instances()[random_() % world_.instances().size()];
        HttpRequest request;
        request.address = world_.testbed().clients(instance);
        request.method = "GET";
        request.path = target;
        request.headers = {{"host", "shop.example"}, {"Attempt-Id", target + "-" + std::to_string(coming)}, {"Timeout-Remaining", "2000"}};
        if (world_.hasWorkspaces()) {
            request.headers["Key"] = world_.workspaces().drawLasting().text;
        }
        request.timeout = std::chrono::seconds(3);
        world_.testbed().loop().schedule(randomDuration(0, 2500),
                                         [this, request] { world_.testbed().client().send(request, [](const Result<HttpResponse> &) {}); });
    }
    liftAfter(std::chrono::seconds(5), [this, target, starts] { checks_.checkDeadly(target, world_.starts() - starts); });
}

void SoakFaults::failServer()
{
    injectServerFault({{"conduct", {{"failing", 0.5}}}}, {{"conduct", Json::object()}});
}

void SoakFaults::slowServer()
{
    checks_.setServersSlow(true);
    injectServerFault({{"conduct", {{"slowFactor", 40.0}}}}, {{"conduct", Json::object()}});
}

void SoakFaults::sendStrayAnswers()
{
    injectServerFault({{"conduct", {{"strayAnswers", true}}}}, {{"conduct", Json::object()}});
}

void SoakFaults::sendEarlierAnswers()
{
    injectServerFault({{"conduct", {{"lateAnswers", true}}}}, {{"conduct", Json::object()}});
}

/// Lasts long enough that unbounded repeats would exceed the budget's ratio and slack within one window.
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
    world_.testbed().control("POST", "/fake/faults", fault);
    liftAfter(randomDuration(5000, 9000), [this, ids, servers] {
        Json repair = servers;
        repair["conduct"] = Json::object();
        world_.testbed().control("POST", "/fake/faults", repair);
        for (const std::string &server : ids) {
            busyServers_.erase(server);
        }
    });
}

void SoakFaults::loseAnswers()
{
    injectServerFault({{"transport", {{"delivery", "dropped"}, {"every", 2}}}}, {{"transport", {{"delivery", "whole"}, {"every", 1}}}});
}

void SoakFaults::truncateAnswers()
{
    injectServerFault({{"transport", {{"delivery", "truncated"}, {"every", 3}}}}, {{"transport", {{"delivery", "whole"}, {"every", 1}}}});
}

void SoakFaults::refuseServerConnections()
{
    injectServerFault({{"transport", {{"outage", "refuse"}}}}, {{"transport", {{"outage", "none"}}}});
}

void SoakFaults::drainServer()
{
    const std::string server = acquireRandomServer();
    if (server.empty() || server == "one-proxied") {
        busyServers_.erase(server);
        return;
    }
    world_.replaceServer(server);
    world_.testbed().control("POST", "/fake/state", {{"id", server}, {"state", random_() % 2 == 0 ? "draining" : "removed"}});
    world_.testbed().loop().schedule(DrainCheckAfter, [this, server] { checks_.checkDrained(server); });
}

void SoakFaults::changeConfig()
{
    world_.publishConfig(false);
}

void SoakFaults::reshard()
{
    world_.publishConfig(true);
}

void SoakFaults::withdrawKey()
{
    world_.withdrawKey();
}

/// Both rates are kept for longer than the time after which a lowered one binds, and its window.
void SoakFaults::changeRate()
{
    if (std::exchange(rateChanges_, true)) {
        return;
    }
    world_.changeRate();
    liftAfter(randomDuration(12000, 20000), [this] { rateChanges_ = false; });
}

/// The workspace has a rate; its callers come to one instance or to all.
void SoakFaults::sendHot()
{
    if (!world_.hasWorkspaces() || std::exchange(isHot_, true)) {
        return;
    }
    const auto &all = world_.instances();
    load_.startHot(random_() % 2 == 0 ? all[random_() % all.size()] : std::string());
    liftAfter(randomDuration(4000, 9000), [this] {
        load_.stopHot();
        isHot_ = false;
    });
}

void SoakFaults::forgeEntry()
{
    const std::vector<std::string> values{
        "", "[]", "{\"service\":\"one\"}", "not json", R"({"service":"one","address":"x","zone":"z","slots":1,"state":"ready"})"};
    const std::string key = "servers/forged" + std::to_string(random_() % 5);
    world_.testbed().control("POST", "/fake/entry", {{"key", key}, {"value", values[random_() % values.size()]}});
}

} // namespace Burdock
