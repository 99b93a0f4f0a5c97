#include "soakchecks.h"

#include <burdock/fakes/fakeroutedserver.h>

#include <algorithm>
#include <numeric>
#include <sstream>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

constexpr int OkStatus = 200;
constexpr int NotFoundStatus = 404;
/// Bounds that the platform states and the checks rely on.
constexpr Duration MaxConfigDelay = std::chrono::seconds(3);
constexpr Duration StabilityWindow = std::chrono::seconds(5);
constexpr Duration RollbackSlack = std::chrono::milliseconds(250);
constexpr std::int64_t MaxDrainMs = 3000;
constexpr std::size_t BudgetWindowSeconds = 10;
constexpr double BudgetRatio = 0.2;
constexpr double BudgetSlack = 52;
constexpr double MinCutOffFraction = 2.0 / 3;
constexpr double MaxCutOffFailures = 10;
constexpr double MaxCutOffFailedFraction = 1.0 / 50;
/// The part of the requests that is owed an answer where callers use keys. The absolute allowance shrinks with it.
constexpr double OwedFraction = 0.6;
constexpr std::size_t RecoverySeconds = 3;
constexpr double MinRecoveredFraction = 0.9;
constexpr std::size_t MaxViolations = 20;

std::string headerOf(const HttpResponse &answer, const char *name)
{
    const auto found = answer.headers.find(name);
    return found == answer.headers.end() ? std::string() : found->second;
}

/// Splits `text` at the separators and strips leading spaces from each piece.
std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream words(text);
    for (std::string part; std::getline(words, part, separator);) {
        parts.push_back(part.substr(std::min(part.find_first_not_of(' '), part.size())));
    }
    return parts;
}

