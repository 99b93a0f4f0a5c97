#include <burdock/routing/serverload.h>

#include <algorithm>
#include <cmath>

namespace Burdock
{

namespace
{

/// The weight of one outcome in the share of failures, and the time after which most of a share is forgotten.
constexpr double FailureWeight = 0.15;
constexpr Duration FailureMemory = std::chrono::seconds(4);
/// How long a server rests after a refusal: doubled with each refusal in a row, up to the longest.
constexpr Duration FirstRest = std::chrono::milliseconds(50);
constexpr Duration LongestRest = std::chrono::milliseconds(1600);
constexpr std::uint32_t MostDoublings = 5;

double faded(double share, Duration age)
{
    return share * std::exp(-static_cast<double>(age.count()) / static_cast<double>(FailureMemory.count()));
}

} // namespace

void ServerLoad::sent(const ServerId &server, TimePoint now)
{
    servers_[server].open.push_back(now);
}

void ServerLoad::ended(Server &server, TimePoint sentAt, double failure, TimePoint now)
{
    const auto open = std::find(server.open.begin(), server.open.end(), sentAt);
    if (open != server.open.end()) {
        server.open.erase(open);
    }
    const double share = faded(server.failing, now - server.failingAt);
    server.failing = share + FailureWeight * (failure - share);
    server.failingAt = now;
}

void ServerLoad::answered(const ServerId &server, TimePoint sentAt, TimePoint now)
{
    Server &known = servers_[server];
    ended(known, sentAt, 0, now);
    known.refusalsInARow = 0;
}

void ServerLoad::refused(const ServerId &server, TimePoint sentAt, TimePoint now)
{
    Server &known = servers_[server];
    ended(known, sentAt, 1, now);
    known.restsUntil = now + std::min(FirstRest * (1 << std::min(known.refusalsInARow, MostDoublings)), LongestRest);
    ++known.refusalsInARow;
}

void ServerLoad::failed(const ServerId &server, TimePoint sentAt, TimePoint now)
{
    ended(servers_[server], sentAt, 1, now);
}

void ServerLoad::givenUp(const ServerId &server, TimePoint sentAt)
{
    Server &known = servers_[server];
    const auto open = std::find(known.open.begin(), known.open.end(), sentAt);
    if (open != known.open.end()) {
        known.open.erase(open);
    }
}

std::uint32_t ServerLoad::underWay(const ServerId &server) const
{
    const auto known = servers_.find(server);
    return known == servers_.end() ? 0 : static_cast<std::uint32_t>(known->second.open.size());
}

Duration ServerLoad::oldest(const ServerId &server, TimePoint now) const
{
    const auto known = servers_.find(server);
    if (known == servers_.end() || known->second.open.empty()) {
        return Duration{0};
    }
    return now - *std::min_element(known->second.open.begin(), known->second.open.end());
}

double ServerLoad::failing(const ServerId &server, TimePoint now) const
{
    const auto known = servers_.find(server);
    return known == servers_.end() ? 0 : faded(known->second.failing, now - known->second.failingAt);
}

TimePoint ServerLoad::restsUntil(const ServerId &server) const
{
    const auto known = servers_.find(server);
    return known == servers_.end() ? TimePoint{} : known->second.restsUntil;
}

void ServerLoad::warmsUp(const ServerId &server, TimePoint until)
{
    servers_[server].coldUntil = until;
}

TimePoint ServerLoad::coldUntil(const ServerId &server) const
{
    const auto known = servers_.find(server);
    return known == servers_.end() ? TimePoint{} : known->second.coldUntil;
}

void ServerLoad::forget(const ServerId &server)
{
    servers_.erase(server);
}

} // namespace Burdock
