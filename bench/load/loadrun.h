#pragma once

#include <burdock/wire/factories.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace Burdock
{

/// A caller that generates load: its query, its mean rate per second, and the latency target of an on-time answer.
struct LoadCaller
{
    std::string caller;
    std::string index;
    std::string rank;
    double ratePerSecond = 0;
    Duration target{0};
};

/// A phase of the load: its duration and, by rank, the factor applied to the usual rate.
struct LoadPhase
{
    std::string name;
    Duration duration{0};
    /// By rank; a rank that is missing has the factor 1.
    std::map<std::string, double> rateFactors;
};

/// Callers, phases and entry addresses of a LoadRun.
struct LoadPlan
{
    std::uint64_t seed = 1;
    std::uint32_t limit = 20;
    std::vector<Address> entries;
    std::vector<LoadCaller> callers;
    std::vector<LoadPhase> phases;

    /// Parses a plan from JSON; BadRequest with a hint if it is malformed.
    static Result<LoadPlan> parse(const std::string &text);
};

/// Sends queries in an open loop with Poisson arrivals, independent of earlier answers, and evaluates the answers.
///
/// Latency is measured from the intended start, so that a stalled driver or server cannot hide it.
class LoadRun
{
public:
    LoadRun(EventLoop &loop, HttpClient &client, LoadPlan plan);

    /// Sets the handler called with the phase's index when a phase begins.
    void setPhaseHandler(std::function<void(std::size_t)> handler);

    /// Runs all phases and waits for the outstanding answers.
    void run();

    /// By phase and rank: asked, onTimePart, p50, p99 and p999 in ms, mean coverage, and refusals by verdict.
    nlohmann::json report() const;

private:
    struct Outcome
    {
        std::size_t phase = 0;
        std::size_t caller = 0;
        TimePoint intended{};
        Duration latency{0};
        /// HTTP status; 0 if the connection failed.
        int status = 0;
        double coverage = 0;
        std::string verdict;
    };

    void scheduleNext(std::size_t phase, std::size_t caller, TimePoint after);
    void send(std::size_t phase, std::size_t caller, TimePoint intended);
    void onResponse(std::size_t outcomeIndex, const Result<HttpResponse> &answer);
    nlohmann::json summarizePhase(std::size_t phase, const std::string &rank) const;

    EventLoop &loop_;
    HttpClient &client_;
    LoadPlan plan_;
    std::mt19937_64 random_;
    std::function<void(std::size_t)> phaseHandler_;
    std::vector<TimePoint> phaseEnds_;
    std::vector<Outcome> outcomes_;
    std::size_t inFlight_ = 0;
};

} // namespace Burdock
