#pragma once

#include <burdock/router/headernames.h>
#include <burdock/routing/peerrequests.h>
#include <burdock/wire/httpclient.h>
#include <burdock/wire/httpserver.h>

#include <map>
#include <string>

namespace Burdock
{

/// The headers that instances add to requests that they pass on to each other, and to the answers. They never reach clients or servers.
class PassOnHeaders
{
public:
    using Headers = std::map<std::string, std::string>;

    /// Whether the request was passed on by another instance.
    static bool isPassedOn(const Headers &headers);

    /// Removes these headers.
    static void remove(Headers &headers);

    static void write(Headers &headers, const PassOnTerms &terms);

    /// Returns what the request's headers state, or an error if they cannot be read.
    static Result<PassOnTerms> read(const Headers &headers);

    /// Adds what the answer's status and other headers do not tell.
    static void writeOutcome(Headers &headers, const ClientAnswer &answer, std::int64_t configVersion);

    /// Returns the response to a request whose handling threw: it may have run.
    static HttpServerResponse failureResponse();

    /// Whether a peer's response has each of these headers once at most.
    static bool areStatedOnce(const HttpResponse &response);

    /// Converts a peer's response to its answer, or to a failure that states whether the request may have run.
    static Result<PeerReply> readReply(const HeaderNames &names, Result<HttpResponse> response);
};

} // namespace Burdock
