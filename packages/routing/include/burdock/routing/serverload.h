#pragma once

#include <burdock/values/names.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Burdock
{

/// What this instance has under way at each server, and how its requests there fared of late.
class ServerLoad
{
public:
    /// A request went out at `now`.
    void onSent(const ServerId &server, TimePoint now);

    /// A request sent at `sentAt` ended with an answer, with a refusal or connection failure, or with a failure after it may have run.
    void onAnswered(const ServerId &server, TimePoint sentAt, TimePoint now);
    void onRefused(const ServerId &server, TimePoint sentAt, TimePoint now);
    void onFailed(const ServerId &server, TimePoint sentAt, TimePoint now);

    /// A request was given up; says nothing of the server.
    void onAbandoned(const ServerId &server, TimePoint sentAt);

    /// How many requests are under way.
    std::uint32_t inFlight(const ServerId &server) const;

    /// How long ago the oldest request under way went out; zero where there is none.
    Duration oldest(const ServerId &server, TimePoint now) const;

    /// The share of requests, 0 to 1, that failed of late.
    double failureRate(const ServerId &server, TimePoint now) const;

    /// Until when it is left alone after refusals and connection failures.
    TimePoint backoffUntil(const ServerId &server) const;

    /// The server is slow until then, since it has just started.
    void setColdUntil(const ServerId &server, TimePoint until);

    /// Until when it is slow after its start.
    TimePoint coldUntil(const ServerId &server) const;

    /// Forgets a server that is gone or begins another life.
    void forget(const ServerId &server);

private:
    struct Server
    {
        std::vector<TimePoint> open;
        double failureRate = 0;
        TimePoint failureRateAt{};
        std::uint32_t consecutiveRefusals = 0;
        TimePoint backoffUntil{};
        TimePoint coldUntil{};
    };

    void finishRequest(Server &server, TimePoint sentAt, double failure, TimePoint now);

    std::unordered_map<ServerId, Server> servers_;
};

} // namespace Burdock
