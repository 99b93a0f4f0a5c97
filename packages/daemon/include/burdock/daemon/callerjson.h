#pragma once

#include <burdock/policy/query.h>
#include <burdock/values/place.h>
#include <burdock/wire/httpserver.h>

#include <vector>

namespace Burdock
{

/// What a caller asks for by `POST /v1/command`.
struct CommandAsk
{
    CallerId caller;
    CommandName command;
    std::string key;
    std::string payload;
    std::optional<Duration> deadline;

    auto fields() const
    {
        return std::tie(caller, command, key, payload, deadline);
    }
};

/// Reads the body and headers of `POST /v1/query`; every fault names the field and what is allowed.
Result<Query> readQuery(const HttpIncoming &request);

/// Reads the body and headers of `POST /v1/command`.
Result<CommandAsk> readCommand(const HttpIncoming &request);

/// Writes an answer.
HttpOutgoing writeAnswer(const std::string &requestId, const QueryAnswer &answer);

/// Writes a command's outcome. `replayed` marks the outcome of an earlier request with the same key.
HttpOutgoing writeOutcome(const std::string &requestId, const std::string &outcome, bool replayed);

/// Writes a refusal with its status, code, message, verdict and Retry-After.
HttpOutgoing writeFailure(const Failure &failure);

/// Writes the addresses that a caller should use.
HttpOutgoing writeEntries(const std::vector<ListedInstance> &entries, Duration maxAge);

} // namespace Burdock
