#pragma once

#include <burdock/values/names.h>
#include <burdock/values/runtime.h>

#include <cstddef>
#include <cstdint>
#include <map>

namespace Burdock
{

/// Conditions under which the answers of peers replace the answer of the store.
struct ConfirmationRule
{
    /// How long to wait for a store that does not answer.
    Duration storeTimeout{0};
    /// How long to wait for confirmed peers; after that, the answers of all peers count.
    Duration peerTimeout{0};
    /// The number of confirmed peers that must have answered; if fewer peers are known, all of them.
    std::size_t peers = 0;
};

/// Collects the answers of the store and of peers in one round that determines the accepted version.
class ConfigConfirmation
{
public:
    /// Answers with numbers below `firstNumber` belong to earlier requests and are ignored, because they may predate a
    /// version accepted since.
    ConfigConfirmation(const ConfirmationRule &rule, TimePoint startedAt, std::uint64_t firstNumber);

    void onStoreAnswer(std::uint64_t number, std::uint64_t version);
    void onStoreFailed(std::uint64_t number);
    void onPeerAnswer(std::uint64_t number, const InstanceId &peer, std::uint64_t version, bool confirmed);

    /// Whether the store has answered.
    bool hasStoreAnswer() const;

    /// Whether enough answers have arrived, given the number of known peers.
    bool isDecided(TimePoint now, std::size_t peersKnown) const;

    /// The accepted version: that of the store or, without an answer of the store, the highest of the peers.
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
