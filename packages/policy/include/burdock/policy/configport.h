#pragma once

#include <burdock/values/configuration.h>

#include <cstdint>

namespace Burdock
{

/// The actions that a ConfigKeeper requests from its environment. Results are passed to the functions of the keeper, and
/// never before a function of this interface returns.
class ConfigPort
{
public:
    virtual ~ConfigPort() = default;

    /// Reads the accepted configuration. Answered by onStoreAnswer, onStoreUnreadable or onStoreFailed with the same
    /// number.
    virtual void readStore(std::uint64_t number) = 0;

    /// Watches the head record of the store. onWatchEvent is called on each change, and onWatchEnded once when the watch
    /// breaks.
    virtual void startWatch() = 0;
    virtual void stopWatch() = 0;

    /// Requests only the version of a peer. Answered by onOffer, or not at all.
    virtual void requestVersion(std::uint64_t number, const InstanceId &peer) = 0;

    /// Requests the configuration files of a peer if its version is higher. Answered by onOffer, or not at all.
    virtual void fetch(std::uint64_t number, const InstanceId &peer) = 0;

    /// Sends the version in force on this instance to a peer.
    virtual void announce(const InstanceId &peer, std::uint64_t version) = 0;

    /// Puts a configuration into force.
    virtual void install(const ConfigurationPtr &configuration) = 0;
};

} // namespace Burdock
