#include <burdock/policy/configconfirmation.h>

#include <algorithm>

namespace Burdock
{

ConfigConfirmation::ConfigConfirmation(const ConfirmationRule &rule, TimePoint began, std::uint64_t firstNumber)
    : rule_(rule)
    , began_(began)
    , firstNumber_(firstNumber)
{
}

void ConfigConfirmation::storeAnswered(std::uint64_t number, std::uint64_t version)
{
    if (number >= firstNumber_) {
        storeAnswered_ = true;
        storeVersion_ = version;
    }
}

void ConfigConfirmation::storeFailed(std::uint64_t number)
{
    storeFailed_ = storeFailed_ || number >= firstNumber_;
}

void ConfigConfirmation::peerAnswered(std::uint64_t number, const InstanceId &peer, std::uint64_t version, bool confirmed)
{
    if (number >= firstNumber_) {
        peers_[peer] = {version, confirmed};
    }
}

bool ConfigConfirmation::hasStore() const
{
    return storeAnswered_;
}

bool ConfigConfirmation::decided(TimePoint now, std::size_t peersKnown) const
{
    if (storeAnswered_) {
        return true;
    }
    const Duration waited = now - began_;
    if (waited >= rule_.peerPatience) {
        return !peers_.empty() || peersKnown == 0;
    }
    if (!storeFailed_ && waited < rule_.storePatience) {
        return false;
    }
    const auto confirmed = std::count_if(peers_.begin(), peers_.end(), [](const auto &peer) { return peer.second.confirmed; });
    return peersKnown != 0 && static_cast<std::size_t>(confirmed) >= std::min(peersKnown, rule_.peers);
}

std::uint64_t ConfigConfirmation::version() const
{
    if (storeAnswered_) {
        return storeVersion_;
    }
    std::uint64_t highest = 0;
    for (const auto &[peer, answer] : peers_) {
        highest = std::max(highest, answer.version);
    }
    return highest;
}

} // namespace Burdock
