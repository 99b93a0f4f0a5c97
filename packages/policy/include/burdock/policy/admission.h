#pragma once

#include <burdock/policy/latencyaverage.h>
#include <burdock/values/subrequest.h>

#include <map>
#include <optional>
#include <random>
#include <string>

namespace Burdock
{

/// The unit of admission control: one caller's queries of one index, or its commands of one name.
struct AdmissionKey
{
    CallerId caller;
    Rank rank = Rank::Batch;
    std::string target;

    auto fields() const
    {
        return std::tie(caller, rank, target);
    }
};

/// What holders reported for the sub-requests of an admitted request.
struct AdmissionOutcome
{
    /// Counts the sub-requests that got a slot.
    std::uint32_t served = 0;
    /// Counts the sub-requests refused as NotRun because of load or lack of time.
    std::uint32_t refused = 0;
    /// The longest queue delay of the rank that a holder reported while the request was in flight.
    Duration queueDelay{0};
};

/// Refuses requests at the entry, before fan-out, that would not be served in time.
///
/// While reported queue delays exceed a fraction of the request's longest wait, a caller may have at most
/// as many requests in flight as are served for it in half of its longest wait. Admitted requests are
/// therefore served in time, however fast the load rises. Holders serve the callers of a rank by weight,
/// so each caller is limited to its fair share, and a caller below its fair share is never refused.
class Admission
{
public:
    Admission(Runtime &runtime, std::uint64_t seed);

    /// Admits the request and returns nothing, or returns an Overloaded failure with verdict NotRun and a
    /// retry delay. `onRequestFinished` must follow each admission.
    std::optional<Failure> tryAdmit(const AdmissionKey &key, Duration longestWait);

    /// Records the queue delays that a holder reported.
    void onServerReport(const ServerReport &report);

    /// Records the outcome of an admitted request. Must be called exactly once for each.
    void onRequestFinished(const AdmissionKey &key, const AdmissionOutcome &outcome);

    /// The number of refused requests of each rank.
    const PerRank<std::uint64_t> &refusedCounts() const;

private:
    struct KeyUsage
    {
        std::uint32_t inFlight = 0;
        /// Served requests, decayed exponentially over time.
        double served = 0;
        TimePoint decayedAt{};
    };

    struct Queue
    {
        LatencyAverage delay;
        TimePoint reportedAt{};
    };

    KeyUsage &usage(const AdmissionKey &key);
    bool queueDelayHigh(Rank rank, Duration longestWait) const;
    Duration retryAfter(Rank rank);
    void recordQueueDelay(Rank rank, Duration delay);

    Runtime &runtime_;
    std::mt19937_64 random_;
    std::map<AdmissionKey, KeyUsage> usages_;
    PerRank<Queue> queues_;
    PerRank<std::uint64_t> refusedCounts_{};
};

} // namespace Burdock
