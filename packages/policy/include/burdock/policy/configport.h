#pragma once

#include <burdock/values/configuration.h>

#include <cstdint>

namespace Burdock
{

/// What a ConfigKeeper asks of the world. Answers come back by the keeper's own functions, never from within these.
class ConfigPort
{
public:
    virtual ~ConfigPort() = default;

    /// Reads the accepted configuration; answered by onStoreAnswer, onStoreUnreadable or onStoreFailed with the same number.
    virtual void readStore(std::uint64_t number) = 0;

    /// Watches the store's head record; onWatchEvent on each change, onWatchEnded once when the watch breaks.
    virtual void startWatch() = 0;
    virtual void stopWatch() = 0;

    /// Asks a peer for its version only; answered by onOffer, or not at all.
    virtual void requestVersion(std::uint64_t number, const InstanceId &peer) = 0;

    /// Asks a peer for the files of its version, where that is higher; answered by onOffer, or not at all.
    virtual void fetch(std::uint64_t number, const InstanceId &peer) = 0;

    /// Tells a peer which version is in force here.
    virtual void announce(const InstanceId &peer, std::uint64_t version) = 0;

    /// Puts a configuration in force.
    virtual void install(const ConfigurationPtr &configuration) = 0;
};

} // namespace Burdock
