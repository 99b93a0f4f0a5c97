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

    /// An instance was told to stop, or runs again.
    void setStopping(const std::string &instance, bool stopping);

    std::size_t open() const
    {
        return open_.size();
    }

private:
    struct Open
    {
        Asked asked;
        bool stoppedMeanwhile = false;
    };

    void sendNext();
    void send(const Asked &asked);
    void refresh();
    void told(const std::string &body);
    std::string chooseInstance();

    SoakWorld &world_;
    SoakChecks &checks_;
    std::mt19937_64 random_;
    const Duration pause_;
    TimerId sendTimer_ = 0;
    TimerId refreshTimer_ = 0;
    std::uint64_t last_ = 0;
    std::map<std::string, std::string> names_;
    std::vector<std::string> usable_;
    std::set<std::string> stopping_;
    std::map<std::uint64_t, Open> open_;
};

} // namespace Burdock
