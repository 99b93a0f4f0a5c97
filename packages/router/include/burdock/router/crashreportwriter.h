#pragma once

#include <burdock/router/decisionlog.h>
#include <burdock/routing/crashguard.h>
#include <burdock/store/store.h>
#include <burdock/values/runtime.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Burdock
{

/// Shares an instance's crash reports: writes them to the store, where the others read them, and hands urgent ones to those that
/// clients use, which is faster and needs no store. The key has no lease, so the reports outlast the process.
///
/// Load: each broken connection is a crash at first, and every call to the store costs. Urgent reports are written almost at once,
/// others only if the suspects are not cleared soon.
class CrashReportWriter
{
public:
    /// Hands reports to other instances; they may be lost on the way.
    using Push = std::function<void(const std::vector<CrashReport> &)>;

    CrashReportWriter(Runtime &runtime, Store &store, std::string key, const CrashGuard &guard, Push push, DecisionLog &log);
    ~CrashReportWriter();
    CrashReportWriter(const CrashReportWriter &) = delete;
    CrashReportWriter &operator=(const CrashReportWriter &) = delete;

    /// The reports have changed, and will be certain enough after the given time.
    void onChanged(Duration clearingTime);

    /// Whether this life of the instance has begun to write, so that what the store holds is its own.
    bool hasWritten() const
    {
        return hasWritten_;
    }

    /// Writes again what was written, since the store may have lost it.
    void rewrite();

private:
    void scheduleWrite(TimePoint at);
    void share();
    void write(const std::vector<CrashReport> &reports);

    Runtime &runtime_;
    Store &store_;
    const std::string key_;
    const CrashGuard &guard_;
    const Push push_;
    DecisionLog &log_;
    bool hasWritten_ = false;
    bool writing_ = false;
    /// Whether urgent reports were not pushed yet.
    bool urgent_ = false;
    /// Whether the reports changed while they were being written.
    bool changed_ = false;
    TimePoint pushedAt_{};
    TimePoint writtenAt_{};
    /// The reports of the last write.
    std::vector<CrashReport> written_;
    TimePoint due_{};
    TimerId timer_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Burdock
