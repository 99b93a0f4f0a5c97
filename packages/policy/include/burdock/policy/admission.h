#pragma once

#include <burdock/policy/latencyaverage.h>
#include <burdock/values/subrequest.h>

#include <map>
#include <optional>
#include <random>
#include <string>

namespace Burdock
{

/// Whose work is admitted: one caller's queries of one index or commands of one name.
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

/// How an admitted request fared with the holders.
struct AdmissionOutcome
{
    /// Sub-requests that got a slot, and those refused as NotRun for load or lack of time.
    std::uint32_t served = 0;
    std::uint32_t refused = 0;
    /// The longest queue delay of the rank that a holder reported meanwhile.
    Duration queueDelay{0};
};

/// Refuses at the entry what would not be served in time, before it is fanned out.
///
/// While reported queue delays are a good part of what a request may wait, a caller may have only so many
/// requests in flight as it is served in half of its longest wait. So what is admitted is served in time,
/// however fast a flood begins. Holders serve callers by their shares within the rank, so each caller is
/// held to its fair share, and one that stays below it is never refused.
class Admission
{
public:
    Admission(Runtime &runtime, std::uint64_t seed);

    /// Nothing where the request is admitted; else an Overloaded failure, NotRun, that says when to come back.
    std::optional<Failure> refusal(const AdmissionKey &key, Duration longestWait);

    /// Takes in the queue delays that a holder reported.
    void reported(const ServerReport &report);

    /// Tells how an admitted request ended; called once for each.
    void ended(const AdmissionKey &key, const AdmissionOutcome &outcome);

    /// How many requests were refused, by rank.
    const PerRank<std::uint64_t> &refused() const;

private:
    struct Account
    {
        std::uint32_t inFlight = 0;
        /// Requests served, of which old ones lose their weight.
        double served = 0;
        TimePoint decayedAt{};
    };

    struct Queue
    {
        LatencyAverage delay;
        TimePoint reportedAt{};
    };

    Account &account(const AdmissionKey &key);
    bool queueing(Rank rank, Duration longestWait) const;
    Duration retryAfter(Rank rank);
    void learnDelay(Rank rank, Duration delay);

    Runtime &runtime_;
    std::mt19937_64 random_;
    std::map<AdmissionKey, Account> accounts_;
    PerRank<Queue> queues_;
    PerRank<std::uint64_t> refused_{};
};

} // namespace Burdock
