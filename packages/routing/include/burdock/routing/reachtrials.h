#pragma once

#include <burdock/routing/serverreach.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Burdock
{

/// While the instance is cut off, asks one server after the other for a response, so that its recovery shows without clients'
/// requests, which are served by other instances meanwhile. If that is only suspected, because few requests come or all go to one
/// service, asks servers of several services at once.
class ReachTrials
{
public:
    /// Asks a server's health path; calls `done` once with how that ended.
    using Ask = std::function<void(const ServerHandle &server, const std::string &path, Duration timeout, std::function<void(ReachOutcome)> done)>;

    ReachTrials(Runtime &runtime, const ServerTable &servers, ServerReach &reach, Ask ask, std::uint64_t seed);
    ~ReachTrials();
    ReachTrials(const ReachTrials &) = delete;
    ReachTrials &operator=(const ReachTrials &) = delete;

    /// Sets the services' health paths. Servers of services without one are not asked. If there is none to ask, a cut is taken to be
    /// over after the time of one trial, and clients' requests show whether it is.
    void setServices(const std::vector<RoutedService> &services);

    /// Starts or stops the trials after a change of the reach.
    void update();

    /// Asks several servers, unless it has done so just before. Returns whether there are any to ask.
    bool onSuspected();

    std::uint64_t count() const
    {
        return count_;
    }

private:
    void askNext();
    void askServer(const ServerHandle &server, Duration overdueAfter);
    std::vector<ServerHandle> askable();
    ServerHandle next();

    Runtime &runtime_;
    const ServerTable &servers_;
    ServerReach &reach_;
    const Ask ask_;
    std::mt19937_64 random_;
    std::unordered_map<ServiceName, std::string> paths_;
    /// The servers that have not been asked in this cut, in random order.
    std::vector<ServerHandle> unasked_;
    std::uint64_t count_ = 0;
    TimerId timer_ = 0;
    std::optional<TimePoint> suspectedAt_;
};

} // namespace Burdock