bool isRefusal(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

SoakChecks::SoakChecks(SoakWorld &world, bool timed)
    : world_(world)
    , timed_(timed)
    , started_(world.testbed().loop().now())
    , keys_(world, timed, [this](const std::string &promise, const std::string &what) { addViolation(promise, what); })
    , rates_(world, timed, [this](const std::string &promise, const std::string &what) { addViolation(promise, what); })
{
}

void SoakChecks::addViolation(const std::string &promise, const std::string &what)
{
    if (violations_.size() < MaxViolations) {
        const auto at = std::chrono::duration<double>(world_.testbed().loop().now() - started_).count();
        violations_.push_back(promise + " at " + std::to_string(at) + " s: " + what);
    }
}

SoakSecond &SoakChecks::currentSecond()
{
    const auto index = static_cast<std::size_t>((world_.testbed().loop().now() - started_) / std::chrono::seconds(1));
    seconds_.resize(std::max(seconds_.size(), index + 1));
    return seconds_[index];
}

void SoakChecks::setRestarting(const std::string &instance, bool restarting)
{
    if (restarting) {
        restarting_.insert(instance);
    } else {
        restarting_.erase(instance);
    }
}

void SoakChecks::onRequestFinished(const SoakRequest &request, const Result<HttpResponse> &answer, bool stopBeganInFlight)
{
    const int status = answer ? answer->status : 0;
    keys_.onRequestFinished(request, status);
    if (status == OkStatus) {
        rates_.onServed(request);
    }
    if (isOwed(request)) {
        countRequest(status, world_.testbed().loop().now() - request.sentAt);
        for (const auto &[counts, served] : {std::make_pair(request.atCutOff, &atCutOff_),
                                             std::make_pair(request.atCutOff && request.atEarlierBuild, &atCutOffEarlier_),
                                             std::make_pair(request.besideCutOff, &besideCutOff_)}) {
            served->requests += counts ? 1 : 0;
            served->served += counts && status == OkStatus ? 1 : 0;
        }
    }
    if (request.kind == SoakRequestKind::Unrepeatable) {
        unrepeatable_[request.attempt] = isRefusal(status);
    }
    if (request.kind == SoakRequestKind::Versioned) {
        checkConfigVersion(request, status);
    } else if (status == OkStatus && request.kind == SoakRequestKind::Fanout) {
        checkFanoutAnswer(request, *answer);
    } else if (status == OkStatus) {
        checkSingleAnswer(request, *answer);
    }
    const bool undisturbed = world_.isUndisturbed(request.instance, 2 * StabilityWindow);
    if (!answer && (request.instanceStopping || stopBeganInFlight) && answer.error().code == Errc::ConnectionLost) {
        droppedDuringStop_.push_back(request.attempt);
    } else if (!answer && answer.error().code == Errc::DeadlineExceeded && timed_ && undisturbed) {
        addViolation("an answer by the timeout", request.attempt + " at " + request.instance + " received no answer");
    }
}

/// Most requested versions do not exist, some keys are withdrawn or unknown, and one workspace sends more than its rate.
bool SoakChecks::isOwed(const SoakRequest &request) const
{
    const SoakKey &key = request.key;
    const bool isKeyInForce = !key.workspace.empty() && !key.withdrawnAt && key.workspace != SoakWorkspaces::RatedName;
    return request.kind != SoakRequestKind::Versioned && (!world_.hasWorkspaces() || isKeyInForce);
}

void SoakChecks::countRequest(int status, Duration took)
{
    SoakSecond &now = currentSecond();
    ++now.requests;
    if (status == OkStatus) {
        ++now.served;
        now.latencies.push_back(took);
    } else {
        ++(isRefusal(status) ? now.refused : now.failed);
    }
}

void SoakChecks::checkSingleAnswer(const SoakRequest &request, const HttpResponse &answer)
{
    const std::string method = request.kind == SoakRequestKind::Unrepeatable ? "POST" : "GET";
    if (answer.body != "one " + method + " " + request.target + " ") {
        addViolation("whole answers", request.attempt + " received the body '" + answer.body.text() + "'");
    }
    const auto signature = split(headerOf(answer, "response-stamp"), '/');
    if (signature.size() != 4 || signature[2] != request.attempt || headerOf(answer, "attempt-id") != request.attempt) {
        addViolation("one's own answer", request.attempt + " received the signature " + headerOf(answer, "response-stamp"));
    }
}

void SoakChecks::checkFanoutAnswer(const SoakRequest &request, const HttpResponse &answer)
{
    std::set<std::string> services;
    std::vector<std::string> records;
    for (const std::string &part : split(headerOf(answer, "part-stamps"), ',')) {
        const auto signature = split(part, '/');
        if (signature.size() != 4 || signature[2] != request.attempt || !services.insert(signature[0]).second) {
            return addViolation("honest parts", request.attempt + " received the parts " + headerOf(answer, "part-stamps"));
        }
        const auto shard = shardRecords(signature[0], request.target, SoakWorld::RecordsPerShard);
        records.insert(records.end(), shard.begin(), shard.end());
    }
    std::sort(records.rbegin(), records.rend());
    records.resize(std::min(records.size(), SoakWorld::ResultLimit));
    if (answer.body != std::accumulate(records.begin(), records.end(), std::string())) {
        addViolation("whole answers", request.attempt + " did not receive the greatest records of its parts");
    }
    const std::string missingText = headerOf(answer, "missing-parts");
    const std::size_t missing = missingText.empty() ? 0 : std::stoul(missingText);
    const bool matchesConfig = std::any_of(world_.shardSets().begin(), world_.shardSets().end(), [&](const std::set<std::string> &set) {
        const bool within = std::includes(set.begin(), set.end(), services.begin(), services.end());
        return within && set.size() == services.size() + missing
            && static_cast<double>(services.size()) >= SoakWorld::MinShardShare * static_cast<double>(set.size());
    });
    if (!matchesConfig) {
        addViolation("honest coverage", request.attempt + " has " + std::to_string(services.size()) + " parts and reports " + missingText + " missing");
    }
}

void SoakChecks::checkConfigVersion(const SoakRequest &request, int status)
{
    auto &[newest, since] = servedVersions_[{request.instance, request.incarnation}];
    if (status == OkStatus && request.version > newest) {
        newest = request.version;
        since = world_.testbed().loop().now();
    } else if (status == OkStatus && request.version < newest && request.sentAt > since + RollbackSlack) {
        addViolation("no way back to an older configuration",
                     request.instance + " served " + std::to_string(request.version) + " after " + std::to_string(newest));
    }
    const bool undisturbed = world_.isUndisturbed("store", 2 * StabilityWindow) && world_.isUndisturbed(request.instance, 2 * StabilityWindow);
    const bool current =
        request.version == world_.version() && world_.isUndisturbed("config", MaxConfigDelay + (world_.testbed().loop().now() - request.sentAt));
    if (timed_ && status == NotFoundStatus && undisturbed && current) {
        addViolation("a configuration in force within seconds", request.instance + " has no route of version " + std::to_string(request.version));
    }
}

void SoakChecks::checkDrained(const std::string &server)
{
    constexpr Duration DrainCheckDelay = std::chrono::seconds(6);
    const Duration span = DrainCheckDelay + StabilityWindow;
    const bool undisturbed = world_.isUndisturbed("store", span) && world_.isUndisturbed("links", span)
        && std::all_of(world_.instances().begin(), world_.instances().end(), [this, span](const std::string &instance) {
                                 return world_.isUndisturbed(instance, span);
                             });
    const Json status = world_.testbed().control("GET", "/fake/servers").at(server);
    if (timed_ && undisturbed && status.at("lastAfterLeavingMs").get<std::int64_t>() > MaxDrainMs) {
        addViolation("no work for a leaving server", server + " received a request " + status.at("lastAfterLeavingMs").dump() + " ms after it began to leave");
    }
}

void SoakChecks::checkLimit(const std::string &server, int starts)
{
    // A new life learns of the limit from its first answers, and sends until then on the connections that it may hold.
    constexpr double RequestsUntilTold = 5;
    const double excess = world_.testbed().control("GET", "/fake/servers").at(server).at("worstLimitExcess").get<double>();
    if (excess > RequestsUntilTold * starts) {
        addViolation("a server's limit", server + " got " + std::to_string(excess) + " requests more in 4 s than its limit allows");
    }
}

void SoakChecks::checkDeadly(const std::string &target, int starts)
{
    // One server of each shard, and two as the only suspect, if an instance hears nothing from the others.
    const int perLife = static_cast<int>(SoakWorld::mostShards()) + 2;
    const int lives = static_cast<int>(world_.instances().size()) + starts;
    int crashes = 0;
    for (const Json &server : world_.testbed().control("GET", "/fake/servers")) {
        crashes += server.at("crashes").value(target, 0);
    }
    if (crashes > perLife * lives) {
        addViolation("a request that crashes servers",
                     target + " crashed " + std::to_string(crashes) + " servers in " + std::to_string(lives) + " lives of instances");
    }
}

void SoakChecks::checkRunning()
{
    for (const std::string &end : world_.testbed().takeFaultyEnds()) {
        addViolation("no end by itself", end);
    }
    for (const std::string &instance : world_.instances()) {
        if (restarting_.count(instance) == 0 && !world_.testbed().process(instance).isRunning()) {
            addViolation("no end by itself", instance + " is not running and was not stopped");
            restarting_.insert(instance);
        }
    }
}

void SoakChecks::checkConfigInForce()
{
    for (const std::string &instance : world_.instances()) {
        const auto answer = world_.testbed().sendRequest(instance, "/v" + std::to_string(world_.version()) + "/x", "end-" + instance);
        if (timed_ && answer && answer->status == NotFoundStatus) {
            addViolation("a configuration in force within seconds", instance + " has no route of version " + std::to_string(world_.version()) + " at the end");
        }
    }
}

void SoakChecks::checkEnd()
{
    const Json ran = world_.testbed().control("GET", "/fake/ran");
    const auto runCount = [&ran](const std::string &attempt) {
        std::uint32_t sum = 0;
        const auto services = ran.find(attempt);
        if (services != ran.end()) {
            for (const Json &times : *services) {
                sum += times.get<std::uint32_t>();
            }
        }
        return sum;
    };
    for (const auto &[attempt, refused] : unrepeatable_) {
        const std::uint32_t times = runCount(attempt);
        if (times > 1) {
            addViolation("at most once", attempt + " ran " + std::to_string(times) + " times");
        }
        if (refused && times > 0) {
            addViolation("true refusals", attempt + " was refused but ran");
        }
    }
    for (const std::string &attempt : droppedDuringStop_) {
        if (!serversSlow_ && runCount(attempt) > 0) {
            addViolation("a stop cuts no request", attempt + " reached a server but received no answer");
        }
    }
    const Json servers = world_.testbed().control("GET", "/fake/servers");
    for (const auto &[id, server] : servers.items()) {
        for (const Json &complaint : server.at("complaints")) {
            addViolation("requests as the page says", id + ": " + complaint.get<std::string>());
        }
    }
    keys_.checkEnd(ran);
    rates_.checkEnd();
    checkBudget();
    checkRunning();
    checkCutOff();
}

void SoakChecks::noteCutOff(SoakRequest &request) const
{
    const auto &all = world_.instances();
    const auto isUsable = [this](const std::string &instance) { return restarting_.count(instance) == 0 && world_.isUndisturbed(instance, StabilityWindow); };
    const bool isAnyCutOff = std::any_of(all.begin(), all.end(), [this](const std::string &each) { return world_.isCutOff(each, StabilityWindow); });
    const bool canAnyHelp = std::any_of(all.begin(), all.end(), [&](const std::string &each) { return isUsable(each) && !world_.isCutOff(each); });
    const bool counts = isAnyCutOff && canAnyHelp && isUsable(request.instance);
    request.atCutOff = counts && world_.isCutOff(request.instance, StabilityWindow);
    request.atEarlierBuild = world_.builds().isEarlier(request.instance);
    request.besideCutOff = counts && !world_.isCutOff(request.instance);
}

void SoakChecks::checkCutOff()
{
    const double failures = atCutOff_.requests - atCutOff_.served;
    const double all = atCutOff_.requests + besideCutOff_.requests;
    const double allowed = MaxCutOffFailures * (world_.hasWorkspaces() ? OwedFraction : 1);
    if (atCutOff_.served * besideCutOff_.requests < MinCutOffFraction * besideCutOff_.served * atCutOff_.requests
        && failures > allowed + MaxCutOffFailedFraction * all) {
        std::ostringstream what;
        what << "served " << atCutOff_.served << " of " << atCutOff_.requests << " requests there, the others " << besideCutOff_.served << " of "
             << besideCutOff_.requests << "; of the former, the earlier build served " << atCutOffEarlier_.served << " of " << atCutOffEarlier_.requests;
        addViolation("instances without servers are helped", what.str());
    }
}

void SoakChecks::checkBudget()
{
    const Json arrivals = world_.testbed().control("GET", "/fake/arrivals");
    for (const auto &[service, counts] : arrivals.items()) {
        const auto first = counts.at("first").get<std::vector<double>>();
        const auto repeats = counts.at("repeats").get<std::vector<double>>();
        const auto sum = [](const std::vector<double> &values, std::size_t begin, std::size_t end) {
            return std::accumulate(
                values.begin() + static_cast<std::ptrdiff_t>(begin), values.begin() + static_cast<std::ptrdiff_t>(std::min(end, values.size())), 0.0);
        };
        for (std::size_t begin = 0; begin < first.size(); ++begin) {
            const std::size_t before = begin < BudgetWindowSeconds ? 0 : begin - BudgetWindowSeconds;
            const double requests = std::max(sum(first, begin, begin + BudgetWindowSeconds), sum(first, before, begin));
            const double extra = sum(repeats, begin, begin + BudgetWindowSeconds);
            if (extra > BudgetRatio * requests + BudgetSlack) {
                addViolation("the repeat budget",
                             service + " got " + std::to_string(extra) + " repeats of " + std::to_string(requests) + " from second " + std::to_string(begin));
                break;
            }
        }
    }
}

void SoakChecks::checkRecovered()
{
    std::uint32_t requests = 0;
    std::uint32_t served = 0;
    for (std::size_t index = seconds_.size() - std::min(seconds_.size(), RecoverySeconds); index < seconds_.size(); ++index) {
        requests += seconds_[index].requests;
        served += seconds_[index].served;
    }
    if (timed_ && (requests == 0 || served < MinRecoveredFraction * requests)) {
        addViolation("recovery", std::to_string(served) + " of " + std::to_string(requests) + " requests were served after the faults");
    }
}

} // namespace Burdock
