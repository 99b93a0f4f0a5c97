#pragma once

#include <burdock/values/comparison.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Burdock
{

/// The version to ask with where only the peer's version is wanted.
constexpr std::uint64_t VersionOnly = UINT64_MAX;

/// Asks a peer for a configuration newer than `haveVersion`, naming the file hashes already held.
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

/// One declaration file on its way to a peer.
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

/// The peer's version: the head record as stored, and files that the asker lacks, as many as one message bears.
/// Without a head it only tells the version; number 0 means that it was not asked for.
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
