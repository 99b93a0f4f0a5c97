#pragma once

#include <burdock/charts/chartrun.h>
#include <burdock/values/failure.h>
#include <burdock/values/runtime.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Burdock
{

/// The actions that InstanceLife triggers; implemented by the program.
class InstanceLifePort
{
public:
    virtual ~InstanceLifePort() = default;

    /// Checks whether the configuration in force is current, and calls InstanceLife::onConfigConfirmed once it is.
    virtual void confirmConfiguration() = 0;

    /// Publishes to peers and `/readyz` whether this instance admits work.
    virtual void setReady(bool ready) = 0;

    /// Notifies peers that this instance is leaving, so that it is no longer an entry or a holder.
    virtual void announceLeaving() = 0;

    /// From now on, sends `Connection: close` with every answer to a caller and accepts no new long-lived
    /// connections.
    virtual void closeConnectionsAfterAnswers() = 0;

    /// Returns the number of unanswered requests: those of callers and the sub-requests of other instances.
    virtual std::size_t inFlight() const = 0;

    /// Stores the state that must outlive this process; calls `done` once.
    virtual void handOver(std::function<void()> done) = 0;

    /// Ends the process. `abandoned` is the number of abandoned requests, which is 0 for a clean shutdown.
    virtual void exit(std::size_t abandoned) = 0;
};

/// Timeouts and intervals of InstanceLife.
struct InstanceLifeSettings
{
    /// How long callers may cache an answer of `/v1/entries`.
    Duration entriesMaxAge = std::chrono::seconds(10);
    /// How long it takes until no other instance offers this one to callers.
    Duration leaveSpread = std::chrono::seconds(5);
    /// The minimum time during which new work is refused before the exit, so that connections are closed by their
    /// answers.
    Duration minRefusalTime = std::chrono::seconds(1);
    /// Added to the maximum request time when waiting for work in flight.
    Duration graceMargin = std::chrono::seconds(5);
    /// The time limit of the hand-over.
    Duration handOverTimeout = std::chrono::seconds(5);
    /// After a longer pause of the process, the configuration must be confirmed again.
    Duration maxPause = std::chrono::seconds(2);
    /// How often pauses and the progress of a shutdown are checked.
    Duration checkInterval = std::chrono::milliseconds(100);
};

/// Controls the lifecycle of this instance using the chart `instancelife`. The instance is not ready until its
/// configuration is confirmed, and a graceful shutdown abandons no request that finishes within the grace time.
class InstanceLife
{
public:
    /// Starts in `starting` and requests confirmation on the next turn of the event loop.
    InstanceLife(Runtime &runtime, InstanceLifePort &port, const InstanceLifeSettings &settings);
    ~InstanceLife();
    InstanceLife(const InstanceLife &) = delete;
    InstanceLife &operator=(const InstanceLife &) = delete;

    /// The configuration in force is confirmed to be current.
    void onConfigConfirmed();

    /// The configuration in force may be outdated: a ready instance admits nothing until it is confirmed, a leaving
    /// one refuses new work for good.
    void onConfigUnconfirmed();

    /// Begins the graceful shutdown, as on SIGTERM. Further calls have no effect.
    void terminate();

    /// Sets the maximum time that a request may take according to the declarations in force.
    void setMaxRequestTime(Duration wait);

    /// Returns nullopt if a request may be admitted now, otherwise the refusal, whose verdict is NotRun. Call it for
    /// each request: it also detects pauses of the process.
    std::optional<Failure> refusal();

    /// Returns the id of the current chart state, for `/readyz` and the status page.
    const std::string &state() const;

    /// Sets the handler called with the new state after each change.
    void onChange(std::function<void(const std::string &state)> handler);

    /// Returns how many pauses of the process were detected.
    std::uint64_t pauses() const;

private:
    static const ChartTable<InstanceLife> &table();

    void handle(std::string_view event);
    void runPeriodicChecks();
    void detectPause();
    void checkProgress();

    void requestConfirmation();
    void becomeReady();
    void becomeUnready();
    void announceLeaving();
    void refuseNewWork();
    void abandonWork();
    void handOver();
    void exit();

    Runtime &runtime_;
    InstanceLifePort &port_;
    InstanceLifeSettings settings_;
    ChartRun<InstanceLife> run_;
    std::function<void(const std::string &)> changed_;
    Duration maxRequestTime_{0};
    TimePoint lastCheck_;
    /// When the current phase of the shutdown began.
    TimePoint phaseStarted_;
    std::size_t abandoned_ = 0;
    std::uint64_t pauses_ = 0;
    TimerId timer_ = 0;
    /// Set to false on destruction; lets a late hand-over callback detect it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Burdock
