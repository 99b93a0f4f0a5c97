#pragma once

#include <burdock/policy/commandrun.h>
#include <burdock/policy/query.h>
#include <burdock/values/place.h>
#include <burdock/wire/httpserver.h>

#include <vector>

namespace Burdock
{

/// Reads the body and headers of `POST /v1/query`; every fault names the field and what is allowed.
Result<Query> readQuery(const HttpServerRequest &request);

/// Reads the body and headers of `POST /v1/command`.
Result<CommandRequest> readCommand(const HttpServerRequest &request);

/// Writes an answer.
HttpServerResponse writeAnswer(const std::string &requestId, const QueryAnswer &answer);

/// Writes a command's outcome. `replayed` marks the outcome of an earlier request with the same key.
HttpServerResponse writeOutcome(const std::string &requestId, const std::string &outcome, bool replayed);

/// Writes a refusal with its status, code, message, verdict and Retry-After.
HttpServerResponse writeFailure(const Failure &failure);

/// Writes the addresses that a caller should use.
HttpServerResponse writeEntries(const std::vector<ListedInstance> &entries, Duration maxAge);

} // namespace Burdock
