#include <burdock/routing/reachtrials.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

constexpr Duration TrialInterval = std::chrono::milliseconds(500);
constexpr Duration TrialTimeout = std::chrono::milliseconds(400);

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
        timer_ = runtime_.schedule(TrialInterval, [this] { ask(); });
    }
}

ServerHandle ReachTrials::next()
{
    const auto isAskable = [this](const ServerHandle &server) { return paths_.count(server->service) > 0 && servers_.usable(*server); };
    while (!unasked_.empty()) {
        const ServerHandle server = std::move(unasked_.back());
        unasked_.pop_back();
        if (isAskable(server)) {
            return server;
        }
    }
    for (const ServerHandle &server : servers_.allUsable()) {
        if (isAskable(server)) {
            unasked_.push_back(server);
        }
    }
    if (unasked_.empty()) {
        return nullptr;
    }
    std::shuffle(unasked_.begin(), unasked_.end(), random_);
    const ServerHandle server = std::move(unasked_.back());
    unasked_.pop_back();
    return server;
}

void ReachTrials::ask()
{
    timer_ = runtime_.schedule(TrialInterval, [this] { ask(); });
    const ServerHandle server = next();
    if (!server) {
        return;
    }
    ++count_;
    const ServerReach::AttemptId attempt = reach_.onSent(*server, TrialTimeout);
    ask_(server, paths_.at(server->service), TrialTimeout, [this, attempt](ReachOutcome outcome) { reach_.onEnded(attempt, outcome); });
}

} // namespace Burdock
