#pragma once

#include "soakworld.h"

#include <map>
#include <string>
#include <vector>

namespace Burdock
{

/// What kind of request a client sent.
enum class SoakRequestKind {
    /// To one server, repeatable.
    Repeatable,
    /// To one server, at most once.
    Unrepeatable,
    /// To all shards.
    Fanout,
    /// Along a route that only one version of the configuration has.
    Versioned,
};

/// A request as its client remembers it.
struct SoakRequest
{
    SoakRequestKind kind = SoakRequestKind::Repeatable;
    std::string attempt;
    std::string target;
    std::string instance;
    int incarnation = 0;
    std::int64_t version = 0;
    TimePoint sentAt;
    /// The instance had been onResolved to stop when the request was sent, or was onResolved while it waited.
    bool instanceStopping = false;
};

/// What happened in one second of a soak.
struct SoakSecond
{
    std::uint32_t requests = 0;
    std::uint32_t served = 0;
    std::uint32_t refused = 0;
    std::uint32_t failed = 0;
    std::vector<Duration> latencies;
};

/// Checks the promises while a soak runs, from what clients and servers see.
class SoakChecks
{
public:
    /// `timed`: also those promises that name a time.
    SoakChecks(SoakWorld &world, bool timed);

    /// The client's request got an answer, or none.
    void onRequestFinished(const SoakRequest &request, const Result<HttpResponse> &answer, bool stopBeganInFlight);

    /// A server that was onResolved to leave some seconds ago gets nothing more.
    void checkDrained(const std::string &server);

    /// Every instance that was not stopped runs.
    void checkRunning();

    /// What can be said only at the end: runs of each attempt, and the budget.
    void checkEnd();

    /// At least so much is served in the last seconds.
    void checkRecovered();

    const std::vector<std::string> &violations() const
    {
        return violations_;
    }
    const std::vector<SoakSecond> &seconds() const
    {
        return seconds_;
    }
    void setRestarting(const std::string &instance, bool restarting);

    /// Servers that stand still make requests last longer than a stop waits.
    void setServersSlow(bool slow)
    {
        serversSlow_ = serversSlow_ || slow;
    }

private:
    void addViolation(const std::string &promise, const std::string &what);
    void countRequest(int status, Duration took);
    void checkSingleAnswer(const SoakRequest &request, const HttpResponse &answer);
    void checkFanoutAnswer(const SoakRequest &request, const HttpResponse &answer);
    void checkConfigVersion(const SoakRequest &request, int status);
    void checkBudget();
    SoakSecond &currentSecond();

    SoakWorld &world_;
    const bool timed_;
    const TimePoint started_;
    std::vector<std::string> violations_;
    std::vector<SoakSecond> seconds_;
    /// Requests that may run once, by attempt, and whether they were refused.
    std::map<std::string, bool> unrepeatable_;
    /// Requests whose connection ended during a stop.
    std::vector<std::string> droppedDuringStop_;
    /// The newest version that each incarnation of an instance served, and since when.
    std::map<std::pair<std::string, int>, std::pair<std::int64_t, TimePoint>> servedVersions_;
    std::set<std::string> restarting_;
    bool serversSlow_ = false;
};

} // namespace Burdock
