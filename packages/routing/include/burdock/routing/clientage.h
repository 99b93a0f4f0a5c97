#pragma once

#include <burdock/values/runtime.h>

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace Burdock
{

/// Estimates how long a client has already waited when its request arrives: for a new connection, or for an earlier attempt.
///
/// Load: requests with a target of a few round trips, of which an answer must leave in time to be in time for the client. Clients
/// state the time they have left. The clients of a route mostly start with the same time, so what is missing from it has passed.
class ClientAge
{
public:
    /// Adds a request of the route with the time that its client states, and returns the time that has passed for it; zero while
    /// too few requests are known.
    Duration onRequest(const std::string &route, Duration timeLeft);

private:
    /// The times left of each route's last requests, in milliseconds.
    std::unordered_map<std::string, std::deque<std::int64_t>> recent_;
};

} // namespace Burdock
