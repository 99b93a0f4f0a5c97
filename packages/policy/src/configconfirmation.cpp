#include <burdock/policy/configconfirmation.h>

#include <algorithm>

namespace Burdock
{

ConfigConfirmation::ConfigConfirmation(const ConfirmationRule &rule, TimePoint startedAt, std::uint64_t firstNumber)
    : rule_(rule)
    , startedAt_(startedAt)
    , firstNumber_(firstNumber)
{
}

void ConfigConfirmation::onStoreAnswer(std::uint64_t number, std::uint64_t version)
{
    if (number >= firstNumber_) {
        hasStoreAnswer_ = true;
        storeVersion_ = version;
    }
}

void ConfigConfirmation::onStoreFailed(std::uint64_t number)
{
    hasStoreFailed_ = hasStoreFailed_ || number >= firstNumber_;
}

void ConfigConfirmation::onPeerAnswer(std::uint64_t number, const InstanceId &peer, std::uint64_t version, bool confirmed)
{
    if (number >= firstNumber_) {
        peers_[peer] = {version, confirmed};
    }
}

bool ConfigConfirmation::hasStoreAnswer() const
{
    return hasStoreAnswer_;
}

bool ConfigConfirmation::isDecided(TimePoint now, std::size_t peersKnown) const
{
    if (hasStoreAnswer_) {
        return true;
    }
    const Duration waited = now - startedAt_;
    if (waited >= rule_.peerTimeout) {
        return !peers_.empty() || peersKnown == 0;
    }
    if (!hasStoreFailed_ && waited < rule_.storeTimeout) {
        return false;
    }
    const auto confirmed = std::count_if(peers_.begin(), peers_.end(), [](const auto &peer) { return peer.second.confirmed; });
    return peersKnown != 0 && static_cast<std::size_t>(confirmed) >= std::min(peersKnown, rule_.peers);
}

std::uint64_t ConfigConfirmation::version() const
{
    if (hasStoreAnswer_) {
        return storeVersion_;
    }
    std::uint64_t highest = 0;
    for (const auto &[peer, answer] : peers_) {
        highest = std::max(highest, answer.version);
    }
    return highest;
}

} // namespace Burdock
