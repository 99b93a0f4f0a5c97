#pragma once

#include <burdock/routing/servertable.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

namespace Burdock
{

/// What an instance knows of a server's limit, and what it sent there since the previous report.
struct LimitReport
{
    ServerId server;
    ServiceName service;
    /// The requests per second that the server takes from all instances together; unset once the server no longer names a limit.
    std::optional<double> limit;
    /// The time since the previous report; zero in the first one.
    Duration span{0};
    std::uint64_t sends = 0;
    /// How many of these were retries or hedges.
    std::uint64_t repeats = 0;
};

/// Tracks the limits that servers in need name in their answers.
class ServerLimits
{
public:
    /// Called when a server begins or ends to name a limit, and at intervals in between.
    using ReportHandler = std::function<void(const LimitReport &)>;

    explicit ServerLimits(ReportHandler onReport);

    /// Records an answer of the server and the limit that it names, in requests per second, if any.
    void onAnswer(const ServerEntry &server, std::optional<double> limit, TimePoint now);

    /// Counts a request that was sent to the server.
    void onSent(const ServerId &server, bool repeat);

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
        TimePoint reportedAt{};
        std::uint64_t sends = 0;
        std::uint64_t repeats = 0;
    };

    void report(const ServerEntry &entry, Server &server, std::optional<double> limit, TimePoint now);

    const ReportHandler onReport_;
    std::unordered_map<ServerId, Server> servers_;
};

} // namespace Burdock
