#pragma once

#include "soakload.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace Burdock
{

/// An injected fault, for the report; times in seconds since the soak started.
struct InjectedFault
{
    std::string name;
    double from = 0;
    double until = 0;
};

/// Injects random faults from a seed, one after another and overlapping, and lifts each after a random time.
class SoakFaults
{
public:
    /// `only` restricts the soak to one kind of fault; empty allows all kinds.
    SoakFaults(SoakWorld &world, SoakLoad &load, SoakChecks &checks, std::uint64_t seed, std::string only);

    /// Whether `kind` names a known kind of fault.
    static bool hasKind(const std::string &kind);
    ~SoakFaults();
    SoakFaults(const SoakFaults &) = delete;
    SoakFaults &operator=(const SoakFaults &) = delete;

    void start();

    /// Replaces the instances one by one within the span, if there is an earlier build.
    void replaceAll(Duration span);

    /// Stops injecting faults and lifts the active ones.
    void stop();

    const std::vector<InjectedFault> &injected() const
    {
        return injected_;
    }

private:
    struct Kind
    {
        const char *name;
        void (SoakFaults::*inject)();
    };
    static const std::vector<Kind> &kinds();

    void injectNext();
    /// Calls `lift` after `span`, or when the faults are stopped.
    void liftAfter(Duration span, std::function<void()> lift);
    void liftFault(std::size_t fault);
    Duration randomDuration(int minMs, int maxMs);
    /// Reserves an instance that no other fault uses; returns an empty string if as many random draws as there are instances find none.
    std::string acquireRandomInstance();
    /// Reserves a server that no other fault uses; returns an empty string if as many random draws as there are servers find none.
    std::string acquireRandomServer();
    void injectServerFault(const nlohmann::json &fault, const nlohmann::json &repair);
    void injectStoreFault(const nlohmann::json &transport, const nlohmann::json &repair);
    void injectStoreLinkFault(ProxyMode mode);
    /// Polls until the process has exited, then starts the instance again.
    void restartAfterExit(const std::string &instance);

    /// Stops an instance as planned work does, and starts it again.
    void stop(const std::string &instance);
    /// Replaces the next instance by one of the other build.
    void replaceNext();

    void stopInstance();
    void killInstance();
    void killHalf();
    void freezeInstance();
    void cutInstancesOff();
    void reloadInstance();
    void refuseStore();
    void hangStore();
    void slowStore();
    void loseStoreReplies();
    void compactStore();
    void restoreStore();
    void blackholeStoreLink();
    void resetStoreLink();
    void holdStoreResponses();
    void delayServerLink();
    void blackholeServerLink();
    void resetServerLink();
    void pauseServer();
    void saturateServer();
    void limitService();
    void turnAway();
    void announceLeaving();
    void sendDeadlyRequest();
    void failServer();
    void slowServer();
    void sendStrayAnswers();
    void sendEarlierAnswers();
    void failService();
    void loseAnswers();
    void truncateAnswers();
    void refuseServerConnections();
    void drainServer();
    void changeConfig();
    void reshard();
    void forgeEntry();
    void withdrawKey();
    void changeRate();
    void sendHot();

    SoakWorld &world_;
    SoakLoad &load_;
    SoakChecks &checks_;
    std::mt19937_64 random_;
    const std::string onlyKind_;
    const TimePoint started_;
    TimerId timer_ = 0;
    Duration replaceInterval_{0};
    std::size_t replaced_ = 0;
    TimerId replaceTimer_ = 0;
    bool stopped_ = false;
    bool rateChanges_ = false;
    bool isHot_ = false;
    std::vector<InjectedFault> injected_;
    std::map<std::size_t, std::function<void()>> lifts_;
    std::map<std::size_t, TimerId> liftTimers_;
    std::set<std::string> busyInstances_;
    std::set<std::string> busyServers_;
};

} // namespace Burdock
