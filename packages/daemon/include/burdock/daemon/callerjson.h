#pragma once

#include <burdock/policy/commandrun.h>
#include <burdock/policy/query.h>
#include <burdock/values/place.h>
#include <burdock/wire/httpserver.h>

#include <vector>

namespace Burdock
{

/// Parses the body and headers of `POST /v1/query`. The error message names the first invalid field and its allowed values.
Result<Query> readQuery(const HttpServerRequest &request);

/// Parses the body and headers of `POST /v1/command`, with the same errors as readQuery().
Result<CommandRequest> readCommand(const HttpServerRequest &request);

/// Builds the response to a query that was answered.
HttpServerResponse writeAnswer(const std::string &requestId, const QueryAnswer &answer);

/// Builds the response to a command that ran. `replayed` marks the outcome of an earlier request with the same key.
HttpServerResponse writeOutcome(const std::string &requestId, const std::string &outcome, bool replayed);

/// Builds an error response with HTTP status, code, message, verdict and Retry-After.
HttpServerResponse writeFailure(const Failure &failure);

/// Builds the list of entry addresses, which callers may cache for `maxAge`.
HttpServerResponse writeEntries(const std::vector<ListedInstance> &entries, Duration maxAge);

} // namespace Burdock
