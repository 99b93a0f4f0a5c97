#include <burdock/routing/reachtrials.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Burdock
{

namespace
{

constexpr Duration TrialInterval = std::chrono::milliseconds(500);
constexpr Duration TrialTimeout = std::chrono::milliseconds(400);
/// How many servers are asked on a suspicion, after which time one is silent, and how often that is done.
constexpr std::size_t SuspicionTrials = 5;
constexpr Duration SuspicionOverdue = std::chrono::milliseconds(150);
constexpr Duration SuspicionInterval = std::chrono::seconds(1);

} // namespace

ReachTrials::ReachTrials(Runtime &runtime, const ServerTable &servers, ServerReach &reach, Ask ask, std::uint64_t seed)
    : runtime_(runtime)
    , servers_(servers)
    , reach_(reach)
    , ask_(std::move(ask))
    , random_(seed)
{
}

ReachTrials::~ReachTrials()
{
    runtime_.cancel(timer_);
}

void ReachTrials::setServices(const std::vector<RoutedService> &services)
{
    paths_.clear();
    for (const RoutedService &service : services) {
        if (!service.healthPath.empty()) {
            paths_[service.name] = service.healthPath;
        }
    }
}

void ReachTrials::update()
{
    if (!reach_.isCutOff()) {
        unasked_.clear();
        runtime_.cancel(std::exchange(timer_, 0));
    } else if (timer_ == 0) {
        timer_ = runtime_.schedule(TrialInterval, [this] { askNext(); });
    }
}

std::vector<ServerHandle> ReachTrials::askable()
{
    std::vector<ServerHandle> found = servers_.allUsable();
    found.erase(std::remove_if(found.begin(), found.end(), [this](const ServerHandle &server) { return paths_.count(server->service) == 0; }), found.end());
    std::shuffle(found.begin(), found.end(), random_);
    return found;
}

ServerHandle ReachTrials::next()
{
    for (int pass = 0; pass < 2; ++pass) {
        while (!unasked_.empty()) {
            ServerHandle server = std::move(unasked_.back());
            unasked_.pop_back();
            if (paths_.count(server->service) > 0 && servers_.usable(*server)) {
                return server;
            }
        }
        unasked_ = askable();
    }
    return nullptr;
}

void ReachTrials::askNext()
{
    timer_ = runtime_.schedule(TrialInterval, [this] { askNext(); });
    const ServerHandle server = next();
    if (server) {
        askServer(server, TrialTimeout);
    } else {
        reach_.assumeReached();
    }
}

bool ReachTrials::onSuspected()
{
    const TimePoint now = runtime_.now();
    if (suspectedAt_ && now - *suspectedAt_ < SuspicionInterval) {
        return true;
    }
    suspectedAt_ = now;
    std::vector<ServerHandle> chosen;
    std::vector<ServerHandle> others;
    std::set<ServiceName> services;
    for (const ServerHandle &server : askable()) {
        (services.insert(server->service).second ? chosen : others).push_back(server);
    }
    chosen.insert(chosen.end(), others.begin(), others.end());
    chosen.resize(std::min(chosen.size(), SuspicionTrials));
    for (const ServerHandle &server : chosen) {
        askServer(server, SuspicionOverdue);
    }
    return !chosen.empty();
}

void ReachTrials::askServer(const ServerHandle &server, Duration overdueAfter)
{
    ++count_;
    const ServerReach::AttemptId attempt = reach_.onSent(*server, overdueAfter, true);
    ask_(server, paths_.at(server->service), TrialTimeout, [this, attempt](ReachOutcome outcome) { reach_.onEnded(attempt, outcome); });
}

} // namespace Burdock
