#pragma once

#include "soakchecks.h"

#include <map>
#include <random>
#include <set>

namespace Burdock
{

/// Clients: they ask which instances to use, keep the answer for a while, and send requests there at a steady rate.
class SoakLoad
{
public:
    SoakLoad(SoakWorld &world, SoakChecks &checks, std::uint64_t seed, int requestsPerSecond);
    ~SoakLoad();
    SoakLoad(const SoakLoad &) = delete;
    SoakLoad &operator=(const SoakLoad &) = delete;

    void start();
    void stop();

    /// An instance was onResolved to stop, or runs again.
    void setStopping(const std::string &instance, bool stopping);

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
    std::uint64_t lastId_ = 0;
    std::map<std::string, std::string> instancesByAddress_;
    std::vector<std::string> resolvedInstances_;
    std::set<std::string> stoppingInstances_;
    std::map<std::uint64_t, OpenRequest> inFlight_;
};

} // namespace Burdock
