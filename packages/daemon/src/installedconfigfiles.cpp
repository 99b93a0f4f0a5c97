#include <burdock/daemon/installedconfigfiles.h>

#include <burdock/declarations/checkdeclarations.h>
#include <burdock/declarations/configreader.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// The maximum size of the files in one offer, in bytes. An offer holds at least one file, even if that is larger.
constexpr std::size_t MaxOfferBytes = std::size_t{256} * 1024;
/// The maximum size of the files accepted from a peer for one configuration, in bytes.
constexpr std::size_t MaxDownloadBytes = std::size_t{16} * 1024 * 1024;

} // namespace

LoadedConfig loadConfig(ConfigHead head, std::string headText, DeclarationSet set)
{
    LoadedConfig loaded{std::move(head), std::move(headText), std::move(set), {}};
    loaded.candidate.version = loaded.head.version;
    auto checked = checkDeclarations(loaded.set, loaded.head.version);
    if (checked) {
        loaded.candidate.configuration = std::make_shared<const Configuration>(std::move(*checked));
    } else {
        loaded.candidate.fault = checked.error().front().toString();
    }
    return loaded;
}

void InstalledConfigFiles::keep(LoadedConfig loaded)
{
    installed_ = std::move(loaded);
}

const DeclarationSet &InstalledConfigFiles::set() const
{
    return installed_.set;
}

ConfigOffer InstalledConfigFiles::makeOffer(const ConfigFetch &fetch, bool confirmed) const
{
    ConfigOffer offer{fetch.number, installed_.head.version, {}, {}, confirmed};
    if (installed_.head.version <= fetch.haveVersion) {
        return offer;
    }
    offer.head = installed_.headText;
    std::vector<std::string> have = fetch.haveHashes;
    std::sort(have.begin(), have.end());
    std::size_t bytes = 0;
    for (const auto &[name, file] : installed_.set.files()) {
        if (std::binary_search(have.begin(), have.end(), file.hash())) {
            continue;
        }
        bytes += file.text().size();
        if (bytes > MaxOfferBytes && !offer.files.empty()) {
            break;
        }
        offer.files.push_back({name, file.hash(), file.text()});
    }
    return offer;
}

ConfigDownload::ConfigDownload(InstanceId peer)
    : peer_(std::move(peer))
{
}

const InstanceId &ConfigDownload::peer() const
{
    return peer_;
}

Result<LoadedConfig> ConfigDownload::add(const ConfigOffer &offer, const DeclarationSet &localFiles)
{
    hasProgressed_ = false;
    auto head = ConfigHead::parse(offer.head);
    if (!head || head->version != offer.version) {
        return notRun(Errc::BadRequest, "the peer's head record cannot be read");
    }
    for (const ConfigFile &file : offer.files) {
        const auto listed = head->files.find(file.name);
        if (listed == head->files.end() || listed->second != file.hash) {
            return notRun(Errc::BadRequest, "the peer sent a file that its head record does not name");
        }
        bytes_ += file.text.size();
        if (bytes_ > MaxDownloadBytes) {
            return notRun(Errc::BadRequest, "the peer sent more than a configuration may hold");
        }
        hasProgressed_ = texts_.insert_or_assign(file.name, file.text).second || hasProgressed_;
    }
    auto set = joinFiles(*head, localFiles, texts_);
    if (!set) {
        return notRun(Errc::Unavailable, set.error().message);
    }
    return loadConfig(std::move(*head), offer.head, std::move(*set));
}

std::vector<std::string> ConfigDownload::hashes() const
{
    std::vector<std::string> hashes;
    hashes.reserve(texts_.size());
    for (const auto &[name, text] : texts_) {
        hashes.push_back(textHash(text));
    }
    return hashes;
}

bool ConfigDownload::hasProgressed() const
{
    return hasProgressed_;
}

} // namespace Burdock
