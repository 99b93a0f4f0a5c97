#pragma once

#include <burdock/values/failure.h>
#include <burdock/values/names.h>
#include <burdock/values/rank.h>

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
    /// How long the request took in all; zero where its caller went away.
    Duration took{0};
};

/// Refuses at the entry what the holders would refuse, before it is fanned out.
///
/// While the reported queue delay is longer than half of what a request may wait, a caller may send so
/// many times what it is served: one and a half times while its own requests take half of their wait,
/// down to half as many when they take all of it. So its queue settles where all that is sent is served
/// in time. Holders serve callers by their shares within the rank, so each caller is held to its fair
/// share, and one that stays below it is served quickly and never refused.
class Admission
{
public:
    Admission(Runtime &runtime, std::uint64_t seed);

    /// Nothing where the request is admitted; else an Overloaded failure, NotRun, that says when to come back.
    std::optional<Failure> refusal(const AdmissionKey &key, Duration longestWait);

    /// Tells how an admitted request ended.
    void ended(const AdmissionKey &key, const AdmissionOutcome &outcome);

    /// How many requests were refused, by rank.
    const PerRank<std::uint64_t> &refused() const;

private:
    struct Account
    {
        double requests = 0;
        double served = 0;
        /// Recent requests' time taken as a part of the longest wait; 1 where holders refused them.
        double pressure = 0;
        Duration longestWait{0};
        Duration queueDelay{0};
        TimePoint reportedAt{};
        TimePoint decayedAt{};
    };

    Account &account(const AdmissionKey &key);
    static double refusedPart(const Account &account);
    Duration retryAfter(Duration queueDelay);

    Runtime &runtime_;
    std::mt19937_64 random_;
    std::map<AdmissionKey, Account> accounts_;
    PerRank<std::uint64_t> refused_{};
};

} // namespace Burdock
