#include <burdock/router/relayedstore.h>

#include <burdock/router/relaycodec.h>
#include <burdock/router/relayservice.h>
#include <burdock/routing/dataage.h>
#include <burdock/wire/percentencoding.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace Burdock
{

namespace
{

constexpr int OkStatus = 200;
constexpr int GoneStatus = 410;
constexpr int UnavailableStatus = 503;
/// The time that a poll waits at the relay, and the additional time until it times out: a hung relay is detected after the sum.
constexpr Duration PollWait = std::chrono::milliseconds(1000);
constexpr Duration PollTimeoutMargin = std::chrono::milliseconds(300);
/// The timeout for a listing from a relay.
constexpr Duration RangeTimeout = std::chrono::milliseconds(500);
/// The time after the start before which watches do not use the store. The watch of the instances' records, which contain the
/// relays' addresses, is allowed first.
constexpr Duration InstancesWatchDelay = std::chrono::milliseconds(400);
constexpr Duration StoreWatchDelay = std::chrono::milliseconds(1000);
/// When the whole system starts, other listings wait this long after that of the instances, which gives the relays.
constexpr Duration OtherListingsDelay = std::chrono::milliseconds(600);
/// The interval at which a watch at the store looks for a relay.
constexpr Duration RelayRetryInterval = std::chrono::seconds(2);
/// The interval at which an instance without a relay that may not use the store yet tries again.
constexpr Duration UnavailableRetryInterval = std::chrono::milliseconds(150);

/// No machine runs for longer; greater values would overflow where they are added to times.
constexpr std::int64_t MaxAgeMs = std::chrono::milliseconds(std::chrono::hours(24 * 365 * 100)).count();

/// Returns the age that the relay's data had when the request arrived there, or nothing if the response does not state it. It is
/// negative if the data are complete until later.
std::optional<Duration> ageOf(const HttpResponse &response)
{
    const auto header = response.headers.find(RelayService::AgeHeader);
    if (header == response.headers.end()) {
        return std::nullopt;
    }
    std::int64_t age = 0;
    const std::string &text = header->second;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), age);
    const bool valid = error == std::errc() && end == text.data() + text.size() && age >= -MaxAgeMs && age <= MaxAgeMs;
    return valid ? std::optional<Duration>(std::chrono::milliseconds(age)) : std::nullopt;
}

/// Reads a relay's response, unless a later build wrote it in a way that this one does not know.
template<class T>
Result<T> readAnswer(const HttpResponse &response, Result<T> (*read)(const std::string &))
{
    if (!RelayFormat::isReadable(response.headers)) {
        return notRun(Errc::WrongVersion, "the relay's answer has the unknown format " + response.headers.at(RelayFormat::Header));
    }
    return read(response.body);
}

} // namespace

RelayedStore::RelayedStore(Runtime &runtime,
                           HttpClient &client,
                           Store &store,
                           RelayChoice &relays,
                           std::string instancesPrefix,
                           DecisionLog &log,
                           Duration listingDelay,
                           std::string emptiedPrefix)
    : runtime_(runtime)
    , client_(client)
    , store_(store)
    , relays_(relays)
    , instancesPrefix_(std::move(instancesPrefix))
    , emptiedPrefix_(std::move(emptiedPrefix))
    , startedAt_(runtime.now())
    , listingDelay_(listingDelay)
    , log_(log)
{
}

RelayedStore::~RelayedStore()
{
    *alive_ = false;
    for (const auto &[id, watch] : watches_) {
        cancelCalls(watch);
    }
}

void RelayedStore::range(const std::string &key, bool prefix, std::int64_t limit, Callback<StoreRange> done)
{
    if (prefix && limit == 0) {
        startListing(key, std::move(done));
    } else {
        store_.range(key, prefix, limit, std::move(done));
    }
}

std::optional<Address> RelayedStore::relayFor(const std::string &key) const
{
    const TimePoint now = runtime_.now();
    return key == emptiedPrefix_ ? relays_.relayOfEmptied(now) : relays_.relay(now);
}

