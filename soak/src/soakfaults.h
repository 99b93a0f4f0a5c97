#pragma once

#include "soakload.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace Burdock
{

/// A fault that a soak brought about, for the report.
struct InjectedFault
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
    static bool hasKind(const std::string &kind);
    ~SoakFaults();
    SoakFaults(const SoakFaults &) = delete;
    SoakFaults &operator=(const SoakFaults &) = delete;

    void start();

    /// Begins no more faults and lifts those that last.
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
    /// Runs `lift` later, or at the end.
    void liftAfter(Duration span, std::function<void()> lift);
    void liftFault(std::size_t fault);
    Duration randomDuration(int minMs, int maxMs);
    std::string acquireRandomInstance();
    std::string acquireRandomServer();
    void injectServerFault(const nlohmann::json &fault, const nlohmann::json &repair);
    void injectStoreFault(const nlohmann::json &transport, const nlohmann::json &repair);
    void injectStoreLinkFault(ProxyMode mode);
    void restartAfterExit(const std::string &instance);

    void stopInstance();
    void killInstance();
    void killHalf();
    void freezeInstance();
    void reloadInstance();
    void refuseStore();
    void hangStore();
    void slowStore();
    void loseStoreReplies();
    void compactStore();
    void blackholeStoreLink();
    void resetStoreLink();
    void holdStoreResponses();
    void delayServerLink();
    void blackholeServerLink();
    void resetServerLink();
    void pauseServer();
    void saturateServer();
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

    SoakWorld &world_;
    SoakLoad &load_;
    SoakChecks &checks_;
    std::mt19937_64 random_;
    const std::string onlyKind_;
    const TimePoint started_;
    TimerId timer_ = 0;
    bool stopped_ = false;
    std::vector<InjectedFault> injected_;
    std::map<std::size_t, std::function<void()>> lifts_;
    std::map<std::size_t, TimerId> liftTimers_;
    std::set<std::string> busyInstances_;
    std::set<std::string> busyServers_;
};

} // namespace Burdock
