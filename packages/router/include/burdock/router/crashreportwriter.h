#pragma once

#include <burdock/router/decisionlog.h>
#include <burdock/routing/crashguard.h>
#include <burdock/store/store.h>
#include <burdock/values/runtime.h>

#include <memory>
#include <string>

namespace Burdock
{

/// Writes an instance's crash reports to the store, where the others read them. The key has no lease, so the reports outlast the
/// process.
///
/// Load: each broken connection is a crash at first, and every call to the store costs. Urgent reports are written almost at once,
/// others at intervals.
class CrashReportWriter
{
public:
    CrashReportWriter(Runtime &runtime, Store &store, std::string key, const CrashGuard &guard, DecisionLog &log);
    ~CrashReportWriter();
    CrashReportWriter(const CrashReportWriter &) = delete;
    CrashReportWriter &operator=(const CrashReportWriter &) = delete;

    /// The reports have changed.
    void onChanged(bool urgent);

    /// Whether this life of the instance has begun to write, so that what the store holds is its own.
    bool hasWritten() const
    {
        return hasWritten_;
    }

    /// Writes again what was written, since the store may have lost it.
    void rewrite();

private:
    void scheduleWrite(TimePoint at);
    void write();

    Runtime &runtime_;
    Store &store_;
    const std::string key_;
    const CrashGuard &guard_;
    DecisionLog &log_;
    bool hasWritten_ = false;
    bool writing_ = false;
    /// Whether the reports changed while they were being written.
    bool changed_ = false;
    TimePoint writtenAt_{};
    TimePoint due_{};
    TimerId timer_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Burdock
