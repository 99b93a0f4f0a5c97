#pragma once

#include <burdock/values/failure.h>
#include <burdock/values/names.h>

#include <cstdint>
#include <string>
#include <tuple>

namespace Burdock
{

/// Asks the owner of a claim partition to claim a key before a command is dispatched.
struct ClaimRequest
{
    std::uint64_t number = 0;
    CommandName command;
    std::string key;
    InstanceId claimant;
    std::uint64_t incarnation = 0;
    std::uint64_t nonce = 0;

    auto fields() const
    {
        return std::tie(number, command, key, claimant, incarnation, nonce);
    }
};

/// The owner's reply to ClaimRequest.
struct ClaimAnswer
{
    std::uint64_t number = 0;
    /// Ok: the claim is the asker's. ClaimedElsewhere: another's, see `outcome`. KeyExpired: too old to be known.
    /// Unavailable: nothing can be said, ask again; a claim by this ask may stand all the same.
    Errc code = Errc::Ok;
    bool outcomeKnown = false;
    std::string outcome;

    auto fields() const
    {
        return std::tie(number, code, outcomeKnown, outcome);
    }
};

/// Tells the owner of a claim partition how a claimed command ended, to be stored lazily.
struct ClaimOutcome
{
    CommandName command;
    std::string key;
    std::uint64_t nonce = 0;
    Verdict verdict = Verdict::Ran;
    std::string outcome;

    auto fields() const
    {
        return std::tie(command, key, nonce, verdict, outcome);
    }
};

} // namespace Burdock