TimePoint RelayedStore::earliestStoreListing(const std::string &key) const
{
    if (listingDelay_ == Duration{0}) {
        return startedAt_;
    }
    return startedAt_ + listingDelay_ + (key == instancesPrefix_ ? Duration{0} : OtherListingsDelay);
}

bool RelayedStore::mayUseStore(const std::string &key) const
{
    const TimePoint now = runtime_.now();
    const auto known = completeUntil_.find(key);
    if (key == emptiedPrefix_ && !relays_.hasRelayOfEmptied()) {
        return true;
    }
    return relays_.mayUseStore(now) || (known != completeUntil_.end() && DataAge::needsStore(now - known->second));
}

void RelayedStore::startListing(const std::string &prefix, Callback<StoreRange> done)
{
    const TimePoint now = runtime_.now();
    const auto relay = relayFor(prefix);
    if (relay) {
        return requestRange(*relay, prefix, std::move(done));
    }
    const TimePoint earliest = earliestStoreListing(prefix);
    if (now >= earliest && mayUseStore(prefix)) {
        return readStore(prefix, std::move(done));
    }
    runtime_.schedule(std::max(UnavailableRetryInterval, earliest - now), [this, prefix, done = std::move(done), alive = alive_] {
        if (*alive) {
            startListing(prefix, done);
        }
    });
}

void RelayedStore::readStore(const std::string &prefix, Callback<StoreRange> done)
{
    store_.range(prefix, true, 0, [this, prefix, sentAt = runtime_.now(), done = std::move(done), alive = alive_](Result<StoreRange> range) {
        if (!*alive) {
            return;
        }
        if (range) {
            confirm(prefix, sentAt);
        }
        done(std::move(range));
    });
}

void RelayedStore::requestRange(const Address &relay, const std::string &prefix, Callback<StoreRange> done)
{
    HttpRequest request;
    request.address = relay;
    request.method = "GET";
    request.path = std::string(RelayService::EntriesPath) + "?prefix=" + percentEncode(prefix);
    request.timeout = RangeTimeout;
    client_.send(std::move(request),
                 [this, relay, prefix, sentAt = runtime_.now(), done = std::move(done), alive = alive_](const Result<HttpResponse> &response) {
                     if (!*alive) {
                         return;
                     }
                     auto range = response && response->status == OkStatus ? readAnswer<StoreRange>(*response, &readRange)
                                                                           : notRun(Errc::Unavailable, "the relay knows nothing fresh");
                     if (range) {
                         relays_.onAnswered();
                         if (const auto age = ageOf(*response)) {
                             confirm(prefix, sentAt - *age);
                         }
                         return done(std::move(range));
                     }
                     logRelayFailure(relay, prefix, 0, response ? range.error().message : response.error().message);
                     if (response && response->status == UnavailableStatus) {
                         relays_.onStale(relay, runtime_.now());
                     } else {
                         relays_.onFailed(relay, runtime_.now());
                     }
                     if (mayUseStore(prefix)) {
                         readStore(prefix, done);
                     } else {
                         startListing(prefix, done);
                     }
                 });
}

void RelayedStore::commit(StoreTransaction transaction, Callback<StoreCommit> done)
{
    store_.commit(std::move(transaction), std::move(done));
}

void RelayedStore::grantLease(std::int64_t seconds, Callback<std::int64_t> done)
{
    store_.grantLease(seconds, std::move(done));
}

void RelayedStore::keepLeaseAlive(std::int64_t lease, Callback<std::int64_t> done)
{
    store_.keepLeaseAlive(lease, std::move(done));
}

void RelayedStore::revokeLease(std::int64_t lease, Callback<std::int64_t> done)
{
    store_.revokeLease(lease, std::move(done));
}

std::uint64_t RelayedStore::watch(
    const std::string &key, bool prefix, std::int64_t fromRevision, std::function<void(const StoreEntry &)> changed, std::function<void(const Failure &)> ended)
{
    const std::uint64_t id = ++lastId_;
    watches_[id] = Watch{key, prefix, fromRevision, std::move(changed), std::move(ended), nullptr, 0, 0, 0, {}};
    startWatch(id);
    return id;
}

