#include <burdock/daemon/configlibrary.h>

#include <burdock/declarations/checkdeclarations.h>
#include <burdock/declarations/configreader.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// The bytes of files after which an offer is full; it holds at least one file.
constexpr std::size_t OfferBytes = std::size_t{256} * 1024;
/// The most bytes of files that are taken from a peer for one configuration.
constexpr std::size_t MaxDeliveryBytes = std::size_t{16} * 1024 * 1024;

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

void ConfigLibrary::keep(LoadedConfig loaded)
{
    held_ = std::move(loaded);
}

const DeclarationSet &ConfigLibrary::set() const
{
    return held_.set;
}

ConfigOffer ConfigLibrary::answer(const ConfigFetch &fetch, bool confirmed) const
{
    ConfigOffer offer{fetch.number, held_.head.version, {}, {}, confirmed};
    if (held_.head.version <= fetch.haveVersion) {
        return offer;
    }
    offer.head = held_.headText;
    std::vector<std::string> have = fetch.haveHashes;
    std::sort(have.begin(), have.end());
    std::size_t bytes = 0;
    for (const auto &[name, file] : held_.set.files()) {
        if (std::binary_search(have.begin(), have.end(), file.hash())) {
            continue;
        }
        bytes += file.text().size();
        if (bytes > OfferBytes && !offer.files.empty()) {
            break;
        }
        offer.files.push_back({name, file.hash(), file.text()});
    }
    return offer;
}

ConfigDelivery::ConfigDelivery(InstanceId peer)
    : peer_(std::move(peer))
{
}

const InstanceId &ConfigDelivery::peer() const
{
    return peer_;
}

Result<LoadedConfig> ConfigDelivery::add(const ConfigOffer &offer, const DeclarationSet &known)
{
    progressed_ = false;
    auto head = ConfigHead::parse(offer.head);
    if (!head || head->version != offer.version) {
        return notRun(Errc::BadRequest, "the peer's head record cannot be read");
    }
    for (const ConfigFile &file : offer.files) {
        const auto wanted = head->files.find(file.name);
        if (wanted == head->files.end() || wanted->second != file.hash) {
            return notRun(Errc::BadRequest, "the peer sent a file that its head record does not name");
        }
        bytes_ += file.text.size();
        if (bytes_ > MaxDeliveryBytes) {
            return notRun(Errc::BadRequest, "the peer sent more than a configuration may hold");
        }
        progressed_ = texts_.insert_or_assign(file.name, file.text).second || progressed_;
    }
    auto set = joinFiles(*head, known, texts_);
    if (!set) {
        return notRun(Errc::Unavailable, set.error().message);
    }
    return loadConfig(std::move(*head), offer.head, std::move(*set));
}

std::vector<std::string> ConfigDelivery::hashes() const
{
    std::vector<std::string> hashes;
    hashes.reserve(texts_.size());
    for (const auto &[name, text] : texts_) {
        hashes.push_back(textHash(text));
    }
    return hashes;
}

bool ConfigDelivery::progressed() const
{
    return progressed_;
}

} // namespace Burdock
