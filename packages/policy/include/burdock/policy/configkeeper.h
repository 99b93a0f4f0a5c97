#pragma once

#include <burdock/charts/chartrun.h>
#include <burdock/policy/configconfirmation.h>
#include <burdock/policy/configport.h>
#include <burdock/policy/configstatus.h>
#include <burdock/policy/peerconfigversions.h>
#include <burdock/values/names.h>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Burdock
{

/// Time limits and fan-out of a ConfigKeeper.
struct ConfigSettings
{
    /// The interval of the periodic checks.
    Duration checkInterval = std::chrono::milliseconds(250);
    /// If the last check is longer ago than this, the process is considered to have been paused.
    Duration pauseLimit = std::chrono::milliseconds(1500);
    /// Without contact to the store or a peer for this long, the instance admits no more work.
    Duration isolationLimit = std::chrono::seconds(3);
    /// The mean time between two periodic reads of the store by instances that do not watch it. Each interval is drawn at
    /// random from half to one and a half times this value.
    Duration pollInterval = std::chrono::seconds(60);
    /// The same for instances that watch the store, because a watch can fail without notice.
    Duration watcherPollInterval = std::chrono::seconds(2);
    /// The maximum delay before a broken watch is restarted. Each delay is drawn at random from a quarter of this value
    /// up to it.
    Duration watchBackoff = std::chrono::seconds(2);
    /// The time limit for a peer to answer a fetch.
    Duration fetchTimeout = std::chrono::milliseconds(600);
    /// Conditions under which peers confirm in place of the store.
    ConfirmationRule confirmation{std::chrono::seconds(1), std::chrono::seconds(5), 3};
    /// The number of peers to which a version is announced when it comes into force.
    std::size_t announceFanout = 3;
};

/// The view of the other instances that a ConfigKeeper needs.
struct ConfigPeerView
{
    /// Returns the other instances that are listed or live and not leaving.
    std::function<std::vector<InstanceId>()> peers;
    /// Returns whether this instance is one of the watchers of the store in its data centre.
    std::function<bool()> isWatcher;
};

/// A configuration received from the store or a peer.
struct ConfigCandidate
{
    std::uint64_t version = 0;
    /// Null if the configuration was not requested or cannot be used here; in the latter case `fault` gives the reason.
    ConfigurationPtr configuration;
    std::string fault;
};

/// Decides which configuration is in force and whether work may be admitted under it. Does no I/O.
///
/// The version in force only increases: an older version is never installed. After a start, a pause of the process or
/// isolation, no work is admitted until the version is confirmed by the store or, if the store is unavailable, by the
/// highest version of several peers. See docs/notes/spreading.md.
class ConfigKeeper
{
public:
    ConfigKeeper(Runtime &runtime, ConfigPort &port, ConfigSettings settings, ConfigPeerView peerView, std::uint64_t seed);
    ~ConfigKeeper();
    ConfigKeeper(const ConfigKeeper &) = delete;
    ConfigKeeper &operator=(const ConfigKeeper &) = delete;

    /// Starts the periodic checks and immediately queries the store and peers.
    void start();

    /// Whether new work may be admitted now. Also detects that the process was paused.
    bool mayAdmit();

    /// The version in force, as sent in probes; 0 if there is none.
    std::uint64_t version() const;

    /// Whether the version is confirmed, so that peers may rely on it.
    bool isConfirmed() const;

    const ConfigurationPtr &configuration() const;
    ConfigStatus status() const;
    const ConfigCounters &counters() const;

    /// Handles the version that a peer reported in a probe or an announcement.
    void onPeerVersion(const InstanceId &peer, std::uint64_t version);

    /// Handles the answer of a peer to a version request or a fetch: its version, whether the peer has confirmed it and,
    /// after a fetch, the configuration.
    void onOffer(std::uint64_t number, const InstanceId &peer, bool peerConfirmed, const ConfigCandidate &candidate);

    /// Restarts the timeout of a fetch that arrives in several messages.
    void onFetchProgress(std::uint64_t number);

    /// Handles a fetch whose content is not a valid configuration.
    void onFetchFailed(std::uint64_t number);

    /// Handles the answer of the store.
    void onStoreAnswer(std::uint64_t number, const ConfigCandidate &candidate);

    /// Handles an answer of the store with a head record that this instance cannot read.
    void onStoreUnreadable(std::uint64_t number, const std::string &fault);
    void onStoreFailed(std::uint64_t number);

    /// Handles a change, or a possible change, of the store's head record.
    void onWatchEvent();
    void onWatchEnded();

    /// Sets the handler that is called after each change of the state or of the version in force, and when a version is
    /// found to be unusable.
    void onChange(std::function<void(const ConfigStatus &)> handler);

private:
    static const ChartTable<ConfigKeeper> &table();

    void beginConfirmation();
    void requestConfirmation();
    void evaluateConfirmation();

    void runChecks();
    void detectPause();
    void updateWatch();
    void pollStoreIfDue();
    void detectIsolation();
    void recordContact(TimePoint &last);

    void processCandidate(const ConfigCandidate &candidate);
    void install(const ConfigurationPtr &configuration);
    void announce();
    void updateBehindState();
    void fetchHigher();
    void fetchTimedOut();
    void abandonFetch();
    void readStore();
    void finishStoreRead(std::uint64_t number);
    std::vector<InstanceId> pickRandomPeers(std::size_t count);
    void schedulePoll();
    Duration randomDuration(Duration min, Duration max);
    void raise(std::string_view event);

    Runtime &runtime_;
    ConfigPort &port_;
    ConfigSettings settings_;
    ConfigPeerView peerView_;
    std::mt19937_64 random_;
    ChartRun<ConfigKeeper> run_;
    std::function<void(const ConfigStatus &)> onChange_;

    ConfigurationPtr configuration_;
    WallTime inForceSince_{};
    std::uint64_t unusableVersion_ = 0;
    std::string unusableFault_;
    PeerConfigVersions peerVersions_;

    ConfigConfirmation confirmation_;
    bool peersKnown_ = false;
    TimePoint lastCheck_{};
    TimePoint lastPeerContact_{};
    TimePoint lastStoreContact_{};
    TimePoint nextPoll_{};
    TimePoint nextWatch_{};
    bool watching_ = false;
    std::uint64_t pendingStoreRead_ = 0;
    std::uint64_t pendingFetch_ = 0;
    InstanceId fetchPeer_;
    TimerId fetchTimer_ = 0;
    TimerId checkTimer_ = 0;
    std::uint64_t lastNumber_ = 0;
    ConfigCounters counters_;
};

} // namespace Burdock
