#pragma once

#include <burdock/values/comparison.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Burdock
{

/// The `haveVersion` of a ConfigFetch that requests only the peer's version and no files.
constexpr std::uint64_t VersionOnly = UINT64_MAX;

/// A request to a peer for a configuration newer than `haveVersion`; `haveHashes` lists the files already held.
struct ConfigFetch
{
    std::uint64_t number = 0;
    std::uint64_t haveVersion = 0;
    std::vector<std::string> haveHashes;

    auto fields() const
    {
        return std::tie(number, haveVersion, haveHashes);
    }
};

/// One declaration file sent to a peer.
struct ConfigFile
{
    std::string name;
    std::string hash;
    std::string text;

    auto fields() const
    {
        return std::tie(name, hash, text);
    }
};

/// The peer's version: the head record as stored and as many of the requester's missing files as fit in one message.
/// Without a head it reports only the version. Number 0 means that the offer is unsolicited.
struct ConfigOffer
{
    std::uint64_t number = 0;
    std::uint64_t version = 0;
    std::string head;
    std::vector<ConfigFile> files;
    /// Whether the peer has confirmed its version since it started or was paused.
    bool confirmed = false;

    auto fields() const
    {
        return std::tie(number, version, head, files, confirmed);
    }
};

} // namespace Burdock
