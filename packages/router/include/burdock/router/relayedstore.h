#pragma once

#include <burdock/router/decisionlog.h>
#include <burdock/routing/relaychoice.h>
#include <burdock/store/store.h>
#include <burdock/wire/httpclient.h>

#include <map>
#include <memory>

namespace Burdock
{

/// A store whose listings and watches are served by another instance, the relay, if one is available; all other calls go to the
/// store.
///
/// A watch switches to the store if no relay answers in time with fresh data, as far as `RelayChoice` allows, and periodically
/// looks for a relay again. If the relay no longer has the changes, the watch ends as it does at a store that has compacted its
/// history, and the caller lists again. Just after the start, a watch is delayed before it uses the store, so that instances that
/// start together have written their records and can be used as relays; when the whole system starts for the first time, so are
/// listings.
class RelayedStore final : public Store
{
public:
    /// `instancesPrefix` is the prefix of the instances' records, which contain the relays' addresses. Listings wait for
    /// `listingDelay` after the start. `emptiedPrefix` is that of the emptied data centres, which relays of earlier builds do not know.
    RelayedStore(Runtime &runtime,
                 HttpClient &client,
                 Store &store,
                 RelayChoice &relays,
                 std::string instancesPrefix,
                 DecisionLog &log,
                 Duration listingDelay = Duration{0},
                 std::string emptiedPrefix = {});
    ~RelayedStore() override;
    RelayedStore(const RelayedStore &) = delete;
    RelayedStore &operator=(const RelayedStore &) = delete;

    void range(const std::string &key, bool prefix, std::int64_t limit, Callback<StoreRange> done) override;
    void commit(StoreTransaction transaction, Callback<StoreCommit> done) override;
    void grantLease(std::int64_t seconds, Callback<std::int64_t> done) override;
    void keepLeaseAlive(std::int64_t lease, Callback<std::int64_t> done) override;
    void revokeLease(std::int64_t lease, Callback<std::int64_t> done) override;
    std::uint64_t watch(const std::string &key,
                        bool prefix,
                        std::int64_t fromRevision,
                        std::function<void(const StoreEntry &)> changed,
                        std::function<void(const Failure &)> ended) override;
    void setAnswerHandler(std::uint64_t watch, const AnswerHandler &onAnswered) override;
    void setAnswerInterval(Duration interval) override;
    void unwatch(std::uint64_t watch) override;

    /// Returns the time up to which all listed and watched data are known to be complete. Only answers to their own listings and
    /// watches count, by the store or by a relay that states its age: other calls succeed while a watch is silent.
    TimePoint completeUntil() const;

    /// Regards all data as outdated until they are confirmed again: the machine was suspended, and its clock stood still.
    void forgetConfirmations();

    /// Returns the number of polls that relays have answered.
    std::uint64_t answeredPolls() const
    {
        return answeredPolls_;
    }

private:
    struct Watch
    {
        std::string key;
        bool prefix = true;
        std::int64_t revision = 0;
        std::function<void(const StoreEntry &)> changed;
        std::function<void(const Failure &)> ended;
        AnswerHandler answered;
        HttpCallId poll = 0;
        std::uint64_t storeWatch = 0;
        TimerId timer = 0;
        /// Where the changes come from: the address of a relay, or `store`.
        std::string source;
    };

    /// Reads a listing from a relay, or from the store once that is allowed.
    void startListing(const std::string &prefix, Callback<StoreRange> done);
    void readStore(const std::string &prefix, Callback<StoreRange> done);
    void requestRange(const Address &relay, const std::string &prefix, Callback<StoreRange> done);
    /// Returns the address of an available relay that knows the data under the key.
    std::optional<Address> relayFor(const std::string &key) const;
    TimePoint earliestStoreListing(const std::string &key) const;
    /// Whether the store may be asked for the key while no relay is available.
    bool mayUseStore(const std::string &key) const;
    void startWatch(std::uint64_t id);
    void restartWatchLater(std::uint64_t id, Duration delay);
    /// Returns the earliest time at which a watch of the key may use the store.
    TimePoint earliestStoreWatch(const std::string &key) const;
    void logSource(Watch &watch, const std::string &source);
    void poll(std::uint64_t id, const Address &relay);
    void onPollResponse(std::uint64_t id, const Address &relay, TimePoint sentAt, const Result<HttpResponse> &response);
    void watchStore(std::uint64_t id);
    void trySwitchToRelay(std::uint64_t id);
    void onRelayFailed(std::uint64_t id, const Address &relay, const std::string &reason);
    void endWatch(std::uint64_t id, const Failure &failure);
    void logRelayFailure(const Address &relay, const std::string &key, std::int64_t revision, const std::string &reason);
    /// Notes the time up to which the data under a key are complete.
    void confirm(const std::string &key, TimePoint completeUntil);
    /// Tells the watch that the store or a relay has answered; returns false if the callback ended the watch.
    bool announceAnswer(std::uint64_t id, TimePoint completeUntil);
    /// Passes a change to the watch; returns false if the callback ended the watch.
    bool deliver(std::uint64_t id, const StoreEntry &entry);
    void cancelCalls(const Watch &watch);

    Runtime &runtime_;
    HttpClient &client_;
    Store &store_;
    RelayChoice &relays_;
    const std::string instancesPrefix_;
    const std::string emptiedPrefix_;
    const TimePoint startedAt_;
    const Duration listingDelay_;
    DecisionLog &log_;
    std::uint64_t lastId_ = 0;
    std::uint64_t answeredPolls_ = 0;
    std::map<std::uint64_t, Watch> watches_;
    /// For each key that was listed or watched, the time up to which its data are complete.
    std::map<std::string, TimePoint> completeUntil_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Burdock
