#pragma once

#include <burdock/wire/factories.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace Burdock
{

/// One caller of a load: what it asks, how often, and within which time an answer is on time.
struct LoadCaller
{
    std::string caller;
    std::string index;
    std::string rank;
    double perSecond = 0;
    Duration target{0};
};

/// One phase of a load: how long, and how many times its usual rate each rank asks.
struct LoadPhase
{
    std::string name;
    Duration span{0};
    /// By rank; 1 where a rank is not named.
    std::map<std::string, double> times;
};

/// What a LoadRun is to do.
struct LoadPlan
{
    std::uint64_t seed = 1;
    std::uint32_t limit = 20;
    std::vector<Address> entries;
    std::vector<LoadCaller> callers;
    std::vector<LoadPhase> phases;

    /// Reads a plan; BadRequest with a hint where it is malformed.
    static Result<LoadPlan> parse(const std::string &text);
};

/// Sends queries at drawn moments whatever becomes of earlier ones, and judges the answers.
///
/// Latency counts from the intended start, so that a driver or a server that stalls cannot hide it.
class LoadRun
{
public:
    LoadRun(EventLoop &loop, HttpClient &client, LoadPlan plan);

    /// Called as each phase begins, with its place.
    void onPhase(std::function<void(std::size_t)> handler);

    /// Runs all phases and waits for the last answers.
    void run();

    /// By phase and rank: asked, onTime, p50, p99 and p999 in ms, mean coverage, and refusals by verdict.
    nlohmann::json report() const;

private:
    struct Outcome
    {
        std::size_t phase = 0;
        std::size_t caller = 0;
        TimePoint intended{};
        Duration took{0};
        /// HTTP status; 0 where the connection failed.
        int status = 0;
        double coverage = 0;
        std::string verdict;
    };

    void next(std::size_t phase, std::size_t caller, TimePoint after);
    void send(std::size_t phase, std::size_t caller, TimePoint intended);
    void answered(std::size_t place, const Result<HttpResponse> &answer);
    nlohmann::json summarize(std::size_t phase, const std::string &rank) const;

    EventLoop &loop_;
    HttpClient &client_;
    LoadPlan plan_;
    std::mt19937_64 random_;
    std::function<void(std::size_t)> onPhase_;
    std::vector<TimePoint> ends_;
    std::vector<Outcome> outcomes_;
    std::size_t open_ = 0;
};

} // namespace Burdock