void RelayedStore::setAnswerInterval(Duration interval)
{
    store_.setAnswerInterval(interval);
}

void RelayedStore::setAnswerHandler(std::uint64_t id, const AnswerHandler &onAnswered)
{
    const auto found = watches_.find(id);
    if (found != watches_.end()) {
        found->second.answered = onAnswered;
    }
}

void RelayedStore::confirm(const std::string &key, TimePoint completeUntil)
{
    TimePoint &known = completeUntil_[key];
    known = std::max(known, completeUntil);
}

bool RelayedStore::announceAnswer(std::uint64_t id, TimePoint completeUntil)
{
    const auto answered = watches_.at(id).answered;
    confirm(watches_.at(id).key, completeUntil);
    if (answered) {
        answered(completeUntil);
    }
    return watches_.count(id) > 0;
}

void RelayedStore::unwatch(std::uint64_t id)
{
    const auto node = watches_.extract(id);
    if (!node.empty()) {
        cancelCalls(node.mapped());
    }
}

void RelayedStore::cancelCalls(const Watch &watch)
{
    runtime_.cancel(watch.timer);
    client_.cancel(watch.poll);
    if (watch.storeWatch != 0) {
        store_.unwatch(watch.storeWatch);
    }
}

void RelayedStore::restartWatchLater(std::uint64_t id, Duration delay)
{
    watches_.at(id).timer = runtime_.schedule(delay, [this, id] {
        watches_.at(id).timer = 0;
        startWatch(id);
    });
}

void RelayedStore::startWatch(std::uint64_t id)
{
    const TimePoint now = runtime_.now();
    const auto relay = relayFor(watches_.at(id).key);
    const Duration delay = earliestStoreWatch(watches_.at(id).key) - now;
    if (relay) {
        poll(id, *relay);
    } else if (delay > Duration{0}) {
        restartWatchLater(id, delay);
    } else if (!mayUseStore(watches_.at(id).key)) {
        restartWatchLater(id, UnavailableRetryInterval);
    } else {
        watchStore(id);
    }
}

TimePoint RelayedStore::earliestStoreWatch(const std::string &key) const
{
    return std::max(startedAt_ + (key == instancesPrefix_ ? InstancesWatchDelay : StoreWatchDelay), earliestStoreListing(key));
}

void RelayedStore::logSource(Watch &watch, const std::string &source)
{
    if (watch.source == source) {
        return;
    }
    log_.write(DecisionPriority::Change, "watch.source", {{"watch", watch.key}, {"source", source}, {"before", watch.source}, {"revision", watch.revision}});
    watch.source = source;
}

void RelayedStore::poll(std::uint64_t id, const Address &relay)
{
    Watch &watch = watches_.at(id);
    logSource(watch, relay.toString());
    HttpRequest request;
    request.address = relay;
    request.method = "GET";
    request.path = std::string(RelayService::ChangesPath) + "?prefix=" + percentEncode(watch.key) + "&after=" + std::to_string(watch.revision)
        + "&waitMs=" + std::to_string(PollWait / std::chrono::milliseconds(1));
    request.timeout = PollWait + PollTimeoutMargin;
    watch.poll = client_.send(
        std::move(request), [this, id, relay, sentAt = runtime_.now()](const Result<HttpResponse> &response) { onPollResponse(id, relay, sentAt, response); });
}

