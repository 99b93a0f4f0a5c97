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

/// The times of a ConfigKeeper.
struct ConfigSettings
{
    /// How often the keeper looks after itself.
    Duration checkInterval = std::chrono::milliseconds(250);
    /// A checkInterval that comes later than this after the last one means that the process was paused.
    Duration pauseLimit = std::chrono::milliseconds(1500);
    /// Without a word from the store or a peer for so long, the instance admits nothing more.
    Duration isolationLimit = std::chrono::seconds(3);
    /// The mean time between two reads of the store without cause, for instances that do not watch it. Each is drawn
    /// from half to one and a half of it.
    Duration pollInterval = std::chrono::seconds(60);
    /// The same for those that watch: a watch can be dead without a sign.
    Duration watcherPollInterval = std::chrono::seconds(2);
    /// The longest pause before a broken watch is started again; each is drawn from a quarter of it up.
    Duration watchBackoff = std::chrono::seconds(2);
    /// How long a peer may take to answer.
    Duration fetchTimeout = std::chrono::milliseconds(600);
    /// When peers confirm in place of the store.
    ConfirmationRule confirmation{std::chrono::seconds(1), std::chrono::seconds(5), 3};
    /// How many peers are told of a version when it comes into force.
    std::size_t announceFanout = 3;
};

/// What a ConfigKeeper must know of the other instances.
struct ConfigPeerView
{
    /// The other instances that are listed or live and not leaving.
    std::function<std::vector<InstanceId>()> peers;
    /// Whether this instance is among those of its data centre that watch the store.
    std::function<bool()> isWatcher;
};

/// A configuration that came from the store or a peer.
struct ConfigCandidate
{
    std::uint64_t version = 0;
    /// Null where it was not asked for or cannot be used here; `fault` tells the latter.
    ConfigurationPtr configuration;
    std::string fault;
};

/// Decides which configuration is in force and whether work may be admitted under it. Does no I/O.
///
/// Versions only rise: an older one is never installed. After a start, a pause of the process or a time alone, nothing
/// is admitted until the store, or in its absence the highest of several peers, confirmed the version. See
/// docs/notes/spreading.md.
class ConfigKeeper
{
public:
    ConfigKeeper(Runtime &runtime, ConfigPort &port, ConfigSettings settings, ConfigPeerView peerView, std::uint64_t seed);
    ~ConfigKeeper();
    ConfigKeeper(const ConfigKeeper &) = delete;
    ConfigKeeper &operator=(const ConfigKeeper &) = delete;

    /// Begins to keep; asks the store and peers at once.
    void start();

    /// Whether new work may be admitted at this moment. Notices by itself that the process was paused.
    bool mayAdmit();

    /// The version in force, for probes; 0 for none.
    std::uint64_t version() const;

    /// Whether the version was confirmed, so that peers may count on it.
    bool confirmed() const;

    const ConfigurationPtr &configuration() const;
    ConfigStatus status() const;
    const ConfigCounters &counters() const;

    /// A probe or an announcement of a peer told its version.
    void onPeerVersion(const InstanceId &peer, std::uint64_t version);

    /// A peer answered an ask or a fetch: with its version, whether it is confirmed there, and the candidate where it was
    /// fetched.
    void onOffer(std::uint64_t number, const InstanceId &peer, bool peerConfirmed, const ConfigCandidate &candidate);

    /// A fetch goes on in several parts; its timeout starts anew.
    void onFetchProgress(std::uint64_t number);

    /// A fetch brought something that is no configuration.
    void onFetchFailed(std::uint64_t number);

    /// The store answered.
    void onStoreAnswer(std::uint64_t number, const ConfigCandidate &candidate);

    /// The store answered, but with a head record that cannot be read here.
    void onStoreUnreadable(std::uint64_t number, const std::string &fault);
    void onStoreFailed(std::uint64_t number);

    /// The store's head changed, or may have.
    void onWatchEvent();
    void onWatchEnded();

    /// Called after each change of state or of the version in force.
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
