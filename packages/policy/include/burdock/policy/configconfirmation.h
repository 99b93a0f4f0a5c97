#pragma once

#include <burdock/values/names.h>
#include <burdock/values/runtime.h>

#include <cstddef>
#include <cstdint>
#include <map>

namespace Burdock
{

/// When peers count in place of the store.
struct ConfirmationRule
{
    /// How long to wait for a silent store.
    Duration storeTimeout{0};
    /// How long to wait for peers that are confirmed themselves; after that any peers count.
    Duration peerTimeout{0};
    /// How many confirmed peers must have answered; all, where fewer are known.
    std::size_t peers = 0;
};

/// The answers of the store and of peers to one round of asking which version is accepted.
class ConfigConfirmation
{
public:
    /// Answers to numbers below `firstNumber` were asked for earlier, and say nothing of what happened since.
    ConfigConfirmation(const ConfirmationRule &rule, TimePoint startedAt, std::uint64_t firstNumber);

    void onStoreAnswer(std::uint64_t number, std::uint64_t version);
    void onStoreFailed(std::uint64_t number);
    void onPeerAnswer(std::uint64_t number, const InstanceId &peer, std::uint64_t version, bool confirmed);

    /// True once the store has answered.
    bool hasStoreAnswer() const;

    /// Whether enough answers are in, with so many peers known.
    bool isDecided(TimePoint now, std::size_t peersKnown) const;

    /// The accepted version: the store's, or without the store the highest of the peers.
    std::uint64_t version() const;

private:
    struct Answer
    {
        std::uint64_t version = 0;
        bool confirmed = false;
    };

    ConfirmationRule rule_;
    TimePoint startedAt_;
    std::uint64_t firstNumber_;
    bool hasStoreAnswer_ = false;
    bool hasStoreFailed_ = false;
    std::uint64_t storeVersion_ = 0;
    std::map<InstanceId, Answer> peers_;
};

} // namespace Burdock
