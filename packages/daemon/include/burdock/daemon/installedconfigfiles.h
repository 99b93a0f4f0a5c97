#pragma once

#include <burdock/declarations/confighead.h>
#include <burdock/declarations/declarationset.h>
#include <burdock/policy/configkeeper.h>
#include <burdock/values/configmessages.h>

#include <optional>

namespace Burdock
{

/// A configuration with the files that it was read from.
struct LoadedConfig
{
    ConfigHead head;
    /// The head record as stored, to hand on.
    std::string headText;
    DeclarationSet set;
    ConfigCandidate candidate;
};

/// Parses and checks files; one that cannot be used gives a candidate with its first fault.
LoadedConfig loadConfig(ConfigHead head, std::string headText, DeclarationSet set);

/// The files of the configuration in force, to hand on to peers and to join with changed ones.
class InstalledConfigFiles
{
public:
    /// Keeps the files of a configuration that came into force.
    void keep(LoadedConfig loaded);

    const DeclarationSet &set() const;

    /// The answer to a peer's fetch: the version, and where it is higher than the peer's the head and files that the
    /// peer lacks, as many as one message bears.
    ConfigOffer makeOffer(const ConfigFetch &fetch, bool confirmed) const;

private:
    LoadedConfig installed_;
};

/// A configuration on its way from a peer, in as many messages as it takes.
class ConfigDownload
{
public:
    explicit ConfigDownload(InstanceId peer);

    const InstanceId &peer() const;

    /// Takes a part. Gives the configuration once it is whole; BadRequest where the part contradicts itself, and
    /// Unavailable where it is not whole yet.
    Result<LoadedConfig> add(const ConfigOffer &offer, const DeclarationSet &known);

    /// The hashes of the files that came so far.
    std::vector<std::string> hashes() const;

    /// Whether the last part brought something new, so that asking on is worth it.
    bool hasProgressed() const;

private:
    InstanceId peer_;
    std::map<std::string, std::string> texts_;
    std::size_t bytes_ = 0;
    bool hasProgressed_ = false;
};

} // namespace Burdock
