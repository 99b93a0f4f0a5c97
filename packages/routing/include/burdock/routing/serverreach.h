#pragma once

#include <burdock/routing/servertable.h>
#include <burdock/values/failure.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace Burdock
{

/// How an attempt ended, as far as it shows whether servers can be reached.
enum class ReachOutcome {
    /// The server responded, whatever it said.
    Response,
    /// Nothing could be sent, for example because the connection was refused.
    NotConnected,
    /// The connection broke after something was sent.
    Broken,
    /// The attempt was abandoned or its time was over.
    NoResponse,
};

/// Returns what a failed request to a server shows.
ReachOutcome reachOutcomeOf(const Failure &failure);

/// A change of whether the instance is cut off, and the evidence for it.
struct ReachChange
{
    bool cutOff = false;
    /// The distinct servers that failed or were silent, and the time since the last response of any.
    std::size_t servers = 0;
    Duration sinceResponse{0};
    /// Whether most of them were silent, or failed.
    const char *how = "";
    /// For how long the instance was cut off; zero at the beginning.
    Duration lasted{0};
};

/// Decides whether this instance is cut off: whether it can reach no server, although others may.
///
/// Load: single servers that are silent, refuse connections or reset them; services or shards of which all servers are down; slow
/// servers; all connections reset at once. None of these cuts an instance off, since some server still responds. Only what happened
/// since the last response of any server is evidence, and it must concern several servers and more than one service.
///
/// Silence counts from when a response is overdue. It is judged on a timer. If that fires late, the responses may wait in the event
/// loop, and are read first; after a suspension, only what is sent from then on counts.
class ServerReach
{
public:
    /// Called from the event loop after `isCutOff` has changed.
    using ChangeHandler = std::function<void(const ReachChange &)>;
    using AttemptId = std::uint64_t;

    /// `onSuspected` is called while several servers fail or are silent and none responds, but they are too few, or all of one
    /// service, or have failed, as servers that crash together do. It sends trials, which then decide, and returns whether it can.
    ServerReach(
        Runtime &runtime, const ServerTable &servers, ChangeHandler onChanged, std::function<bool()> onSuspected = [] { return false; });
    ~ServerReach();
    ServerReach(const ServerReach &) = delete;
    ServerReach &operator=(const ServerReach &) = delete;

    /// Records an attempt at a server, whose response is overdue after the given time. A trial is one that is sent to learn whether
    /// servers can be reached.
    AttemptId onSent(const ServerEntry &server, Duration overdueAfter, bool trial = false);

    /// Records how an attempt ended.
    void onEnded(AttemptId attempt, ReachOutcome outcome);

    /// Ends the cut without a response, so that clients' requests show whether servers can be reached.
    void assumeReached();

    bool isCutOff() const
    {
        return cutOff_;
    }

    /// Whether several servers could not be connected to in the last second. Others may respond: kept connections can live on while
    /// new ones are refused.
    bool isImpaired(TimePoint now) const;

    /// Whether the instance is cut off or was so in the last second. Clients should not be directed to it.
    bool isUnstable(TimePoint now) const;

    /// Whether the instance has been cut off at any time since then. How an attempt of that time ended says nothing about its server.
    bool wasCutOffSince(TimePoint from) const;

    /// When a server last responded.
    TimePoint lastResponse() const
    {
        return lastResponse_;
    }

private:
    struct Attempt
    {
        ServerId server;
        ServiceName service;
        TimePoint overdueAt{};
        bool trial = false;
    };

    /// The first failure at a server since the last response of any server.
    struct FailedServer
    {
        ServiceName service;
        ReachOutcome outcome = ReachOutcome::NoResponse;
        /// The first attempt that was sent after the failure.
        AttemptId nextAttempt = 0;
        /// Whether the connection broke, and the attempt had been sent after another connection broke.
        bool brokenAgain = false;
    };

    struct Evidence
    {
        std::map<ServerId, ServiceName> silent;
        std::map<ServerId, ServiceName> failed;
        /// How many of the failed ones could not be connected to, and how many broke off after another one had.
        std::size_t notConnected = 0;
        std::size_t brokenAgain = 0;
        std::size_t failedTrials = 0;
        std::size_t undecidedTrials = 0;

        std::size_t servers() const;
        std::size_t services() const;
    };

    void onResponse(TimePoint now);
    void noteNotConnected(const ServerId &server, TimePoint now);
    /// Decides by what is known, and returns whether trials decide later.
    bool judge();
    void onRound();
    void startRounds(Duration delay);
    bool isRoundLate(TimePoint now) const;
    void forgetEvidence();
    Evidence evidence(TimePoint now) const;
    bool isEnough(const Evidence &evidence) const;
    void setCutOff(bool cutOff, ReachChange change);
    void notify();

    Runtime &runtime_;
    const ServerTable &servers_;
    const ChangeHandler onChanged_;
    const std::function<bool()> onSuspected_;
    std::map<AttemptId, Attempt> open_;
    std::unordered_map<ServerId, FailedServer> failed_;
    std::size_t failedTrials_ = 0;
    std::unordered_map<ServerId, TimePoint> notConnectedAt_;
    AttemptId lastAttempt_ = 0;
    /// The first attempt that was sent after the last response; earlier ones are no evidence.
    AttemptId firstSinceResponse_ = 1;
    /// The first attempt that was sent after a connection had broken since the last response.
    std::optional<AttemptId> firstSinceBreak_;
    TimePoint lastResponse_;
    bool cutOff_ = false;
    bool notified_ = false;
    ReachChange change_;
    TimePoint cutOffAt_{};
    /// When the instance was last reached again after it was cut off.
    std::optional<TimePoint> reachedAt_;
    TimerId roundTimer_ = 0;
    TimePoint roundDue_{};
    /// Whether the last round was late, and responses may wait in the event loop.
    bool late_ = false;
    TimerId notifyTimer_ = 0;
};

} // namespace Burdock
