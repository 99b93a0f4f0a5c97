#pragma once

#include "soakchecks.h"

#include <map>
#include <random>
#include <set>

namespace Burdock
{

/// Simulates clients that resolve the instances through the directory, cache the answer and send requests at a steady rate.
class SoakLoad
{
public:
    SoakLoad(SoakWorld &world, SoakChecks &checks, std::uint64_t seed, int requestsPerSecond);
    ~SoakLoad();
    SoakLoad(const SoakLoad &) = delete;
    SoakLoad &operator=(const SoakLoad &) = delete;

    /// Starts sending requests and resolving instances.
    void start();
    /// Stops sending; requests in flight still finish.
    void stop();

    /// Records that SIGTERM was sent to an instance, or that it was started again.
    void setStopping(const std::string &instance, bool stopping);

    /// From now on one workspace sends many times its usual, all to one instance or, with an empty name, to random ones.
    void startHot(std::string instance);
    void stopHot();

    /// The number of requests without an answer so far.
    std::size_t inFlight() const
    {
        return inFlight_.size();
    }

private:
    struct OpenRequest
    {
        SoakRequest request;
        bool stopBeganInFlight = false;
    };

    void sendNext();
    void sendHot();
    void send(const SoakRequest &request);
    void refreshInstances();
    void onResolved(const std::string &body);
    std::string chooseInstance();

    SoakWorld &world_;
    SoakChecks &checks_;
    std::mt19937_64 random_;
    const Duration sendInterval_;
    TimerId sendTimer_ = 0;
    TimerId refreshTimer_ = 0;
    TimerId hotTimer_ = 0;
    std::string hotInstance_;
    std::uint64_t lastId_ = 0;
    std::map<std::string, std::string> instancesByAddress_;
    std::vector<std::string> resolvedInstances_;
    std::set<std::string> stoppingInstances_;
    std::map<std::uint64_t, OpenRequest> inFlight_;
};

} // namespace Burdock
