#pragma once

#include <burdock/values/failure.h>
#include <burdock/values/names.h>

#include <cstdint>
#include <string>
#include <tuple>

namespace Burdock
{

/// A request to the owner of a claim partition to claim a key before a command is dispatched.
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
    /// Ok: the requester holds the claim. ClaimedElsewhere: another does, see `outcome`. KeyExpired: the key is too old.
    /// Unavailable: the result is unknown and the request must be repeated; it may have made the claim nevertheless.
    Errc code = Errc::Ok;
    bool outcomeKnown = false;
    std::string outcome;

    auto fields() const
    {
        return std::tie(number, code, outcomeKnown, outcome);
    }
};

/// Reports the result of a claimed command to the owner of the claim partition, which stores it lazily.
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
