#pragma once

#include <string>

namespace Burdock
{

/// The names of the headers that a deployment's clients and servers add to requests and responses, in lower case.
struct HeaderNames
{
    /// The client's id of an attempt.
    std::string requestId;
    /// The time left for an answer, in milliseconds.
    std::string timeLeft;
    /// A server's signature of its response.
    std::string signature;
    /// The id of the server that the request is intended for.
    std::string targetServer;
    /// In a server's response: the request was not run.
    std::string notRun;
    /// The id of the server that sent the response.
    std::string answeringServer;
    /// The shards' signatures in a gathered answer.
    std::string partSignatures;
    /// The number of shards missing from a gathered answer.
    std::string missingParts;
    /// In a server's response: the requests per second that it takes from all instances together.
    std::string serverLimit;
    /// In a server's response: the server is leaving.
    std::string serverLeaving;
    /// In a client's request: the key of its workspace. Never sent on.
    std::string key{};
    /// In a request to a server: the name of the client's workspace.
    std::string workspace{};
    /// In a server's response: the numbers of its running requests, its waiting requests and its slots, separated by commas, and
    /// possibly a fourth: how long work takes there at this moment, in percent of the usual.
    std::string serverLoad{};
};

} // namespace Burdock
