#pragma once

#include <string>

namespace Burdock
{

/// The names, in lower case, of the headers by which a deployment's clients and servers speak of requests.
struct HeaderNames
{
    /// The client's id of one attempt.
    std::string requestId;
    /// How many milliseconds are left for an answer.
    std::string timeLeft;
    /// A server's signature of its answer.
    std::string signature;
    /// The id of the server that is meant to run the request.
    std::string targetServer;
    /// In a server's answer: it did not run the request.
    std::string notRun;
    /// The id of the server that answers.
    std::string answeringServer;
    /// The signatures of the parts of a gathered answer.
    std::string partSignatures;
    /// How many shards a gathered answer lacks.
    std::string missingParts;
};

} // namespace Burdock