void RelayedStore::onPollResponse(std::uint64_t id, const Address &relay, TimePoint sentAt, const Result<HttpResponse> &response)
{
    const auto found = watches_.find(id);
    if (found == watches_.end()) {
        return;
    }
    found->second.poll = 0;
    if (!response) {
        return onRelayFailed(id, relay, response.error().message);
    }
    if (response->status == GoneStatus) {
        // The relay works, but its log starts after this watch's revision. A new listing synchronizes the two.
        auto node = watches_.extract(found);
        node.mapped().ended(Failure{Errc::WrongVersion, Verdict::NotRun, "the relay no longer has the changes", Duration{0}});
        return;
    }
    if (response->status == UnavailableStatus) {
        relays_.onStale(relay, runtime_.now());
        logRelayFailure(relay, found->second.key, found->second.revision, "the relay has no fresh data");
        return startWatch(id);
    }
    if (response->status != OkStatus) {
        return onRelayFailed(id, relay, "status " + std::to_string(response->status));
    }
    const auto entries = readAnswer<std::vector<StoreEntry>>(*response, &readChanges);
    if (!entries) {
        return onRelayFailed(id, relay, entries.error().message);
    }
    ++answeredPolls_;
    relays_.onAnswered();
    const auto age = ageOf(*response);
    bool goesOn = false;
    const bool delivered = runtime_.boundary().run("relayed watch", [&] {
        goesOn = announceAnswer(id, age ? sentAt - *age : TimePoint{});
        for (auto entry = entries->begin(); goesOn && entry != entries->end(); ++entry) {
            goesOn = deliver(id, *entry);
        }
    });
    if (!delivered) {
        return endWatch(id, Failure{Errc::Internal, Verdict::NotRun, "a change could not be handled", Duration{0}});
    }
    if (goesOn) {
        startWatch(id);
    }
}

void RelayedStore::endWatch(std::uint64_t id, const Failure &failure)
{
    auto node = watches_.extract(id);
    if (!node.empty()) {
        node.mapped().storeWatch = 0;
        cancelCalls(node.mapped());
        node.mapped().ended(failure);
    }
}

void RelayedStore::onRelayFailed(std::uint64_t id, const Address &relay, const std::string &reason)
{
    relays_.onFailed(relay, runtime_.now());
    logRelayFailure(relay, watches_.at(id).key, watches_.at(id).revision, reason);
    startWatch(id);
}

void RelayedStore::logRelayFailure(const Address &relay, const std::string &key, std::int64_t revision, const std::string &reason)
{
    log_.write(DecisionPriority::Change, "relay.failed", {{"relay", relay.toString()}, {"watch", key}, {"revision", revision}, {"reason", reason}});
}

void RelayedStore::watchStore(std::uint64_t id)
{
    Watch &watch = watches_.at(id);
    logSource(watch, "store");
    watch.storeWatch = store_.watch(
        watch.key,
        watch.prefix,
        watch.revision,
        [this, id](const StoreEntry &entry) { deliver(id, entry); },
        [this, id](const Failure &failure) { endWatch(id, failure); });
    store_.setAnswerHandler(watch.storeWatch, [this, id](TimePoint completeUntil) { announceAnswer(id, completeUntil); });
    watch.timer = runtime_.schedule(RelayRetryInterval, [this, id] { trySwitchToRelay(id); });
}

TimePoint RelayedStore::completeUntil() const
{
    const auto earliest =
        std::min_element(completeUntil_.begin(), completeUntil_.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    return earliest == completeUntil_.end() ? TimePoint{} : earliest->second;
}

void RelayedStore::forgetConfirmations()
{
    for (auto &[key, completeUntil] : completeUntil_) {
        completeUntil = TimePoint{};
    }
}

void RelayedStore::trySwitchToRelay(std::uint64_t id)
{
    Watch &watch = watches_.at(id);
    if (!relayFor(watch.key)) {
        watch.timer = runtime_.schedule(RelayRetryInterval, [this, id] { trySwitchToRelay(id); });
        return;
    }
    watch.timer = 0;
    store_.unwatch(std::exchange(watch.storeWatch, 0));
    startWatch(id);
}

bool RelayedStore::deliver(std::uint64_t id, const StoreEntry &entry)
{
    Watch &watch = watches_.at(id);
    watch.revision = std::max(watch.revision, entry.modRevision);
    const auto changed = watch.changed;
    changed(entry);
    return watches_.count(id) > 0;
}

} // namespace Burdock
