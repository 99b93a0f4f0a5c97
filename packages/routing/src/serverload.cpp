#include <burdock/routing/serverload.h>

#include <algorithm>
#include <cmath>

namespace Burdock
{

namespace
{

/// The weight of one outcome in the failure rate, and the time constant of the rate's decay.
constexpr double FailureWeight = 0.15;
constexpr Duration FailureDecayTime = std::chrono::seconds(4);
/// The backoff after a refusal: doubles with each consecutive refusal, up to the maximum.
constexpr Duration InitialBackoff = std::chrono::milliseconds(50);
constexpr Duration MaxBackoff = std::chrono::milliseconds(1600);
constexpr std::uint32_t MaxDoublings = 5;

double decayed(double share, Duration age)
{
    return share * std::exp(-static_cast<double>(age.count()) / static_cast<double>(FailureDecayTime.count()));
}

} // namespace

void ServerLoad::onSent(const ServerId &server, const OpenRequest &request)
{
    servers_[server].open.push_back(request);
}

void ServerLoad::removeOpen(Server &server, TimePoint sentAt)
{
    const auto open = std::find_if(server.open.begin(), server.open.end(), [sentAt](const OpenRequest &request) { return request.sentAt == sentAt; });
    if (open != server.open.end()) {
        server.open.erase(open);
    }
}

void ServerLoad::finishRequest(Server &server, TimePoint sentAt, double failure, TimePoint now)
{
    removeOpen(server, sentAt);
    const double share = decayed(server.failures.rate, now - server.failures.rateAt);
    server.failures.rate = share + FailureWeight * (failure - share);
    server.failures.rateAt = now;
}

void ServerLoad::onAnswered(const ServerId &server, TimePoint sentAt, TimePoint now)
{
    Server &state = servers_[server];
    finishRequest(state, sentAt, 0, now);
    state.failures.consecutiveRefusals = 0;
}

void ServerLoad::onRefused(const ServerId &server, TimePoint sentAt, TimePoint now)
{
    Server &state = servers_[server];
    keepForWithdrawal(state);
    finishRequest(state, sentAt, 1, now);
    state.failures.backoffUntil = now + std::min(InitialBackoff * (1 << std::min(state.failures.consecutiveRefusals, MaxDoublings)), MaxBackoff);
    ++state.failures.consecutiveRefusals;
}

void ServerLoad::onFailed(const ServerId &server, TimePoint sentAt, TimePoint now)
{
    Server &state = servers_[server];
    keepForWithdrawal(state);
    finishRequest(state, sentAt, 1, now);
}

void ServerLoad::keepForWithdrawal(Server &server) const
{
    if (server.beforeAt != responses_) {
        server.before = server.failures;
        server.beforeAt = responses_;
    }
}

void ServerLoad::withdrawFailures()
{
    for (auto &[id, server] : servers_) {
        if (server.beforeAt == responses_) {
            server.failures = server.before;
        }
    }
}

void ServerLoad::onAbandoned(const ServerId &server, TimePoint sentAt)
{
    removeOpen(servers_[server], sentAt);
}

std::uint32_t ServerLoad::inFlight(const ServerId &server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? 0 : static_cast<std::uint32_t>(found->second.open.size());
}

OpenRequest ServerLoad::find(const ServerId &server, TimePoint sentAt) const
{
    const std::vector<OpenRequest> &all = open(server);
    const auto found = std::find_if(all.begin(), all.end(), [sentAt](const OpenRequest &request) { return request.sentAt == sentAt; });
    return found == all.end() ? OpenRequest{sentAt} : *found;
}

const std::vector<OpenRequest> &ServerLoad::open(const ServerId &server) const
{
    static const std::vector<OpenRequest> none;
    const auto found = servers_.find(server);
    return found == servers_.end() ? none : found->second.open;
}

Duration ServerLoad::oldest(const ServerId &server, TimePoint now) const
{
    const auto found = servers_.find(server);
    TimePoint first = now;
    if (found != servers_.end()) {
        for (const OpenRequest &request : found->second.open) {
            first = request.sentAt < waitsCountFrom_ ? first : std::min(first, request.sentAt);
        }
    }
    return now - first;
}

double ServerLoad::failureRate(const ServerId &server, TimePoint now) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? 0 : decayed(found->second.failures.rate, now - found->second.failures.rateAt);
}

TimePoint ServerLoad::backoffUntil(const ServerId &server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? TimePoint{} : found->second.failures.backoffUntil;
}

void ServerLoad::setColdUntil(const ServerId &server, TimePoint until)
{
    servers_[server].coldUntil = until;
}

TimePoint ServerLoad::coldUntil(const ServerId &server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? TimePoint{} : found->second.coldUntil;
}

void ServerLoad::forget(const ServerId &server)
{
    servers_.erase(server);
}

} // namespace Burdock
