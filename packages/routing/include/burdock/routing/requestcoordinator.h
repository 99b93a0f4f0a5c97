#pragma once

#include <burdock/routing/clientage.h>
#include <burdock/routing/passonrun.h>
#include <burdock/routing/requestadmission.h>
#include <burdock/routing/requestrun.h>
#include <burdock/routing/routetable.h>
#include <burdock/routing/weightedsplit.h>

#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace Burdock
{

/// Identifies a request that is being served; never zero.
using ServedRequestId = std::uint64_t;

/// Accepts client requests, finds their routes and owns their runs until nothing of them is in flight.
///
/// While this instance cannot reach the servers, it passes requests on to other instances at once; a request that has been sent to
/// servers before is passed on beside its own run, and the first success is the answer. A request that came from another instance is
/// served here or refused, so that it is passed on once at most.
class RequestCoordinator
{
public:
    /// Called with the answer and the route; the route is null if none matched.
    using AnswerCallback = std::function<void(const Route *, ClientAnswer)>;

    RequestCoordinator(RoutingContext &context, RateLimiter &rates, std::uint64_t seed);
    ~RequestCoordinator();
    RequestCoordinator(const RequestCoordinator &) = delete;
    RequestCoordinator &operator=(const RequestCoordinator &) = delete;

    /// Sets the routes of new requests; requests in progress keep their routes.
    void setRoutes(std::shared_ptr<const RouteTable> routes);

    /// Serves the request. `onAnswer` is called once, possibly from within this call, unless the client disconnects first.
    ServedRequestId serve(ClientRequest request, AnswerCallback onAnswer);

    /// Cancels the request's attempts in flight, since the client has disconnected.
    void onClientDisconnected(ServedRequestId id);

    /// Answers all requests that have no answer with a failure, and cancels what is in flight for them.
    void failAll(const std::string &reason);

    /// Passes on the requests in progress, or ends those of other instances, if this instance cannot reach the servers any more.
    void onReachChanged();

    /// Returns the number of requests without an answer.
    std::size_t pendingRequests() const;

private:
    struct Entry
    {
        /// Set if the request counts against a rate, which it may still wait for.
        std::unique_ptr<RateClaim> claim;
        /// Null if the request was passed on at once or has not started.
        std::unique_ptr<RequestRun> run;
        std::unique_ptr<PassOnRun> passOn;
        /// The answer of a run that ended without success while the request is passed on.
        std::optional<ClientAnswer> ownAnswer;
        RunTerms terms;
        AnswerCallback onAnswer;
        /// What an exception ends that is thrown for the request.
        std::weak_ptr<GuardedWork> work;
        TimerId removal = 0;
        bool answered = false;
    };

    /// Starts a new entry once the rate of its workspace allows it.
    void startWithinRate(ServedRequestId id);
    void onRateDecided(ServedRequestId id, const RateDecision &decision);
    /// Starts the run of a new entry, or passes the request on.
    void start(ServedRequestId id);
    /// Returns the refusal of a request of another instance that this one cannot serve, or nothing.
    std::optional<ClientAnswer> refuseForOther(const ClientRequest &request) const;
    /// Returns the route that matches the request, or null.
    std::shared_ptr<const Route> findRoute(const ClientRequest &request) const;
    Duration clientAge(const ClientRequest &request, const Route &route);
    void onRunAnswered(ServedRequestId id, ClientAnswer answer);
    void onPassOnAnswered(ServedRequestId id, ClientAnswer answer);
    /// Whether the request may be passed on, by what its own run has done.
    bool mayPassOn(const Entry &entry, const RunProgress &progress) const;
    /// Passes on a request whose run ended without success, if another instance may serve it; returns whether it did.
    bool passOnFailed(ServedRequestId id, const ClientAnswer &answer);
    /// Takes the repeats that passing on costs; returns false if the budget does not allow them.
    bool acquireRepeats(const RunProgress &progress);
    void passOn(ServedRequestId id, const RunProgress &progress, const std::string &reason);
    /// Passes on or ends a request in progress, since no server can be reached.
    void onCutOff(ServedRequestId id);
    RunProgress progressOf(const Entry &entry) const;
    /// Whether no server got the request from this instance, none ran it for another one, and none will, by the answer to it.
    bool arrivedNowhere(const Entry &entry, const ClientAnswer &answer) const;
    ClientAnswer::Inability inabilityOf(const Entry &entry, const ClientAnswer &answer) const;
    void finish(ServedRequestId id, Duration delay);
    /// Destroys an answered request's run in the next iteration of the loop, since it may still be on the stack.
    void removeSoon(ServedRequestId id);
    /// Gives the request its answer.
    void answer(ServedRequestId id, ClientAnswer answer);
    std::unique_ptr<RequestRun> makeRun(const RunTerms &terms);
    Duration retryAfter(const Route &route);
    /// Extends the span by up to half at random, so that clients do not all retry at once.
    Duration addJitter(Duration span);

    RoutingContext &context_;
    RequestAdmission admission_;
    std::mt19937_64 random_;
    const TimePoint started_;
    std::shared_ptr<const RouteTable> routes_;
    WeightedSplit split_;
    ClientAge clientAge_;
    /// The newest version of the configuration that other instances are known to have.
    std::int64_t newestConfig_ = 0;
    /// Until when requests of a route are not passed on, since a peer could not serve one either.
    std::unordered_map<std::string, TimePoint> heldUntil_;
    ServedRequestId lastId_ = 0;
    std::size_t pending_ = 0;
    std::unordered_map<ServedRequestId, Entry> entries_;
};

} // namespace Burdock
