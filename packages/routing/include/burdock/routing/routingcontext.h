#pragma once

#include <burdock/routing/backendrequests.h>
#include <burdock/routing/crashguard.h>
#include <burdock/routing/peerchoice.h>
#include <burdock/routing/repeatbudget.h>
#include <burdock/routing/routingconfig.h>
#include <burdock/routing/serverchoice.h>
#include <burdock/routing/serverreach.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Burdock
{

/// Counters of request outcomes since the start of the process.
struct RoutingCounters
{
    std::uint64_t firstSends = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t repeatsDenied = 0;
    std::uint64_t refusedByServers = 0;
    std::uint64_t failedAtServers = 0;
    std::uint64_t clientsGone = 0;
    std::uint64_t refusedAsGuilty = 0;
    /// Requests to a service whose listed servers all stand where the request may not be served, or in emptied data centres.
    std::uint64_t refusedForPlace = 0;
    /// Requests refused since there were no connections left for the servers that they need at once.
    std::uint64_t refusedForConnections = 0;
    /// Requests that were passed on to a peer, and those among them that the peer did not serve.
    std::uint64_t passedOn = 0;
    std::uint64_t passedOnFailed = 0;
    /// Requests that other instances passed on to this one and that were served.
    std::uint64_t servedForOthers = 0;
    /// Requests refused since they had no key, had one that no workspace holds, or came over the rate of their workspace.
    std::uint64_t refusedWithoutKey = 0;
    std::uint64_t refusedUnknownKey = 0;
    std::uint64_t refusedOverRate = 0;
    /// Requests refused since their route and their workspace may be served in no common region.
    std::uint64_t refusedNoRegion = 0;
};

/// One routing decision for a request, for the log.
struct RoutingEvent
{
    /// The decision: `hedge` or `retry`, `limit` if no server of the service may get the request, `place` if none is listed where the
    /// request may be served, or `crash` if a server broke off
    /// while the request was in progress there.
    const char *decision = "";
    const std::string &request;
    const std::string &service;
    /// The server that gets the request; empty if there is none.
    const std::string &server;
    /// The cause, in a few words; of a crash, the request's fingerprint.
    const std::string &reason;
    Duration age{0};
    /// The expected time until the server's answer, if there is one, and the expected work of the request if it is placed by cost.
    Duration expected{0};
    Duration work{0};
};

/// One request that was passed on to a peer, for the log.
struct PassOnEvent
{
    const std::string &request;
    const InstanceId &peer;
    /// Why the request was passed on.
    const std::string &reason;
    /// `passed`, `gathered`, `refused` or `failed` as the peer answered; `unable` if it could not help, `lost` if the connection to it
    /// failed, `late` if it had not answered at the deadline, or `cancelled`.
    std::string_view outcome;
    /// The peer's reason, or that of the lost connection.
    const std::string &detail;
    Duration took{0};
    /// The time since the request arrived.
    Duration age{0};
};

/// Receives the routing decisions for requests.
class RoutingJournal
{
public:
    virtual ~RoutingJournal() = default;
    virtual void note(const RoutingEvent &event) = 0;
    virtual void notePassedOn(const PassOnEvent &event) = 0;
};

/// The objects that all requests of an instance share.
struct RoutingContext
{
    Runtime &runtime;
    BackendRequests &backends;
    ServerTable &servers;
    ServerChoice &choice;
    ServerLoad &load;
    RepeatBudget &budget;
    CrashGuard &crashes;
    ServerReach &reach;
    RoutingCounters &counters;
    RoutingJournal &journal;
    PeerRequests &peers;
    PeerChoice &peerChoice;
};

/// After the instance was found to be cut off, takes back what failed since the last response of any server; once it is reached again,
/// disregards how long requests have waited. Neither says anything about the servers.
inline void disregardCut(const RoutingContext &context, const ReachChange &change)
{
    if (change.cutOff) {
        context.load.withdrawFailures();
        context.crashes.withdrawSince(context.reach.lastResponse(), context.runtime.now());
    } else {
        context.load.disregardWaits(context.runtime.now());
    }
}

} // namespace Burdock
