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
/// The platform's bounds that the checks use.
constexpr Duration ConfigBound = std::chrono::seconds(3);
constexpr Duration StabilityWindow = std::chrono::seconds(5);
constexpr Duration RollbackSlack = std::chrono::milliseconds(250);
constexpr std::int64_t DrainBoundMs = 3000;
constexpr std::size_t BudgetWindow = 10;
constexpr double BudgetRatio = 0.2;
constexpr double BudgetSlack = 52;
constexpr std::size_t RecoverySeconds = 3;
constexpr double RecoveredShare = 0.9;
constexpr std::size_t MostViolations = 20;

std::string headerOf(const HttpResponse &answer, const char *name)
{
    const auto found = answer.headers.find(name);
    return found == answer.headers.end() ? std::string() : found->second;
}

/// The parts of `text` between the separators, without blanks at their beginning.
std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream words(text);
    for (std::string part; std::getline(words, part, separator);) {
        parts.push_back(part.substr(std::min(part.find_first_not_of(' '), part.size())));
    }
    return parts;
}

bool refusedStatus(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

SoakChecks::SoakChecks(SoakWorld &world, bool timed)
    : world_(world)
    , timed_(timed)
    , started_(world.bed().loop().now())
{
}

void SoakChecks::violation(const std::string &promise, const std::string &what)
{
    if (violations_.size() < MostViolations) {
        const auto at = std::chrono::duration<double>(world_.bed().loop().now() - started_).count();
        violations_.push_back(promise + " at " + std::to_string(at) + " s: " + what);
    }
}

SoakSecond &SoakChecks::second()
{
    const auto index = static_cast<std::size_t>((world_.bed().loop().now() - started_) / std::chrono::seconds(1));
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

void SoakChecks::answered(const Asked &asked, const Result<HttpResponse> &answer, bool stoppedMeanwhile)
{
    const int status = answer ? answer->status : 0;
    // Most versions that clients ask for do not exist, so those requests say nothing of service.
    if (asked.kind != AskedKind::Versioned) {
        count(status, world_.bed().loop().now() - asked.sentAt);
    }
    if (asked.kind == AskedKind::Once) {
        once_[asked.attempt] = refusedStatus(status);
    }
    if (asked.kind == AskedKind::Versioned) {
        checkVersion(asked, status);
    } else if (status == OkStatus && asked.kind == AskedKind::All) {
        checkAll(asked, *answer);
    } else if (status == OkStatus) {
        checkOne(asked, *answer);
    }
    const bool calm = world_.undisturbed(asked.instance, 2 * StabilityWindow);
    if (!answer && (asked.stopping || stoppedMeanwhile) && answer.error().code == Errc::ConnectionLost) {
        cutInStop_.push_back(asked.attempt);
    } else if (!answer && answer.error().code == Errc::DeadlineExceeded && timed_ && calm) {
        violation("an answer by the timeout", asked.attempt + " at " + asked.instance + " got none");
    }
}

void SoakChecks::count(int status, Duration took)
{
    SoakSecond &now = second();
    ++now.asked;
    if (status == OkStatus) {
        ++now.served;
        now.latencies.push_back(took);
    } else {
        ++(refusedStatus(status) ? now.refused : now.failed);
    }
}

void SoakChecks::checkOne(const Asked &asked, const HttpResponse &answer)
{
    const std::string method = asked.kind == AskedKind::Once ? "POST" : "GET";
    if (answer.body != "one " + method + " " + asked.target + " ") {
        violation("whole answers", asked.attempt + " got the body '" + answer.body + "'");
    }
    const auto signature = split(headerOf(answer, "response-stamp"), '/');
    if (signature.size() != 4 || signature[2] != asked.attempt || headerOf(answer, "attempt-id") != asked.attempt) {
        violation("one's own answer", asked.attempt + " got the signature " + headerOf(answer, "response-stamp"));
    }
}

void SoakChecks::checkAll(const Asked &asked, const HttpResponse &answer)
{
    std::set<std::string> services;
    std::vector<std::string> records;
    for (const std::string &part : split(headerOf(answer, "part-stamps"), ',')) {
        const auto signature = split(part, '/');
        if (signature.size() != 4 || signature[2] != asked.attempt || !services.insert(signature[0]).second) {
            return violation("honest parts", asked.attempt + " got the parts " + headerOf(answer, "part-stamps"));
        }
        const auto some = shardRecords(signature[0], asked.target, SoakWorld::PartRecords);
        records.insert(records.end(), some.begin(), some.end());
    }
    std::sort(records.rbegin(), records.rend());
    records.resize(std::min(records.size(), SoakWorld::ResultLimit));
    if (answer.body != std::accumulate(records.begin(), records.end(), std::string())) {
        violation("whole answers", asked.attempt + " got other records than the greatest of its parts");
    }
    const std::string told = headerOf(answer, "missing-parts");
    const std::size_t missing = told.empty() ? 0 : std::stoul(told);
    const bool known = std::any_of(world_.shardSets().begin(), world_.shardSets().end(), [&](const std::set<std::string> &set) {
        const bool within = std::includes(set.begin(), set.end(), services.begin(), services.end());
        return within && set.size() == services.size() + missing
            && static_cast<double>(services.size()) >= SoakWorld::LeastShare * static_cast<double>(set.size());
    });
    if (!known) {
        violation("honest coverage", asked.attempt + " has " + std::to_string(services.size()) + " parts and says that " + told + " are missing");
    }
}

void SoakChecks::checkVersion(const Asked &asked, int status)
{
    auto &[newest, since] = served_[{asked.instance, asked.life}];
    if (status == OkStatus && asked.version > newest) {
        newest = asked.version;
        since = world_.bed().loop().now();
    } else if (status == OkStatus && asked.version < newest && asked.sentAt > since + RollbackSlack) {
        violation("no way back to an older configuration", asked.instance + " served " + std::to_string(asked.version) + " after " + std::to_string(newest));
    }
    const bool calm = world_.undisturbed("store", 2 * StabilityWindow) && world_.undisturbed(asked.instance, 2 * StabilityWindow);
    const bool current = asked.version == world_.version() && world_.undisturbed("config", ConfigBound + (world_.bed().loop().now() - asked.sentAt));
    if (timed_ && status == NotFoundStatus && calm && current) {
        violation("a configuration in force within seconds", asked.instance + " does not know " + std::to_string(asked.version));
    }
}

void SoakChecks::checkLeft(const std::string &server)
{
    constexpr Duration LookedAtAfter = std::chrono::seconds(6);
    const Duration span = LookedAtAfter + StabilityWindow;
    const bool calm =
        world_.undisturbed("store", span) && std::all_of(world_.instances().begin(), world_.instances().end(), [this, span](const std::string &instance) {
            return world_.undisturbed(instance, span);
        });
    const Json status = world_.bed().control("GET", "/fake/servers").at(server);
    if (timed_ && calm && status.at("lastAfterLeavingMs").get<std::int64_t>() > DrainBoundMs) {
        violation("no work for a leaving server", server + " got a request " + status.at("lastAfterLeavingMs").dump() + " ms after it began to leave");
    }
}

void SoakChecks::checkRunning()
{
    for (const std::string &instance : world_.instances()) {
        if (restarting_.count(instance) == 0 && !world_.bed().process(instance).running()) {
            violation("no end by itself", instance + " ended with code " + std::to_string(world_.bed().process(instance).wait()));
            restarting_.insert(instance);
        }
    }
}

void SoakChecks::checkEnd()
{
    const Json ran = world_.bed().control("GET", "/fake/ran");
    const auto timesRun = [&ran](const std::string &attempt) {
        std::uint32_t sum = 0;
        const auto services = ran.find(attempt);
        if (services != ran.end()) {
            for (const Json &times : *services) {
                sum += times.get<std::uint32_t>();
            }
        }
        return sum;
    };
    for (const auto &[attempt, refused] : once_) {
        const std::uint32_t times = timesRun(attempt);
        if (times > 1) {
            violation("at most once", attempt + " ran " + std::to_string(times) + " times");
        }
        if (refused && times > 0) {
            violation("true refusals", attempt + " was refused and ran");
        }
    }
    for (const std::string &attempt : cutInStop_) {
        if (!serversSlow_ && timesRun(attempt) > 0) {
            violation("a stop cuts no request", attempt + " reached a server and got no answer");
        }
    }
    const Json servers = world_.bed().control("GET", "/fake/servers");
    for (const auto &[id, server] : servers.items()) {
        for (const Json &complaint : server.at("complaints")) {
            violation("requests as the page says", id + ": " + complaint.get<std::string>());
        }
    }
    checkBudget();
}

void SoakChecks::checkBudget()
{
    const Json arrivals = world_.bed().control("GET", "/fake/arrivals");
    for (const auto &[service, counts] : arrivals.items()) {
        const auto first = counts.at("first").get<std::vector<double>>();
        const auto repeats = counts.at("repeats").get<std::vector<double>>();
        const auto sum = [](const std::vector<double> &values, std::size_t begin, std::size_t end) {
            return std::accumulate(
                values.begin() + static_cast<std::ptrdiff_t>(begin), values.begin() + static_cast<std::ptrdiff_t>(std::min(end, values.size())), 0.0);
        };
        for (std::size_t begin = 0; begin < first.size(); ++begin) {
            const std::size_t before = begin < BudgetWindow ? 0 : begin - BudgetWindow;
            const double requests = std::max(sum(first, begin, begin + BudgetWindow), sum(first, before, begin));
            const double extra = sum(repeats, begin, begin + BudgetWindow);
            if (extra > BudgetRatio * requests + BudgetSlack) {
                violation("the repeat budget",
                          service + " got " + std::to_string(extra) + " repeats of " + std::to_string(requests) + " from second " + std::to_string(begin));
                break;
            }
        }
    }
}

void SoakChecks::checkRecovered()
{
    std::uint32_t asked = 0;
    std::uint32_t served = 0;
    for (std::size_t place = seconds_.size() - std::min(seconds_.size(), RecoverySeconds); place < seconds_.size(); ++place) {
        asked += seconds_[place].asked;
        served += seconds_[place].served;
    }
    if (timed_ && (asked == 0 || served < RecoveredShare * asked)) {
        violation("recovery", std::to_string(served) + " of " + std::to_string(asked) + " requests are served after the faults");
    }
}

} // namespace Burdock
