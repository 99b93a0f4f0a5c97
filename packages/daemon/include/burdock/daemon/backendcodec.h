#pragma once

#include <burdock/policy/backendport.h>
#include <burdock/values/subrequest.h>
#include <burdock/wire/httpclient.h>

namespace Burdock
{

/// The text that names a sub-request to a backend server.
std::string formatRequestId(const SubRequestId &id);

/// Writes a sub-request as the HTTP request that docs/INTERFACES.md describes.
HttpRequest encodeBackendRequest(const SubRequest &request, const Address &server, Duration budget);

/// Reads a backend server's response to `request`. A response that cannot be understood, or that names another
/// request, is a failure that may have run.
BackendReply decodeBackendResponse(const SubRequest &request, const HttpResponse &response);

/// The reply for a request that got no response.
BackendReply backendFailure(const SubRequest &request, const Failure &failure);

} // namespace Burdock
