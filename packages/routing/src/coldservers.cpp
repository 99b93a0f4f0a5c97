#include <burdock/routing/coldservers.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

ColdServers::ColdServers(InstanceId self, const LimitTerms &terms, ServerLimits::ReportHandler onReport)
    : limits_(std::move(self), std::move(onReport), terms)
{
}

void ColdServers::setServices(const std::vector<RoutedService> &services)
{
    rates_.clear();
    for (const RoutedService &service : services) {
        if (service.coldRate > 0) {
            rates_[service.name] = service.coldRate;
        }
    }
}

void ColdServers::setSenders(const std::vector<InstanceId> &senders, TimePoint now)
{
    limits_.setSenders(senders, now);
}

void ColdServers::onEntry(const ServerEntry &server, TimePoint now)
{
    update(now);
    const auto rate = rates_.find(server.service);
    if (server.coldFor <= Duration{0} || rate == rates_.end()) {
        return;
    }
    Cold &cold = cold_[server.id];
    const bool isNewLife = cold.entry.born != server.born;
    cold.entry = server;
    cold.until = isNewLife ? now + server.coldFor : std::max(cold.until, now + server.coldFor);
    nextWarm_ = std::min(nextWarm_, cold.until);
    limits_.onAnswer(server, rate->second, now);
}

void ColdServers::update(TimePoint now)
{
    if (now < nextWarm_) {
        return;
    }
    nextWarm_ = TimePoint::max();
    for (auto cold = cold_.begin(); cold != cold_.end();) {
        if (cold->second.until <= now) {
            limits_.onAnswer(cold->second.entry, std::nullopt, now);
            cold = cold_.erase(cold);
        } else {
            nextWarm_ = std::min(nextWarm_, cold->second.until);
            ++cold;
        }
    }
}

bool ColdServers::allows(const ServerId &server, std::int64_t priority, bool repeat, TimePoint now)
{
    update(now);
    return !any() || limits_.allows(server, priority, repeat, now);
}

void ColdServers::onSent(const ServerId &server, std::int64_t priority, bool repeat, TimePoint now)
{
    if (any()) {
        limits_.onSent(server, priority, repeat, now);
    }
}

Duration ColdServers::refuse(const std::vector<ServerHandle> &servers, std::int64_t priority, TimePoint now)
{
    update(now);
    return limits_.refuse(servers, priority, now);
}

} // namespace Burdock
