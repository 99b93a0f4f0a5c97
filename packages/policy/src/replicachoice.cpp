#include <burdock/policy/replicachoice.h>

#include <algorithm>
#include <cmath>

namespace Burdock
{

namespace
{

/// The half-life of measurements without a new sample.
constexpr Duration MeasurementHalfLife = std::chrono::seconds(2);
/// The latency assumed for a replica without recent samples, as a fraction of the pooled average. Must be
/// below 1: otherwise the replica would never be measured again if the others are all alike.
constexpr double StaleFraction = 0.8;
/// How long a report is used. Holders report changes well within this time.
constexpr Duration ReportValidity = std::chrono::seconds(2);
/// How long a server stays excluded after it was reported as draining, if no later report arrives.
constexpr Duration DrainingValidity = std::chrono::seconds(60);
/// The weight of one request in the moving average of the failure rate.
constexpr double FailureWeight = 0.1;
/// The cost of a replica is multiplied by 1 plus this if all its requests fail.
constexpr double FailureCostFactor = 50;

bool contains(const std::vector<ServerId> &servers, const ServerId &server)
{
    return std::find(servers.begin(), servers.end(), server) != servers.end();
}

double microseconds(Duration span)
{
    return static_cast<double>(span.count());
}

} // namespace

ReplicaChoice::ReplicaChoice(Runtime &runtime, std::uint64_t seed, double maxEjectedFraction)
    : runtime_(runtime)
    , random_(seed)
    , maxEjectedFraction_(maxEjectedFraction)
{
}

std::optional<ServerId> ReplicaChoice::choose(const std::vector<ServerId> &replicas, Rank rank, const std::vector<ServerId> &tried)
{
    std::vector<ServerId> serving;
    std::copy_if(replicas.begin(), replicas.end(), std::back_inserter(serving), [this](const ServerId &server) { return !draining(server); });
    const std::vector<ServerId> ejected = ejectedAmong(serving);
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
    return chooseCheaperOfTwo(candidates, rank);
}

ServerId ReplicaChoice::chooseCheaperOfTwo(const std::vector<ServerId> &candidates, Rank rank)
{
    std::uniform_int_distribution<std::size_t> firstIndex(0, candidates.size() - 1);
    const std::size_t first = firstIndex(random_);
    if (candidates.size() == 1) {
        return candidates[first];
    }
    std::uniform_int_distribution<std::size_t> offset(1, candidates.size() - 1);
    const std::size_t second = (first + offset(random_)) % candidates.size();
    return cost(candidates[second], rank) < cost(candidates[first], rank) ? candidates[second] : candidates[first];
}

/// The replicas that count as ejected: at most the allowed fraction, those with the latest end of ejection first.
std::vector<ServerId> ReplicaChoice::ejectedAmong(const std::vector<ServerId> &replicas) const
{
    std::vector<std::pair<TimePoint, ServerId>> ejected;
    for (const ServerId &server : replicas) {
        const TimePoint until = ejectedUntil(server);
        if (until > runtime_.now()) {
            ejected.emplace_back(until, server);
        }
    }
    std::sort(ejected.rbegin(), ejected.rend());
    const auto maxEjected = static_cast<std::size_t>(static_cast<double>(replicas.size()) * maxEjectedFraction_);
    std::vector<ServerId> result;
    for (std::size_t i = 0; i < std::min(maxEjected, ejected.size()); ++i) {
        result.push_back(ejected[i].second);
    }
    return result;
}

bool ReplicaChoice::draining(const ServerId &server) const
{
    const auto found = replicas_.find(server);
    return found != replicas_.end() && found->second.draining && runtime_.now() < found->second.reportedAt + DrainingValidity;
}

TimePoint ReplicaChoice::ejectedUntil(const ServerId &server) const
{
    const auto found = replicas_.find(server);
    if (found == replicas_.end()) {
        return {};
    }
    const Replica &replica = found->second;
    return replica.ejectedByHolder ? std::max(replica.ejection.until(), replica.reportedAt + ReportValidity) : replica.ejection.until();
}

double ReplicaChoice::cost(const ServerId &server, Rank rank) const
{
    const double pooled = microseconds(pooled_[rankIndex(rank)].value());
    const auto found = replicas_.find(server);
    if (found == replicas_.end()) {
        return pooled;
    }
    const Replica &replica = found->second;
    const LatencyAverage &own = replica.latency[rankIndex(rank)];
    const double decay = std::exp2(-microseconds(runtime_.now() - replica.measuredAt) / microseconds(MeasurementHalfLife));
    const double stale = pooled * StaleFraction;
    const double latency = own.hasSamples() ? stale + (microseconds(own.value()) - stale) * decay : pooled;
    const bool fresh = runtime_.now() < replica.reportedAt + ReportValidity;
    const double delay = fresh ? microseconds(replica.queueDelay[rankIndex(rank)]) : 0;
    return (latency + delay) * (1 + FailureCostFactor * replica.failureRate * decay);
}

void ReplicaChoice::onAnswered(const ServerId &server, Rank rank, Duration took)
{
    Replica &replica = replicas_[server];
    replica.latency[rankIndex(rank)].add(took);
    pooled_[rankIndex(rank)].add(took);
    replica.failureRate -= replica.failureRate * FailureWeight;
    replica.measuredAt = runtime_.now();
    replica.ejection.recordSuccess();
}

void ReplicaChoice::onFailed(const ServerId &server)
{
    Replica &replica = replicas_[server];
    replica.failureRate += (1 - replica.failureRate) * FailureWeight;
    replica.measuredAt = runtime_.now();
    const bool wasEjected = replica.ejection.isEjected(runtime_.now());
    replica.ejection.recordFailure(runtime_.now());
    ejections_ += !wasEjected && replica.ejection.isEjected(runtime_.now()) ? 1 : 0;
}

/// An abandoned attempt would have taken longer than `took`, so it counts only if `took` exceeds the pooled average.
void ReplicaChoice::onAbandoned(const ServerId &server, Rank rank, Duration took)
{
    const LatencyAverage &pooled = pooled_[rankIndex(rank)];
    if (!pooled.hasSamples() || took <= pooled.value()) {
        return;
    }
    Replica &replica = replicas_[server];
    LatencyAverage &latency = replica.latency[rankIndex(rank)];
    latency.add(std::max(took, latency.value()));
    replica.measuredAt = runtime_.now();
}

void ReplicaChoice::onServerReport(const ServerReport &report)
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
