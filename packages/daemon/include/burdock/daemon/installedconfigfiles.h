#pragma once

#include <burdock/declarations/confighead.h>
#include <burdock/declarations/declarationset.h>
#include <burdock/policy/configkeeper.h>
#include <burdock/values/configmessages.h>

#include <optional>

namespace Burdock
{

/// A configuration together with the files that it was read from.
struct LoadedConfig
{
    ConfigHead head;
    /// The head record as stored, which is passed on to peers unchanged.
    std::string headText;
    DeclarationSet set;
    ConfigCandidate candidate;
};

/// Parses and checks a set of files. If the set is unusable, the candidate holds the first fault and no configuration.
LoadedConfig loadConfig(ConfigHead head, std::string headText, DeclarationSet set);

/// The files of the configuration in force. They are sent to peers and combined with the changed files of a newer version.
class InstalledConfigFiles
{
public:
    /// Replaces the files by those of a configuration that came into force.
    void keep(LoadedConfig loaded);

    const DeclarationSet &set() const;

    /// Builds the answer to a peer's fetch. It holds the version and, if that is higher than the peer's, the head and as many of the
    /// files that the peer lacks as fit into one message.
    ConfigOffer makeOffer(const ConfigFetch &fetch, bool confirmed) const;

private:
    LoadedConfig installed_;
};

/// The download of a configuration from a peer, which may take several messages.
class ConfigDownload
{
public:
    explicit ConfigDownload(InstanceId peer);

    const InstanceId &peer() const;

    /// Adds the files of one offer. Returns the configuration once it is complete, Unavailable while files are missing, and BadRequest
    /// if the offer is inconsistent or the download exceeds its size limit.
    Result<LoadedConfig> add(const ConfigOffer &offer, const DeclarationSet &localFiles);

    /// Returns the hashes of the files received so far.
    std::vector<std::string> hashes() const;

    /// Returns whether the last offer contained a new file, so that another fetch is useful.
    bool hasProgressed() const;

private:
    InstanceId peer_;
    std::map<std::string, std::string> texts_;
    std::size_t bytes_ = 0;
    bool hasProgressed_ = false;
};

} // namespace Burdock
