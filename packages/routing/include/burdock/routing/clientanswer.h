#pragma once

#include <burdock/routing/backendrequests.h>
#include <burdock/values/verdict.h>

#include <vector>

namespace Burdock
{

/// The answer to a client: a server's response unchanged, a gathered answer, or a refusal or failure by this instance.
struct ClientAnswer
{
    enum class Kind {
        Passed,
        Gathered,
        /// The request has not run and will not run.
        Refused,
        /// The request may have run.
        Failed,
    };

    Kind kind = Kind::Refused;
    int status = 0;
    /// The server's headers and body, or the merged records as the body.
    std::map<std::string, std::string> headers;
    SharedText body;
    /// The signatures of the merged shard responses, or that of the single server.
    std::vector<std::string> signatures;
    /// The number of shards missing from a gathered answer.
    std::uint32_t missing = 0;
    /// The delay in microseconds after which the client may retry; zero if none is suggested.
    Duration retryAfter{0};
    /// The cause, for the log and for the body of a refusal.
    std::string reason;
    /// Why an instance to which the request was passed on cannot serve it although another may.
    enum class Inability {
        None,
        /// The request arrived at no server, since none could be connected to or had room for this instance.
        Request,
        /// The instance can serve no requests of others now.
        Instance,
        /// The instance has an older configuration than the one that passed the request on, and will soon have the same.
        Configuration,
    };
    Inability inability = Inability::None;
    /// The maximum number of attempts per shard that ran or may have run, of a request that was passed on.
    std::uint32_t attempts = 0;

    bool succeeded() const
    {
        return kind == Kind::Passed || kind == Kind::Gathered;
    }
};

/// HTTP status codes that an instance sets itself.
struct AnswerStatus
{
    static constexpr int Ok = 200;
    static constexpr int BadRequest = 400;
    static constexpr int Unauthorized = 401;
    static constexpr int NotFound = 404;
    static constexpr int TooManyRequests = 429;
    static constexpr int InternalError = 500;
    static constexpr int BadGateway = 502;
    static constexpr int Unavailable = 503;
    static constexpr int GatewayTimeout = 504;
};

/// Creates a refusal: the request has not run. `retryAfter` estimates when it can be served.
ClientAnswer refusal(int status, std::string reason, Duration retryAfter = Duration{0});

/// Creates the answer to a request that could not be served: a time-out past the deadline, else a refusal if nothing ran, else a failure.
ClientAnswer failureAnswer(const Failure &failure, bool nothingRan, bool pastDeadline, Duration retryAfter);

} // namespace Burdock
