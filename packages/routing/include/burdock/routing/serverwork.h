#pragma once

#include <burdock/routing/serverload.h>

#include <cstdint>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace Burdock
{

/// What a server says of its load in a response.
struct ToldLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    /// How long work takes there at this moment, as a multiple of the usual.
    double pace = 1;

    auto fields() const
    {
        return std::tie(running, waiting, slots, pace);
    }
};

/// Estimates the work that is left at servers, and the pace at which each of them works.
///
/// Load: servers of unequal speed; a server that turns slow or pauses; servers that say nothing of their load, or something untrue.
/// An instance knows what it has sent and has no answer to. What other instances have there shows in the pace, which is the time that
/// answers took as a multiple of what was expected, and in what the server tells. Both are forgotten soon, so that a server that was
/// slow is tried again. A server that tells less than it has is found out by its pace.
class ServerWork
{
public:
    /// The time constant with which a server's pace returns to the usual one in the absence of answers.
    static constexpr Duration PaceDecayTime = std::chrono::seconds(3);
    /// The time constant with which what a server told loses its weight: its queue is another one after a few requests.
    static constexpr Duration ToldDecayTime = std::chrono::milliseconds(200);

    /// Records what a server told in a response. `own` is the number of requests of this instance in flight there after it.
    void onTold(const ServerId &server, const ToldLoad &load, std::uint32_t own, TimePoint now);

    /// Records that a request took this long, network latency excluded, where `expected` was expected at the usual pace.
    void onAnswered(const ServerId &server, Duration took, Duration expected, TimePoint now);

    /// Returns the multiple of the usual time that work takes at the server.
    double pace(const ServerId &server, TimePoint now) const;

    /// Returns the work left of the requests in flight at a server: what they were expected to cost less what must be done by now. A
    /// request that exceeds its expectation is expected to last as long again as it has exceeded it.
    static Duration left(const std::vector<OpenRequest> &open, double pace, TimePoint now);

    /// Returns how long a request that is sent now is expected to wait for one of the slots. Unless the server has just told what it has
    /// from others, `instances` are expected to have as much there as this one, with random differences.
    Duration wait(const ServerId &server, std::uint32_t slots, const std::vector<OpenRequest> &open, std::size_t instances, TimePoint now) const;

    /// Returns the age of the oldest request in flight that has taken several times what it was expected to; zero if there is none.
    Duration overdue(const ServerId &server, const std::vector<OpenRequest> &open, TimePoint now) const;

    /// Drops the state of a server that was removed or has restarted.
    void forget(const ServerId &server);

private:
    struct Server
    {
        /// The logarithm of the pace as of `paceAt`.
        double logPace = 0;
        TimePoint paceAt{};
        ToldLoad told;
        /// The requests of other instances that the server told of.
        double others = 0;
        TimePoint toldAt = TimePoint::min();
    };

    std::unordered_map<ServerId, Server> servers_;
};

} // namespace Burdock
