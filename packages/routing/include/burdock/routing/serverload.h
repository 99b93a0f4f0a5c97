#pragma once

#include <burdock/values/names.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace Burdock
{

/// A request in flight at a server. Those that are not placed by cost have no expectations.
struct OpenRequest
{
    TimePoint sentAt{};
    /// The work that it was expected to cost, and how long it was expected to wait for a slot.
    Duration work{0};
    Duration wait{0};

    auto fields() const
    {
        return std::tie(sentAt, work, wait);
    }
};

/// Tracks this instance's requests in flight at each server and their recent outcomes.
class ServerLoad
{
public:
    /// Records a request.
    void onSent(const ServerId &server, const OpenRequest &request);

    /// Record that a request sent at `sentAt` ended with an answer, with a refusal or connection failure, or with a failure after
    /// which it may have run.
    void onAnswered(const ServerId &server, TimePoint sentAt, TimePoint now);
    void onRefused(const ServerId &server, TimePoint sentAt, TimePoint now);
    void onFailed(const ServerId &server, TimePoint sentAt, TimePoint now);

    /// Removes an abandoned request without recording an outcome.
    void onAbandoned(const ServerId &server, TimePoint sentAt);

    /// Any server has responded, so what failed before counts for the servers where it failed.
    void onResponse()
    {
        ++responses_;
    }

    /// Takes back the failures and refusals since the last response, because they were not the servers'.
    void withdrawFailures();

    /// Disregards how long the requests in flight have waited so far, because it was not for the servers.
    void disregardWaits(TimePoint now)
    {
        waitsCountFrom_ = now;
    }

    /// Returns the number of requests in flight.
    std::uint32_t inFlight(const ServerId &server) const;

    /// Returns the request in flight that was sent at that time; without expectations if there is none.
    OpenRequest find(const ServerId &server, TimePoint sentAt) const;

    /// Returns the requests in flight.
    const std::vector<OpenRequest> &open(const ServerId &server) const;

    /// Returns the age of the oldest request in flight; zero if there is none. Requests whose waits are disregarded are left out.
    Duration oldest(const ServerId &server, TimePoint now) const;

    /// Returns the share of recent requests, 0 to 1, that failed.
    double failureRate(const ServerId &server, TimePoint now) const;

    /// Returns when the backoff after refusals and connection failures ends.
    TimePoint backoffUntil(const ServerId &server) const;

    /// Sets the end of the server's slow phase after its start.
    void setColdUntil(const ServerId &server, TimePoint until);

    /// Returns when the server's slow phase after its start ends.
    TimePoint coldUntil(const ServerId &server) const;

    /// Drops the state of a server that was removed or has restarted.
    void forget(const ServerId &server);

private:
    struct Failures
    {
        double rate = 0;
        TimePoint rateAt{};
        std::uint32_t consecutiveRefusals = 0;
        TimePoint backoffUntil{};
    };

    struct Server
    {
        std::vector<OpenRequest> open;
        Failures failures;
        /// The failures before the first one since the given number of responses.
        Failures before;
        std::uint64_t beforeAt = 0;
        TimePoint coldUntil{};
    };

    void keepForWithdrawal(Server &server) const;
    static void removeOpen(Server &server, TimePoint sentAt);
    void finishRequest(Server &server, TimePoint sentAt, double failure, TimePoint now);

    std::unordered_map<ServerId, Server> servers_;
    /// The number of responses so far, from 1.
    std::uint64_t responses_ = 1;
    TimePoint waitsCountFrom_{};
};

} // namespace Burdock
