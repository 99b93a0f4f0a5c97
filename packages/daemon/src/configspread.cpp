#include <burdock/daemon/configspread.h>

#include <nlohmann/json.hpp>

#include <ctime>
#include <utility>

namespace Burdock
{

namespace
{

/// How many deliveries may be open; older ones are given up.
constexpr std::size_t MaxDeliveries = 8;

std::string timestamp(WallTime time)
{
    const std::time_t seconds = std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

std::size_t payloadBytes(const PeerMessage &message)
{
    std::size_t bytes = 0;
    if (const auto *offer = std::get_if<ConfigOffer>(&message)) {
        bytes += offer->head.size();
        for (const ConfigFile &file : offer->files) {
            bytes += file.name.size() + file.hash.size() + file.text.size();
        }
    } else if (const auto *fetch = std::get_if<ConfigFetch>(&message)) {
        for (const std::string &hash : fetch->haveHashes) {
            bytes += hash.size();
        }
    }
    return bytes;
}

} // namespace

ConfigSpread::ConfigSpread(
    Runtime &runtime, Store &store, PeerLinks &links, const ConfigSettings &settings, ConfigPeerView neighbours, std::uint64_t seed, InstallHandler installed)
    : runtime_(runtime)
    , store_(store)
    , links_(links)
    , reader_(store)
    , keeper_(runtime, *this, settings, std::move(neighbours), seed)
    , installed_(std::move(installed))
{
}

ConfigSpread::~ConfigSpread()
{
    stopWatch();
}

void ConfigSpread::start()
{
    keeper_.start();
}

ConfigKeeper &ConfigSpread::keeper()
{
    return keeper_;
}

const ConfigKeeper &ConfigSpread::keeper() const
{
    return keeper_;
}

const ConfigSpreadCounters &ConfigSpread::counters() const
{
    return counters_;
}

std::string ConfigSpread::statusJson() const
{
    const ConfigStatus status = keeper_.status();
    nlohmann::json json{{"version", status.version}, {"state", status.state}, {"highestHeard", status.highestSeen}, {"watching", status.watching}};
    if (keeper_.configuration()) {
        json["hash"] = keeper_.configuration()->hash;
        json["inForceSince"] = timestamp(status.inForceSince);
    }
    if (!status.unusableFault.empty()) {
        json["unusable"] = {{"version", status.unusableVersion}, {"fault", status.unusableFault}};
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// The store.

void ConfigSpread::readStore(std::uint64_t number)
{
    reader_.readHead(whileAlive<Result<StoredHead>>([this, number](const Result<StoredHead> &stored) { headRead(number, stored); }));
}

void ConfigSpread::headRead(std::uint64_t number, const Result<StoredHead> &stored)
{
    if (!stored) {
        return stored.error().code == Errc::BadRequest ? keeper_.onStoreUnreadable(number, stored.error().message) : keeper_.onStoreFailed(number);
    }
    const ConfigHead &head = stored->head;
    const ConfigStatus status = keeper_.status();
    if (head.version <= std::max(status.version, status.unusableVersion)) {
        return keeper_.onStoreAnswer(number, {head.version, nullptr, {}});
    }
    reader_.readFiles(head, library_.set(), whileAlive<Result<DeclarationSet>>([this, number, head](Result<DeclarationSet> set) {
                          filesRead(number, head, std::move(set));
                      }));
}

void ConfigSpread::filesRead(std::uint64_t number, const ConfigHead &head, Result<DeclarationSet> set)
{
    if (!set) {
        return keeper_.onStoreFailed(number);
    }
    loading_ = loadConfig(head, head.toJson(), std::move(*set));
    keeper_.onStoreAnswer(number, ConfigCandidate(loading_->candidate));
    loading_.reset();
}

void ConfigSpread::startWatch()
{
    const std::uint64_t turn = ++watchTurn_;
    reader_.readHead(whileAlive<Result<StoredHead>>([this, turn](const Result<StoredHead> &stored) {
        if (turn != watchTurn_) {
            return;
        }
        if (!stored && stored.error().code != Errc::BadRequest) {
            return keeper_.onWatchEnded();
        }
        watchFrom(turn, stored ? stored->revision : 0);
        if (stored && stored->head.version > keeper_.version()) {
            keeper_.onWatchEvent();
        }
    }));
}

void ConfigSpread::watchFrom(std::uint64_t turn, std::int64_t revision)
{
    watch_ = store_.watch(ConfigHeadKey,
                          false,
                          revision,
                          whileAlive<const StoreEntry &>([this, turn](const StoreEntry &) {
                              if (turn == watchTurn_) {
                                  keeper_.onWatchEvent();
                              }
                          }),
                          whileAlive<const Failure &>([this, turn](const Failure &) {
                              if (turn == watchTurn_) {
                                  watch_ = 0;
                                  keeper_.onWatchEnded();
                              }
                          }));
}

void ConfigSpread::stopWatch()
{
    ++watchTurn_;
    if (watch_ != 0) {
        store_.unwatch(std::exchange(watch_, 0));
    }
}

// The peers.

void ConfigSpread::send(const InstanceId &peer, PeerMessage message)
{
    counters_.bytesSent += payloadBytes(message);
    ++counters_.messagesSent;
    links_.send(peer, std::move(message));
}

void ConfigSpread::requestVersion(std::uint64_t number, const InstanceId &peer)
{
    send(peer, ConfigFetch{number, VersionOnly, {}});
}

void ConfigSpread::fetch(std::uint64_t number, const InstanceId &peer)
{
    if (deliveries_.size() >= MaxDeliveries) {
        deliveries_.erase(deliveries_.begin());
    }
    sendFetch(number, deliveries_.emplace(number, ConfigDelivery(peer)).first->second);
}

void ConfigSpread::sendFetch(std::uint64_t number, const ConfigDelivery &delivery)
{
    std::vector<std::string> have = delivery.hashes();
    for (const auto &[name, file] : library_.set().files()) {
        have.push_back(file.hash());
    }
    send(delivery.peer(), ConfigFetch{number, keeper_.version(), std::move(have)});
}

void ConfigSpread::announce(const InstanceId &peer, std::uint64_t version)
{
    send(peer, ConfigOffer{0, version, {}, {}, keeper_.isConfirmed()});
}

void ConfigSpread::fetched(const InstanceId &from, const ConfigFetch &fetch)
{
    send(from, library_.answer(fetch, keeper_.isConfirmed()));
}

void ConfigSpread::onOffer(const InstanceId &from, const ConfigOffer &offer)
{
    counters_.bytesReceived += payloadBytes(offer);
    if (offer.number == 0 && (offer.head.empty() || offer.version <= keeper_.version())) {
        return keeper_.onPeerVersion(from, offer.version);
    }
    if (offer.number == 0) {
        ConfigDelivery pushed(from);
        return takeDelivery(0, pushed, offer);
    }
    if (offer.head.empty()) {
        deliveries_.erase(offer.number);
        return keeper_.onOffer(offer.number, from, offer.confirmed, {offer.version, nullptr, {}});
    }
    const auto delivery = deliveries_.find(offer.number);
    if (delivery == deliveries_.end() || delivery->second.peer() != from) {
        ++counters_.refusedOffers;
        return;
    }
    takeDelivery(offer.number, delivery->second, offer);
}

void ConfigSpread::takeDelivery(std::uint64_t number, ConfigDelivery &delivery, const ConfigOffer &offer)
{
    auto loaded = delivery.add(offer, library_.set());
    const bool partial = !loaded && loaded.error().code == Errc::Unavailable;
    if (partial && delivery.progressed() && number != 0) {
        keeper_.onFetchProgress(number);
        return sendFetch(number, delivery);
    }
    const InstanceId peer = delivery.peer();
    deliveries_.erase(number);
    if (!loaded) {
        ++counters_.refusedOffers;
        return keeper_.onFetchFailed(number);
    }
    loading_ = std::move(*loaded);
    keeper_.onOffer(number, peer, offer.confirmed, ConfigCandidate(loading_->candidate));
    loading_.reset();
}

void ConfigSpread::install(const ConfigurationPtr &configuration)
{
    if (loading_ && loading_->candidate.configuration == configuration) {
        library_.keep(std::move(*loading_));
        loading_.reset();
    }
    installed_(configuration);
}

} // namespace Burdock
