#pragma once

#include <burdock/routing/requestfingerprint.h>
#include <burdock/values/names.h>
#include <burdock/values/runtime.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Burdock
{

/// What an instance has seen of a request that was in progress when servers crashed.
struct CrashReport
{
    RequestFingerprint request;
    /// The number of servers that crashed while it was in progress there.
    std::uint32_t crashes = 0;
    /// The number among these at which it was the only suspect that the instance had sent.
    std::uint32_t alone = 0;

    auto fields() const
    {
        return std::tie(request, crashes, alone);
    }
};

/// An attempt during which its server broke off.
struct CrashedAttempt
{
    ServerId server;
    /// Whether it was the only suspect that the instance had sent there.
    bool alone = false;
};

/// Knows which requests crash the servers that run them, from crashes that this instance and the others saw.
///
/// Load: a request that crashes each server that begins to run it, and comes again under other ids at any instance, beside innocent
/// requests that were in progress at the same servers. All that were in progress at a crash are suspects. A suspect is repeated, but
/// at one server at a time, and an answer clears it. One that crashed two servers as the only suspect there is guilty and is not sent
/// any more. Instances share their reports, so what one has learned holds for all, and for those that restart.
///
/// The memory is bounded: the reports whose last evidence is oldest are dropped first, those of the guilty last.
class CrashGuard
{
public:
    enum class Verdict { Clear, Suspect, Guilty };

    /// `onChanged` is called when the reports to share have changed, with the time after which they will be certain enough.
    using ChangeHandler = std::function<void(Duration)>;

    explicit CrashGuard(ChangeHandler onChanged = [](Duration) {});

    Verdict judge(const RequestFingerprint &request, TimePoint now) const;

    /// Whether a request has just crashed several servers, here or elsewhere. It may be on its way to any instance, so even unknown
    /// requests are sent to one server at first.
    bool isAlarmed(TimePoint now) const
    {
        return now < std::max(ownAlarmUntil_, othersAlarmUntil_);
    }

    /// A suspect was sent to the server, or has ended there. `onSuspectSent` returns whether it is the only one.
    bool onSuspectSent(const ServerId &server);
    void onSuspectEnded(const ServerId &server);

    /// Whether a suspect is in progress at the server.
    bool hasSuspect(const ServerId &server) const;

    /// Servers broke off while the request was in progress there.
    void onCrash(const RequestFingerprint &request, const std::vector<CrashedAttempt> &attempts, TimePoint now);

    /// A server answered a request that was sent to it at the given time. If that was soon after it had broken off, it had not
    /// crashed, but only lost a connection, and what was in progress there is no suspect for it.
    void onServerAnswered(const ServerId &server, TimePoint sentAt);

    /// A server has run the request and answered.
    void onAnswered(const RequestFingerprint &request);

    /// Takes back the crashes that this instance has seen since the given time: it had lost its connections to all servers.
    void withdrawSince(TimePoint since, TimePoint now);

    /// When crashes were last taken back.
    TimePoint withdrawnAt() const
    {
        return withdrawnAt_;
    }

    /// Returns what this instance has seen, the guilty and then the latest first. Without `withUncertain`, requests that an answer
    /// may still clear soon are left out.
    std::vector<CrashReport> reports(TimePoint now, bool withUncertain = true) const;

    /// A guilty request is tried again, at one server, this long after its last crash: the servers may have been mended, or may have
    /// crashed for another reason at the same time.
    static constexpr Duration GuiltyTime = std::chrono::minutes(2);

    /// The time that suspects of a single crash are given to be cleared before they are shared.
    static constexpr Duration ClearingTime = std::chrono::seconds(2);

    /// Adds what another instance has seen.
    void addReports(const InstanceId &from, const std::vector<CrashReport> &reports, TimePoint now);

    /// Adds what this instance has seen before it restarted.
    void adoptReports(const std::vector<CrashReport> &reports, TimePoint now);

    std::size_t size() const
    {
        return cases_.size();
    }

    static constexpr std::size_t MaxShared = 32;

private:
    struct Case
    {
        CrashReport own;
        std::map<InstanceId, CrashReport> others;
        TimePoint evidenceAt{};
        /// Whether so many servers broke off together that the network may have been the cause.
        bool doubtful = false;

        std::uint32_t alone() const;
        Duration clearingTime() const;
    };

    static void alarm(TimePoint &until, const CrashReport &report, TimePoint now);
    void noteLoss(const CrashedAttempt &attempt, const RequestFingerprint &request, TimePoint now);
    void withdraw(const RequestFingerprint &request, bool alone);
    bool isExpired(const Case &suspect, TimePoint now) const;
    Case &caseOf(const RequestFingerprint &request, TimePoint now);
    void dropOldest(TimePoint now);

    const ChangeHandler onChanged_;
    std::unordered_map<RequestFingerprint, Case> cases_;
    std::unordered_map<ServerId, std::uint32_t> suspectsAt_;
    /// When a server last broke off, and the requests that were in progress there.
    struct Loss
    {
        TimePoint at{};
        std::vector<std::pair<RequestFingerprint, bool>> requests;
    };
    std::unordered_map<ServerId, Loss> losses_;
    /// The servers that broke off since the last answer of any server.
    std::set<ServerId> lostTogether_;
    TimePoint ownAlarmUntil_{};
    TimePoint othersAlarmUntil_{};
    TimePoint withdrawnAt_{};
};

} // namespace Burdock
