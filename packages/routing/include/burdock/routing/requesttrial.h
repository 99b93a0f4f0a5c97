#pragma once

#include <burdock/routing/crashguard.h>
#include <burdock/routing/servertable.h>

#include <deque>
#include <functional>

namespace Burdock
{

/// Collects how the attempts of one request ended, and decides when they may be sent while it, or any request, is suspected of
/// crashing servers: one at a time, until a server has answered it. Shared by the calls of a request to several shards.
class RequestTrial
{
public:
    enum class Outcome { Answered, Crashed, Other };

    RequestTrial(CrashGuard &guard, const RequestFingerprint &request, TimePoint now);
    ~RequestTrial();
    RequestTrial(const RequestTrial &) = delete;
    RequestTrial &operator=(const RequestTrial &) = delete;

    /// Whether attempts may be sent side by side.
    bool isFree() const
    {
        return !cautious_ || answered_;
    }

    /// Whether another attempt may be sent now.
    bool mayStart() const
    {
        return isFree() || inFlight_ == 0;
    }

    /// Whether the request is known to crash the servers that run it, and must not be sent any more.
    bool isGuilty(TimePoint now) const;

    /// Calls `resume` once another attempt may be sent. It is called from `resumeWaiting`.
    void wait(std::function<void()> resume);
    void resumeWaiting();

    void onSent(const ServerId &server);
    /// Notes how an attempt ended.
    void onEnded(const ServerId &server, Outcome outcome, TimePoint now);

    const RequestFingerprint &fingerprint() const
    {
        return request_;
    }

private:
    /// An attempt that was sent while the request was a suspect.
    struct Exposure
    {
        ServerId server;
        bool alone = false;
    };

    /// Reports the crashes once they are too many for an innocent request: of a request to many shards a few servers may crash at
    /// the same time by chance, and the others soon answer.
    void reportCrashes(TimePoint now);

    CrashGuard &guard_;
    const RequestFingerprint request_;
    bool suspect_ = false;
    bool cautious_ = false;
    bool answered_ = false;
    std::size_t inFlight_ = 0;
    std::size_t sent_ = 0;
    std::size_t crashed_ = 0;
    std::vector<CrashedAttempt> unreported_;
    TimePoint lastCrash_{};
    std::vector<Exposure> exposures_;
    std::deque<std::function<void()>> waiting_;
};

} // namespace Burdock
