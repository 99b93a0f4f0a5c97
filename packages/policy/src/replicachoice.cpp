#include <burdock/policy/replicachoice.h>

#include <algorithm>
#include <cmath>

namespace Burdock
{

namespace
{

/// What was measured loses half its weight in this time without a new sample.
constexpr Duration MeasureHalfLife = std::chrono::seconds(2);
/// What a replica without recent samples is taken for, as a part of the usual latency; below 1, or it
/// would never be measured again where the others are all alike.
constexpr double StalePart = 0.8;
/// A report counts this long; a holder tells of changes well within it.
constexpr Duration ReportLife = std::chrono::seconds(2);
/// How long a server that was reported as leaving, and not since, gets nothing.
constexpr Duration DrainingLife = std::chrono::seconds(60);
/// How much one failure moves the part of requests that fail.
constexpr double FailureWeight = 0.1;
/// How many times dearer a replica is whose requests all fail.
constexpr double FailureCost = 50;

bool contains(const std::vector<ServerId> &servers, const ServerId &server)
{
    return std::find(servers.begin(), servers.end(), server) != servers.end();
}

double microseconds(Duration span)
{
    return static_cast<double>(span.count());
}

} // namespace

ReplicaChoice::ReplicaChoice(Runtime &runtime, std::uint64_t seed, double ejectedPart)
    : runtime_(runtime)
    , random_(seed)
    , ejectedPart_(ejectedPart)
{
}

std::optional<ServerId> ReplicaChoice::choose(const std::vector<ServerId> &replicas, Rank rank, const std::vector<ServerId> &tried)
{
    std::vector<ServerId> serving;
    std::copy_if(replicas.begin(), replicas.end(), std::back_inserter(serving), [this](const ServerId &server) { return !draining(server); });
    const std::vector<ServerId> ejected = ejectedOf(serving);
    std::vector<ServerId> candidates;
    std::vector<ServerId> lastResort;
    for (const ServerId &server : serving) {
        if (!contains(tried, server)) {
            (contains(ejected, server) ? lastResort : candidates).push_back(server);
        }
    }
    if (candidates.empty()) {
        candidates.swap(lastResort);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return cheaperOfTwo(candidates, rank);
}

ServerId ReplicaChoice::cheaperOfTwo(const std::vector<ServerId> &candidates, Rank rank)
{
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    const std::size_t first = any(random_);
    if (candidates.size() == 1) {
        return candidates[first];
    }
    std::uniform_int_distribution<std::size_t> other(1, candidates.size() - 1);
    const std::size_t second = (first + other(random_)) % candidates.size();
    return cost(candidates[second], rank) < cost(candidates[first], rank) ? candidates[second] : candidates[first];
}

/// Of the ejected replicas the part that may be ejected at once: those that return last.
std::vector<ServerId> ReplicaChoice::ejectedOf(const std::vector<ServerId> &replicas) const
{
    std::vector<std::pair<TimePoint, ServerId>> ejected;
    for (const ServerId &server : replicas) {
        const TimePoint until = ejectedUntil(server);
        if (until > runtime_.now()) {
            ejected.emplace_back(until, server);
        }
    }
    std::sort(ejected.rbegin(), ejected.rend());
    const auto most = static_cast<std::size_t>(static_cast<double>(replicas.size()) * ejectedPart_);
    std::vector<ServerId> result;
    for (std::size_t i = 0; i < std::min(most, ejected.size()); ++i) {
        result.push_back(ejected[i].second);
    }
    return result;
}

bool ReplicaChoice::draining(const ServerId &server) const
{
    const auto found = replicas_.find(server);
    return found != replicas_.end() && found->second.draining && runtime_.now() < found->second.reportedAt + DrainingLife;
}

TimePoint ReplicaChoice::ejectedUntil(const ServerId &server) const
{
    const auto found = replicas_.find(server);
    if (found == replicas_.end()) {
        return {};
    }
    const Replica &replica = found->second;
    return replica.ejectedByHolder ? std::max(replica.ejection.until(), replica.reportedAt + ReportLife) : replica.ejection.until();
}

double ReplicaChoice::cost(const ServerId &server, Rank rank) const
{
    const double usual = microseconds(pooled_[rankIndex(rank)].value());
    const auto found = replicas_.find(server);
    if (found == replicas_.end()) {
        return usual;
    }
    const Replica &replica = found->second;
    const LatencyAverage &own = replica.latency[rankIndex(rank)];
    const double kept = std::exp2(-microseconds(runtime_.now() - replica.measuredAt) / microseconds(MeasureHalfLife));
    const double stale = usual * StalePart;
    const double latency = own.known() ? stale + (microseconds(own.value()) - stale) * kept : usual;
    const bool fresh = runtime_.now() < replica.reportedAt + ReportLife;
    const double delay = fresh ? microseconds(replica.queueDelay[rankIndex(rank)]) : 0;
    return (latency + delay) * (1 + FailureCost * replica.failing * kept);
}

void ReplicaChoice::answered(const ServerId &server, Rank rank, Duration took)
{
    Replica &replica = replicas_[server];
    replica.latency[rankIndex(rank)].add(took);
    pooled_[rankIndex(rank)].add(took);
    replica.failing -= replica.failing * FailureWeight;
    replica.measuredAt = runtime_.now();
    replica.ejection.recordAnswer();
}

void ReplicaChoice::failed(const ServerId &server)
{
    Replica &replica = replicas_[server];
    replica.failing += (1 - replica.failing) * FailureWeight;
    replica.measuredAt = runtime_.now();
    const bool before = replica.ejection.ejected(runtime_.now());
    replica.ejection.recordFailure(runtime_.now());
    ejections_ += !before && replica.ejection.ejected(runtime_.now()) ? 1 : 0;
}

/// An attempt given up would have taken longer still; it counts only where it took longer than usual.
void ReplicaChoice::givenUp(const ServerId &server, Rank rank, Duration took)
{
    const LatencyAverage &usual = pooled_[rankIndex(rank)];
    if (!usual.known() || took <= usual.value()) {
        return;
    }
    Replica &replica = replicas_[server];
    LatencyAverage &latency = replica.latency[rankIndex(rank)];
    latency.add(std::max(took, latency.value()));
    replica.measuredAt = runtime_.now();
}

void ReplicaChoice::reported(const ServerReport &report)
{
    Replica &replica = replicas_[report.server];
    replica.queueDelay = report.queueDelay;
    replica.draining = report.draining;
    replica.ejectedByHolder = report.ejected;
    replica.reportedAt = runtime_.now();
}

std::uint64_t ReplicaChoice::ejections() const
{
    return ejections_;
}

} // namespace Burdock
