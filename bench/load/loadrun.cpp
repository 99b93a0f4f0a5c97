#include "loadrun.h"

#include "summary.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Burdock
{

namespace
{

using nlohmann::json;

constexpr Duration CallTimeout = std::chrono::seconds(15);

Duration durationFromSeconds(double seconds)
{
    return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

LoadPlan parsePlan(const json &object)
{
    LoadPlan plan;
    plan.seed = object.value("seed", plan.seed);
    plan.limit = object.value("limit", plan.limit);
    for (const json &caller : object.at("callers")) {
        plan.callers.push_back(
            {caller.at("caller"), caller.at("index"), caller.at("rank"), caller.at("rate"), durationFromSeconds(caller.at("targetMs").get<double>() / 1000)});
    }
    for (const json &phase : object.at("phases")) {
        plan.phases.push_back({phase.at("name"), durationFromSeconds(phase.at("seconds")), phase.value("times", std::map<std::string, double>{})});
    }
    return plan;
}

} // namespace

Result<LoadPlan> LoadPlan::parse(const std::string &text)
{
    try {
        return parsePlan(json::parse(text));
    } catch (const json::exception &error) {
        return notRun(Errc::BadRequest, std::string("the plan is malformed: ") + error.what());
    }
}

LoadRun::LoadRun(EventLoop &loop, HttpClient &client, LoadPlan plan)
    : loop_(loop)
    , client_(client)
    , plan_(std::move(plan))
    , random_(plan_.seed)
{
}

void LoadRun::setPhaseHandler(std::function<void(std::size_t)> handler)
{
    phaseHandler_ = std::move(handler);
}

void LoadRun::run()
{
    for (std::size_t phase = 0; phase < plan_.phases.size(); ++phase) {
        if (phaseHandler_) {
            phaseHandler_(phase);
        }
        const TimePoint begin = loop_.now();
        phaseEnds_.push_back(begin + plan_.phases[phase].duration);
        for (std::size_t caller = 0; caller < plan_.callers.size(); ++caller) {
            scheduleNext(phase, caller, begin);
        }
        loop_.runUntil([this] { return loop_.now() >= phaseEnds_.back(); }, plan_.phases[phase].duration + CallTimeout);
    }
    loop_.runUntil([this] { return inFlight_ == 0; }, 2 * CallTimeout);
}

/// Schedules the caller's next arrival after a given time; a late event loop does not shift later arrivals.
void LoadRun::scheduleNext(std::size_t phase, std::size_t caller, TimePoint after)
{
    const LoadCaller &loadCaller = plan_.callers[caller];
    const auto factor = plan_.phases[phase].rateFactors.find(loadCaller.rank);
    const double rate = loadCaller.ratePerSecond * (factor == plan_.phases[phase].rateFactors.end() ? 1 : factor->second);
    if (rate <= 0) {
        return;
    }
    const TimePoint intended = after + durationFromSeconds(std::exponential_distribution<>(rate)(random_));
    if (intended >= phaseEnds_[phase]) {
        return;
    }
    loop_.schedule(intended - loop_.now(), [this, phase, caller, intended] {
        send(phase, caller, intended);
        scheduleNext(phase, caller, intended);
    });
}

void LoadRun::send(std::size_t phase, std::size_t caller, TimePoint intended)
{
    const LoadCaller &loadCaller = plan_.callers[caller];
    HttpRequest request;
    request.address = plan_.entries[std::uniform_int_distribution<std::size_t>(0, plan_.entries.size() - 1)(random_)];
    request.method = "POST";
    request.path = "/v1/query";
    request.headers = {{"X-Caller", loadCaller.caller}};
    request.body = json{{"index", loadCaller.index}, {"query", "belt"}, {"limit", plan_.limit}}.dump();
    request.timeout = CallTimeout;
    const std::size_t outcomeIndex = outcomes_.size();
    outcomes_.push_back({phase, caller, intended, {}, 0, 0, {}});
    ++inFlight_;
    client_.send(std::move(request), [this, outcomeIndex](const Result<HttpResponse> &answer) { onResponse(outcomeIndex, answer); });
}

void LoadRun::onResponse(std::size_t outcomeIndex, const Result<HttpResponse> &answer)
{
    Outcome &outcome = outcomes_[outcomeIndex];
    outcome.latency = loop_.now() - outcome.intended;
    --inFlight_;
    if (!answer) {
        outcome.verdict = "no answer: " + std::string(errcName(answer.error().code));
        return;
    }
    outcome.status = answer->status;
    const json body = json::parse(answer->body, nullptr, false);
    if (outcome.status == 200) {
        outcome.coverage = body.at("coverage").at("fraction");
    } else {
        outcome.verdict = body.is_object() ? body.at("error").value("code", "") + ", " + body.at("error").value("verdict", "") : "no JSON";
    }
}

json LoadRun::summarizePhase(std::size_t phase, const std::string &rank) const
{
    std::vector<double> milliseconds;
    std::map<std::string, int> refusals;
    double asked = 0;
    double onTime = 0;
    double coverage = 0;
    for (const Outcome &outcome : outcomes_) {
        const LoadCaller &loadCaller = plan_.callers[outcome.caller];
        if (outcome.phase != phase || loadCaller.rank != rank) {
            continue;
        }
        asked += 1;
        if (outcome.status != 200) {
            ++refusals[outcome.verdict];
            continue;
        }
        milliseconds.push_back(static_cast<double>(outcome.latency.count()) / 1000);
        onTime += outcome.latency <= loadCaller.target ? 1 : 0;
        coverage += outcome.coverage;
    }
    const double answered = std::max(static_cast<double>(milliseconds.size()), 1.0);
    return {{"asked", asked},
            {"answered", milliseconds.size()},
            {"answeredPerSecond", static_cast<double>(milliseconds.size()) * 1e6 / static_cast<double>(plan_.phases[phase].duration.count())},
            {"onTimePart", asked > 0 ? onTime / asked : 0},
            {"p50Ms", quantile(milliseconds, 0.5)},
            {"p99Ms", quantile(milliseconds, 0.99)},
            {"p999Ms", quantile(milliseconds, 0.999)},
            {"meanCoverage", coverage / answered},
            {"refusals", refusals}};
}

json LoadRun::report() const
{
    std::set<std::string> ranks;
    for (const LoadCaller &caller : plan_.callers) {
        ranks.insert(caller.rank);
    }
    json report{{"seed", plan_.seed}, {"phases", json::array()}};
    for (std::size_t phase = 0; phase < plan_.phases.size(); ++phase) {
        json entry{{"name", plan_.phases[phase].name}};
        for (const std::string &rank : ranks) {
            entry[rank] = summarizePhase(phase, rank);
        }
        report["phases"].push_back(entry);
    }
    return report;
}

} // namespace Burdock
