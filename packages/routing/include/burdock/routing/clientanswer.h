#pragma once

#include <burdock/routing/backendrequests.h>
#include <burdock/values/verdict.h>

#include <vector>

namespace Burdock
{

/// What a client gets: a server's answer as it is, a gathered answer, or a refusal or failure of this instance.
struct ClientAnswer
{
    enum class Kind {
        Passed,
        Gathered,
        /// Has not run and will not run.
        Refused,
        /// May have run.
        Failed,
    };

    Kind kind = Kind::Refused;
    int status = 0;
    /// Headers and body: of the server, or the merged records.
    std::map<std::string, std::string> headers;
    std::string body;
    /// The signatures of the parts in a gathered answer, or that of the one server.
    std::vector<std::string> signatures;
    /// How many shards are left out of a gathered answer.
    std::uint32_t missing = 0;
    /// When to come back; zero where there is nothing to say.
    Duration retryAfter{0};
    /// For the log and for the body of a refusal.
    std::string reason;
};

/// Status codes that instances give by themselves.
struct AnswerStatus
{
    static constexpr int Ok = 200;
    static constexpr int BadRequest = 400;
    static constexpr int NotFound = 404;
    static constexpr int BadGateway = 502;
    static constexpr int Unavailable = 503;
    static constexpr int GatewayTimeout = 504;
};

/// A refusal: the request has not run. `retryAfter`: when it can be served, as far as is known.
ClientAnswer refusal(int status, std::string reason, Duration retryAfter = Duration{0});

/// The answer to a request that could not be served: a refusal where nothing ran, a time-out past the deadline, else a failure.
ClientAnswer failureAnswer(const Failure &failure, bool nothingRan, bool pastDeadline, Duration retryAfter);

} // namespace Burdock
