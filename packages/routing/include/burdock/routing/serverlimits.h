#pragma once

#include <burdock/policy/tokenbucket.h>
#include <burdock/routing/servertable.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace Burdock
{

/// How much of a server's limit the instances divide among them, and how they learn of its changes.
struct LimitTerms
{
    /// The fraction of a limit that is divided; the rest covers instances that disagree on how many they are.
    double dividedFraction = 0.9;
    /// The tokens that an instance may save up, as the time in which it gains them; at least one.
    Duration burstTime = std::chrono::milliseconds(500);
    /// An instance saves up one token at least, so the number of instances that share a limit is at most this multiple of its value
    /// plus this many.
    double sharersPerLimit = 1;
    double extraSharers = 2;
    /// Whether the limit is known from the answers to requests, so that too few of them would leave a change unheard.
    bool isNamedInAnswers = true;

    /// Returns terms with which the requests in any second stay within (1 + `overage`) times a limit plus `slack`, for limits that do not
    /// come with answers.
    static LimitTerms within(double overage, double slack);

    auto fields() const
    {
        return std::tie(dividedFraction, burstTime, sharersPerLimit, extraSharers, isNamedInAnswers);
    }
};

/// What an instance knows of a server's limit, and what it did there since the previous report.
struct LimitReport
{
    ServerId server;
    ServiceName service;
    /// The requests per second that the server takes from all instances together; unset once the server no longer names a limit.
    std::optional<double> limit;
    /// The requests per second that this instance may send, and the number of instances that share the limit.
    double share = 0;
    std::size_t sharers = 0;
    /// The time since the previous report; zero in the first one.
    Duration span{0};
    std::uint64_t sends = 0;
    /// How many of these were retries or hedges.
    std::uint64_t repeats = 0;
    /// How many requests were refused because all servers of the service were at their limits.
    std::uint64_t refusals = 0;
};

/// Divides the limits that servers in need name in their answers among the instances, and decides who may send to such a server.
///
/// Load: servers that take fewer requests than they get, while instances start, stop and disagree on how many they are. A limit
/// holds for all instances together, and none knows what the others send. Each therefore has a token bucket for each limited
/// server, which starts empty, gains its part of the limit and dies with the process; docs/notes/serverlimits.md has the
/// derivation. Every request takes a token, whether it is the first, a retry or a hedge. While urgent requests are refused,
/// less urgent ones get a small fraction of the tokens, and repeats none.
class ServerLimits
{
public:
    /// Called when a server begins or ends to name a limit, and at intervals in between.
    using ReportHandler = std::function<void(const LimitReport &)>;

    ServerLimits(InstanceId self, ReportHandler onReport, const LimitTerms &terms = {});

    /// Sets the instances that clients are directed to; none while they are not known. An instance that is no longer among them
    /// counts for a while, since some clients still use it.
    void setSenders(const std::vector<InstanceId> &senders, TimePoint now);

    /// Forgets the limit of an earlier process under the same id.
    void onListed(const ServerEntry &server);

    /// The server has left the table; its limit is kept for a while, since the entry may return.
    void onRemoved(const ServerId &server, TimePoint now);

    /// Records an answer of the server and the limit that it names, in requests per second, if any.
    void onAnswer(const ServerEntry &server, std::optional<double> limit, TimePoint now);

    /// Whether a request of the priority may be sent to the server now.
    bool allows(const ServerId &server, std::int64_t priority, bool repeat, TimePoint now);

    /// Takes a token for a request that is sent to the server.
    void onSent(const ServerId &server, std::int64_t priority, bool repeat, TimePoint now);

    /// Records that a request was refused because none of the servers allowed it, and returns the time until one of them can take
    /// it, behind those refused before it; zero if one of them names no limit, or if this instance shares none of their limits.
    Duration refuse(const std::vector<ServerHandle> &servers, std::int64_t priority, TimePoint now);

    /// Whether any server names a limit.
    bool any() const
    {
        return !servers_.empty();
    }

    /// Returns the number of servers that name a limit.
    std::size_t count() const
    {
        return servers_.size();
    }

private:
    struct Server
    {
        std::int64_t born = 0;
        double limit = 0;
        /// The requests per second that this instance may send, with the sharers and the version of the senders it was worked out for.
        double share = 0;
        std::size_t sharers = 0;
        std::uint64_t sendersVersion = 0;
        TokenBucket bucket{0, 0};
        TimePoint updated{};
        TimePoint heardAt{};
        TimePoint sentAt{};
        std::optional<TimePoint> removedAt;
        /// When a request of each priority was last refused.
        std::map<std::int64_t, TimePoint> refusedAt;
        /// Sends of more urgent requests since the last one of the least urgent priority that is held back.
        std::uint32_t urgentSends = 0;
        /// The time up to which tokens are promised to refused requests.
        TimePoint promisedUntil{};
        LimitReport report;
        TimePoint reportedAt{};
    };

    void report(Server &server, std::optional<double> limit, TimePoint now);
    void forgetOldSenders(TimePoint now);
    void forgetRemovedServers(TimePoint now);
    /// Returns the time without an answer after which this instance sends a request to a server of which it has no share.
    Duration probeInterval(const ServerId &server) const;
    /// Moves the server's bucket to `now` and divides the limit anew if the limit or the senders have changed.
    void advance(const ServerId &id, Server &server, TimePoint now);
    void divide(const ServerId &id, Server &server) const;
    bool isSettled(TimePoint now) const;
    /// Whether the server should answer before it gets another request, since the limit may have changed unheard.
    bool isAnswerAwaited(const Server &server, TimePoint now) const;
    /// Whether a more urgent request was refused a short time ago.
    static bool isHeldBack(const Server &server, std::int64_t priority, TimePoint now);

    const InstanceId self_;
    const ReportHandler onReport_;
    const LimitTerms terms_;
    /// The instances that share the limits, each with the time at which it stops counting, if it is no longer a sender.
    std::map<InstanceId, std::optional<TimePoint>> senders_;
    /// A time before which none of them stops counting.
    TimePoint nextExpiry_ = TimePoint::max();
    std::uint64_t sendersVersion_ = 1;
    std::optional<TimePoint> knownSince_;
    std::unordered_map<ServerId, Server> servers_;
};

} // namespace Burdock
