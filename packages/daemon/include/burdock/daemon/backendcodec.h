#pragma once

#include <burdock/policy/backendport.h>
#include <burdock/values/subrequest.h>
#include <burdock/wire/httpclient.h>

namespace Burdock
{

/// Formats the id of a sub-request as backend servers see it: ENTRY/INCARNATION/NUMBER.
std::string formatRequestId(const SubRequestId &id);

/// Encodes a sub-request as the HTTP request specified in docs/INTERFACES.md. `budget` is the time left until the deadline.
HttpRequest encodeBackendRequest(const SubRequest &request, const Address &server, Duration budget);

/// Decodes a backend server's response to `request`. A response that is malformed or that carries the id of another request
/// gives ConnectionLost with MayHaveRun.
BackendReply decodeBackendResponse(const SubRequest &request, const HttpResponse &response);

/// Builds the reply to a request that got no response.
BackendReply backendFailure(const SubRequest &request, const Failure &failure);

} // namespace Burdock
