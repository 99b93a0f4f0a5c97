#pragma once

#include "soakload.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace Burdock
{

/// A fault that a soak brought about, for the report.
struct PlayedFault
{
    std::string name;
    double from = 0;
    double until = 0;
};

/// Brings about faults by the seed: in series and overlapping, each of any kind, and lifts them after a while.
class SoakFaults
{
public:
    /// `only`: the one kind of fault to bring about; all kinds where it is empty.
    SoakFaults(SoakWorld &world, SoakLoad &load, SoakChecks &checks, std::uint64_t seed, std::string only);

    /// Whether there is a kind of fault of that name.
    static bool knows(const std::string &kind);
    ~SoakFaults();
    SoakFaults(const SoakFaults &) = delete;
    SoakFaults &operator=(const SoakFaults &) = delete;

    void start();

    /// Begins no more faults and lifts those that last.
    void end();

    const std::vector<PlayedFault> &played() const
    {
        return played_;
    }

private:
    struct Kind
    {
        const char *name;
        void (SoakFaults::*begin)();
    };
    static const std::vector<Kind> &kinds();

    void next();
    /// Runs `lift` later, or at the end.
    void lasting(Duration span, std::function<void()> lift);
    void lift(std::size_t fault);
    Duration between(int leastMs, int mostMs);
    std::string anyInstance();
    std::string anyServer();
    void serverFault(const nlohmann::json &fault, const nlohmann::json &repair);
    void storeFault(const nlohmann::json &transport, const nlohmann::json &repair);
    void proxyFault(ProxyMode mode);
    void restartWhenGone(const std::string &instance);

    void stopInstance();
    void killInstance();
    void killMany();
    void freezeInstance();
    void reloadInstance();
    void refuseStore();
    void hangStore();
    void slowStore();
    void loseStoreReplies();
    void compactStore();
    void silenceStoreLink();
    void resetStoreLink();
    void cutStoreLink();
    void delayServerLink();
    void silenceServerLink();
    void resetServerLink();
    void pauseServer();
    void fillServer();
    void failServer();
    void slowServer();
    void strayAnswers();
    void lateAnswers();
    void failService();
    void loseAnswers();
    void truncateAnswers();
    void killServerPort();
    void drainServer();
    void changeConfig();
    void reshard();
    void forgeEntry();

    SoakWorld &world_;
    SoakLoad &load_;
    SoakChecks &checks_;
    std::mt19937_64 random_;
    const std::string only_;
    const TimePoint started_;
    TimerId timer_ = 0;
    bool ended_ = false;
    std::vector<PlayedFault> played_;
    std::map<std::size_t, std::function<void()>> lifts_;
    std::map<std::size_t, TimerId> liftTimers_;
    std::set<std::string> busyInstances_;
    std::set<std::string> busyServers_;
};

} // namespace Burdock
