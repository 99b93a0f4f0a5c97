#include <burdock/daemon/configdistributor.h>
#include <burdock/wire/json.h>

#include <nlohmann/json.hpp>

#include <ctime>
#include <utility>

namespace Burdock
{

namespace
{

/// The maximum number of open downloads. Starting another one drops the oldest.
constexpr std::size_t MaxDownloads = 8;

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

ConfigDistributor::ConfigDistributor(Runtime &runtime,
                                     Store &store,
                                     PeerLinks &links,
                                     const ConfigSettings &settings,
                                     ConfigPeerView peerView,
                                     std::uint64_t seed,
                                     InstallHandler installHandler)
    : runtime_(runtime)
    , store_(store)
    , links_(links)
    , reader_(store)
    , keeper_(runtime, *this, settings, std::move(peerView), seed)
    , installHandler_(std::move(installHandler))
{
}

ConfigDistributor::~ConfigDistributor()
{
    stopWatch();
}

void ConfigDistributor::start()
{
    keeper_.start();
}

ConfigKeeper &ConfigDistributor::keeper()
{
    return keeper_;
}

const ConfigKeeper &ConfigDistributor::keeper() const
{
    return keeper_;
}

const ConfigDistributorCounters &ConfigDistributor::counters() const
{
    return counters_;
}

std::string ConfigDistributor::statusJson() const
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
    return writeJson(json);
}

// Store access.

void ConfigDistributor::readStore(std::uint64_t number)
{
    reader_.readHead(whileAlive<Result<StoredHead>>([this, number](const Result<StoredHead> &stored) { onHeadRead(number, stored); }));
}

void ConfigDistributor::onHeadRead(std::uint64_t number, const Result<StoredHead> &stored)
{
    if (!stored) {
        return stored.error().code == Errc::BadRequest ? keeper_.onStoreUnreadable(number, stored.error().message) : keeper_.onStoreFailed(number);
    }
    const ConfigHead &head = stored->head;
    const ConfigStatus status = keeper_.status();
    if (head.version <= std::max(status.version, status.unusableVersion)) {
        return keeper_.onStoreAnswer(number, {head.version, nullptr, {}});
    }
    reader_.readFiles(head, installedFiles_.set(), whileAlive<Result<DeclarationSet>>([this, number, head](Result<DeclarationSet> set) {
                          onFilesRead(number, head, std::move(set));
                      }));
}

void ConfigDistributor::onFilesRead(std::uint64_t number, const ConfigHead &head, Result<DeclarationSet> set)
{
    if (!set) {
        return keeper_.onStoreFailed(number);
    }
    pendingConfig_ = loadConfig(head, head.toJson(), std::move(*set));
    keeper_.onStoreAnswer(number, ConfigCandidate(pendingConfig_->candidate));
    pendingConfig_.reset();
}

void ConfigDistributor::startWatch()
{
    const std::uint64_t generation = ++watchGeneration_;
    reader_.readHead(whileAlive<Result<StoredHead>>([this, generation](const Result<StoredHead> &stored) {
        if (generation != watchGeneration_) {
            return;
        }
        if (!stored && stored.error().code != Errc::BadRequest) {
            return keeper_.onWatchEnded();
        }
        watchFrom(generation, stored ? stored->revision : 0);
        if (stored && stored->head.version > keeper_.version()) {
            keeper_.onWatchEvent();
        }
    }));
}

void ConfigDistributor::watchFrom(std::uint64_t generation, std::int64_t revision)
{
    watchId_ = store_.watch(ConfigHeadKey,
                            false,
                            revision,
                            whileAlive<const StoreEntry &>([this, generation](const StoreEntry &) {
                                if (generation == watchGeneration_) {
                                    keeper_.onWatchEvent();
                                }
                            }),
                            whileAlive<const Failure &>([this, generation](const Failure &) {
                                if (generation == watchGeneration_) {
                                    watchId_ = 0;
                                    keeper_.onWatchEnded();
                                }
                            }));
}

void ConfigDistributor::stopWatch()
{
    ++watchGeneration_;
    if (watchId_ != 0) {
        store_.unwatch(std::exchange(watchId_, 0));
    }
}

// Communication with peers.

void ConfigDistributor::send(const InstanceId &peer, PeerMessage message)
{
    counters_.bytesSent += payloadBytes(message);
    ++counters_.messagesSent;
    links_.send(peer, std::move(message));
}

void ConfigDistributor::requestVersion(std::uint64_t number, const InstanceId &peer)
{
    send(peer, ConfigFetch{number, VersionOnly, {}});
}

void ConfigDistributor::fetch(std::uint64_t number, const InstanceId &peer)
{
    if (downloads_.size() >= MaxDownloads) {
        downloads_.erase(downloads_.begin());
    }
    sendFetch(number, downloads_.emplace(number, ConfigDownload(peer)).first->second);
}

void ConfigDistributor::sendFetch(std::uint64_t number, const ConfigDownload &download)
{
    std::vector<std::string> have = download.hashes();
    for (const auto &[name, file] : installedFiles_.set().files()) {
        have.push_back(file.hash());
    }
    send(download.peer(), ConfigFetch{number, keeper_.version(), std::move(have)});
}

void ConfigDistributor::announce(const InstanceId &peer, std::uint64_t version)
{
    send(peer, ConfigOffer{0, version, {}, {}, keeper_.isConfirmed()});
}

void ConfigDistributor::onFetch(const InstanceId &from, const ConfigFetch &fetch)
{
    send(from, installedFiles_.makeOffer(fetch, keeper_.isConfirmed()));
}

void ConfigDistributor::onOffer(const InstanceId &from, const ConfigOffer &offer)
{
    counters_.bytesReceived += payloadBytes(offer);
    if (offer.number == 0 && (offer.head.empty() || offer.version <= keeper_.version())) {
        return keeper_.onPeerVersion(from, offer.version);
    }
    if (offer.number == 0) {
        ConfigDownload pushedConfig(from);
        return addToDownload(0, pushedConfig, offer);
    }
    if (offer.head.empty()) {
        downloads_.erase(offer.number);
        return keeper_.onOffer(offer.number, from, offer.confirmed, {offer.version, nullptr, {}});
    }
    const auto download = downloads_.find(offer.number);
    if (download == downloads_.end() || download->second.peer() != from) {
        ++counters_.refusedOffers;
        return;
    }
    addToDownload(offer.number, download->second, offer);
}

void ConfigDistributor::addToDownload(std::uint64_t number, ConfigDownload &download, const ConfigOffer &offer)
{
    auto loaded = download.add(offer, installedFiles_.set());
    const bool partial = !loaded && loaded.error().code == Errc::Unavailable;
    if (partial && download.hasProgressed() && number != 0) {
        keeper_.onFetchProgress(number);
        return sendFetch(number, download);
    }
    const InstanceId peer = download.peer();
    downloads_.erase(number);
    if (!loaded) {
        ++counters_.refusedOffers;
        return keeper_.onFetchFailed(number);
    }
    pendingConfig_ = std::move(*loaded);
    keeper_.onOffer(number, peer, offer.confirmed, ConfigCandidate(pendingConfig_->candidate));
    pendingConfig_.reset();
}

void ConfigDistributor::install(const ConfigurationPtr &configuration)
{
    if (pendingConfig_ && pendingConfig_->candidate.configuration == configuration) {
        installedFiles_.keep(std::move(*pendingConfig_));
        pendingConfig_.reset();
    }
    installHandler_(configuration);
}

} // namespace Burdock
