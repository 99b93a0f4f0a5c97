#pragma once

#include <burdock/daemon/installedconfigfiles.h>
#include <burdock/declarations/configreader.h>
#include <burdock/policy/configkeeper.h>
#include <burdock/wire/peerlinks.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Burdock
{

/// Counters of the configuration traffic between this instance and its peers.
struct ConfigDistributorCounters
{
    std::uint64_t messagesSent = 0;
    /// Bytes of heads, files and hashes. The other fields are not counted: they take a few bytes per message.
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    /// Offers that are inconsistent or were not requested.
    std::uint64_t refusedOffers = 0;
};

/// Connects a ConfigKeeper to the store, to the peers and to the declaration checker.
class ConfigDistributor final : private ConfigPort
{
public:
    using InstallHandler = std::function<void(const ConfigurationPtr &)>;

    /// `installHandler` is called with every configuration that comes into force.
    ConfigDistributor(Runtime &runtime,
                      Store &store,
                      PeerLinks &links,
                      const ConfigSettings &settings,
                      ConfigPeerView peerView,
                      std::uint64_t seed,
                      InstallHandler installHandler);
    ~ConfigDistributor() override;
    ConfigDistributor(const ConfigDistributor &) = delete;
    ConfigDistributor &operator=(const ConfigDistributor &) = delete;

    void start();

    /// Handlers of messages from peers.
    void onFetch(const InstanceId &from, const ConfigFetch &fetch);
    void onOffer(const InstanceId &from, const ConfigOffer &offer);

    /// Returns the keeper, which callers use for mayAdmit, version, onPeerVersion, status and counters.
    ConfigKeeper &keeper();
    const ConfigKeeper &keeper() const;
    const ConfigDistributorCounters &counters() const;

    /// Returns the member `configuration` of `GET /v1/status` as JSON text.
    std::string statusJson() const;

private:
    void readStore(std::uint64_t number) override;
    void startWatch() override;
    void stopWatch() override;
    void requestVersion(std::uint64_t number, const InstanceId &peer) override;
    void fetch(std::uint64_t number, const InstanceId &peer) override;
    void announce(const InstanceId &peer, std::uint64_t version) override;
    void install(const ConfigurationPtr &configuration) override;

    void onHeadRead(std::uint64_t number, const Result<StoredHead> &stored);
    void onFilesRead(std::uint64_t number, const ConfigHead &head, Result<DeclarationSet> set);
    void watchFrom(std::uint64_t generation, std::int64_t revision);
    void addToDownload(std::uint64_t number, ConfigDownload &download, const ConfigOffer &offer);
    void sendFetch(std::uint64_t number, const ConfigDownload &download);
    void send(const InstanceId &peer, PeerMessage message);

    /// Wraps a callback so that it does nothing after this object is destroyed.
    template<class Argument, class Function>
    std::function<void(Argument)> whileAlive(Function function)
    {
        return [alive = std::weak_ptr<const bool>(alive_), function = std::move(function)](Argument argument) mutable {
            if (!alive.expired()) {
                function(std::move(argument));
            }
        };
    }

    Runtime &runtime_;
    Store &store_;
    PeerLinks &links_;
    ConfigReader reader_;
    ConfigKeeper keeper_;
    InstalledConfigFiles installedFiles_;
    InstallHandler installHandler_;
    /// The configuration that is being passed to the keeper. Its files are kept if the keeper installs it.
    std::optional<LoadedConfig> pendingConfig_;
    std::map<std::uint64_t, ConfigDownload> downloads_;
    std::uint64_t watchGeneration_ = 0;
    std::uint64_t watchId_ = 0;
    ConfigDistributorCounters counters_;
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace Burdock
