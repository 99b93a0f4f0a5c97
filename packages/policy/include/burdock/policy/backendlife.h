#pragma once

#include <burdock/charts/chartrun.h>
#include <burdock/values/place.h>
#include <burdock/values/runtime.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace Burdock
{

/// The states of `charts/backendserver.scxml`.
enum class BackendState {
    /// Gets new work.
    Active,
    /// Gets one trial request at a time.
    Suspected,
    /// Leaving; gets no new work.
    Draining,
    /// Not on the instance list; gets no new work.
    Gone,
};

/// The state's name in the chart, metrics and the status page.
std::string_view backendStateName(BackendState state);

/// How long signals of a leaving server are believed.
struct BackendLifeSettings
{
    /// How long a draining reply or a peer's report counts after it was last heard. Longer than the instance list lags.
    Duration hold = std::chrono::seconds(60);
    /// A server that answers a trial by draining again is held for twice as long each time, up to this.
    Duration maxHold = std::chrono::minutes(10);
    /// After this a trial request without a reply makes room for another.
    Duration trialTimeout = std::chrono::seconds(5);
    /// For so long after a trial succeeded a health hint raises no new doubt.
    Duration healthIgnoreTime = std::chrono::seconds(30);
};

/// One instance's view of the life of one backend server, over the chart `backendserver`.
///
/// Three signals are trusted to say that a server is leaving: the instance list, the server's own replies, and a
/// peer's report. Each alone stops new work, whatever the others say, and none can take back what another said. The
/// list's word ends with the list's own later word, a peer's with the same peer's, and the server's own with the hold time.
/// The health endpoint is a hint: it leads to a trial request, whose reply decides.
class BackendLife
{
public:
    using ChangeHandler = std::function<void(BackendState)>;

    /// A server that was just onListed. `changed` is called after each change of the state.
    BackendLife(Runtime &runtime, const BackendLifeSettings &settings, const ListedServer &server, ChangeHandler changed);
    ~BackendLife();
    BackendLife(const BackendLife &) = delete;
    BackendLife &operator=(const BackendLife &) = delete;

    /// A newer version of the list names the server. A changed address means a new process: older signals are forgotten.
    void onListed(const ListedServer &server);

    /// A newer version of the list lacks the server.
    void onUnlisted();

    /// The server answered a request that was dispatched at that moment; `draining` where it said that it is leaving.
    void onReply(bool draining, TimePoint dispatched);

    /// What a peer last onPeerReport of the server.
    void onPeerReport(const InstanceId &peer, bool draining);

    /// What the health endpoint says.
    void onHealthStatus(bool draining);

    /// True where a request may be sent now.
    bool acceptsWork() const;

    /// Tells that a request was sent; it takes up the trial of a suspected server.
    void onDispatched();

    BackendState state() const;

    /// How many chart events the states refused.
    std::uint32_t refusedEvents() const;

private:
    static const ChartTable<BackendLife> &table();

    void startTrials();
    void updateState();
    bool hasDrainingSignal() const;
    void removeExpiredSignals();
    void scheduleExpiry();
    void removeOldestPeerReport();

    Runtime &runtime_;
    BackendLifeSettings settings_;
    ChangeHandler changed_;
    ChartRun<BackendLife> run_;
    BackendState reportedState_ = BackendState::Active;
    Address address_;
    bool listedLeaving_ = false;
    /// Until when the server's own word and each peer's word count.
    std::optional<TimePoint> ownDrainingUntil_;
    std::map<InstanceId, TimePoint> peerDrainingUntil_;
    Duration nextHold_;
    TimePoint suspectedSince_{};
    std::optional<TimePoint> trialStarted_;
    TimePoint healthIgnoredUntil_{};
    TimerId expiry_ = 0;
};

} // namespace Burdock
