#pragma once

#include "soakkeychecks.h"
#include "soakratechecks.h"

#include <map>
#include <string>
#include <vector>

namespace Burdock
{

/// The kind of a client's request.
enum class SoakRequestKind {
    /// To one server; may run more than once.
    Repeatable,
    /// To one server; must run at most once.
    Unrepeatable,
    /// To all shards.
    Fanout,
    /// Uses a route that exists in one configuration version only.
    Versioned,
};

/// A sent request with the state that its checks need.
struct SoakRequest
{
    SoakRequestKind kind = SoakRequestKind::Repeatable;
    std::string attempt;
    std::string target;
    std::string instance;
    SoakKey key;
    int incarnation = 0;
    std::int64_t version = 0;
    TimePoint sentAt;
    /// The instance had been cut off from the servers for some seconds, or was not cut off while others were.
    bool atCutOff = false;
    /// Whether the instance runs the earlier build.
    bool atEarlierBuild = false;
    bool besideCutOff = false;
    /// SIGTERM had been sent to the instance before the request.
    bool instanceStopping = false;
};

/// Counts and latencies of the requests that finished in one second of a soak.
struct SoakSecond
{
    std::uint32_t requests = 0;
    std::uint32_t served = 0;
    std::uint32_t refused = 0;
    std::uint32_t failed = 0;
    std::vector<Duration> latencies;
};

/// Checks the guarantees during a soak, from what clients and servers observe.
class SoakChecks
{
public:
    /// `timed` also checks the time-bounded guarantees.
    SoakChecks(SoakWorld &world, bool timed);

    /// Checks a finished request. `answer` is an error if none arrived; `stopBeganInFlight` says that SIGTERM was sent to the
    /// instance while the request was in flight.
    void onRequestFinished(const SoakRequest &request, const Result<HttpResponse> &answer, bool stopBeganInFlight);

    /// Checks that a server which began to leave 6 s ago got no request later than 3 s after that.
    void checkDrained(const std::string &server);

    /// Checks, some seconds after the last fault, that all instances have the last configuration in force.
    void checkConfigInForce();

    /// Checks that all instances together kept the limit that a server names; `starts` of them were started meanwhile.
    void checkLimit(const std::string &server, int starts);

    /// Checks that a request which crashes servers did not crash more of them than each life of an instance needs to recognise it;
    /// `starts` instances were started meanwhile.
    void checkDeadly(const std::string &target, int starts);

    /// Checks that every instance that was not stopped on purpose is running.
    void checkRunning();

    /// Runs the checks that need the whole soak: how often each attempt ran, requests cut by a stop, malformed requests that servers
    /// reported, and the repeat budget.
    void checkEnd();

    /// Checks that all instances refuse the keys that have been withdrawn.
    void checkWithdrawnKeys()
    {
        keys_.checkWithdrawn();
    }

    /// Notes whether the request, which is about to be sent, counts for checkCutOff().
    void noteCutOff(SoakRequest &request) const;

    /// Checks that at least 90 % of the requests in the last 3 s were served.
    void checkRecovered();

    const std::vector<std::string> &violations() const
    {
        return violations_;
    }
    const std::vector<SoakSecond> &seconds() const
    {
        return seconds_;
    }

    /// While an instance is restarting, checkRunning() ignores it.
    void setRestarting(const std::string &instance, bool restarting);

    /// Stalled or slow servers make requests outlast an instance's shutdown, so requests cut by a stop are no longer violations. This
    /// holds for the rest of the soak.
    void setServersSlow(bool slow)
    {
        serversSlow_ = serversSlow_ || slow;
    }

private:
    void addViolation(const std::string &promise, const std::string &what);
    /// Whether the configuration owes the request an answer by a server.
    bool isOwed(const SoakRequest &request) const;
    void countRequest(int status, Duration took);
    void checkSingleAnswer(const SoakRequest &request, const HttpResponse &answer);
    void checkFanoutAnswer(const SoakRequest &request, const HttpResponse &answer);
    void checkConfigVersion(const SoakRequest &request, int status);
    void checkBudget();
    /// Checks that requests at instances that were cut off from the servers were not served far worse than those at the others.
    void checkCutOff();
    SoakSecond &currentSecond();

    SoakWorld &world_;
    const bool timed_;
    const TimePoint started_;
    SoakKeyChecks keys_;
    SoakRateChecks rates_;
    std::vector<std::string> violations_;
    std::vector<SoakSecond> seconds_;
    /// Whether each unrepeatable request was refused, by attempt.
    std::map<std::string, bool> unrepeatable_;
    /// Attempts whose connection was lost while their instance was stopping.
    std::vector<std::string> droppedDuringStop_;
    /// The newest version that each incarnation of an instance served, and when a client first saw it.
    std::map<std::pair<std::string, int>, std::pair<std::int64_t, TimePoint>> servedVersions_;
    std::set<std::string> restarting_;
    struct Served
    {
        double requests = 0;
        double served = 0;
    };
    Served atCutOff_;
    /// Those of them at instances of the earlier build.
    Served atCutOffEarlier_;
    Served besideCutOff_;
    bool serversSlow_ = false;
};

} // namespace Burdock
