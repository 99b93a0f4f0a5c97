#include <burdock/router/crashreportwriter.h>

#include <burdock/router/crashreportcodec.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// The minimum time between writes: of reports that another instance needs at once, and of others.
constexpr Duration UrgentInterval = std::chrono::milliseconds(50);
constexpr Duration Interval = std::chrono::seconds(1);
constexpr Duration RetryDelay = std::chrono::milliseconds(500);

} // namespace

CrashReportWriter::CrashReportWriter(Runtime &runtime, Store &store, std::string key, const CrashGuard &guard, DecisionLog &log)
    : runtime_(runtime)
    , store_(store)
    , key_(std::move(key))
    , guard_(guard)
    , log_(log)
{
}

CrashReportWriter::~CrashReportWriter()
{
    *alive_ = false;
    runtime_.cancel(timer_);
}

void CrashReportWriter::onChanged(bool urgent)
{
    if (writing_) {
        changed_ = true;
        return;
    }
    scheduleWrite(std::max(runtime_.now(), writtenAt_ + (urgent ? UrgentInterval : Interval)));
}

void CrashReportWriter::rewrite()
{
    if (hasWritten_) {
        onChanged(true);
    }
}

void CrashReportWriter::scheduleWrite(TimePoint at)
{
    if (timer_ != 0 && due_ <= at) {
        return;
    }
    runtime_.cancel(timer_);
    due_ = at;
    timer_ = runtime_.schedule(at - runtime_.now(), [this] {
        timer_ = 0;
        write();
    });
}

void CrashReportWriter::write()
{
    const std::vector<CrashReport> reports = guard_.reports(runtime_.now());
    if (reports.empty() && !hasWritten_) {
        return;
    }
    hasWritten_ = true;
    writing_ = true;
    changed_ = false;
    writtenAt_ = runtime_.now();
    StoreTransaction transaction;
    transaction.writes.push_back(StoreWrite{key_, writeCrashReports(reports), 0});
    store_.commit(std::move(transaction), [this, count = reports.size(), alive = alive_](const Result<StoreCommit> &commit) {
        if (!*alive) {
            return;
        }
        writing_ = false;
        log_.write(DecisionPriority::Change,
                   "crashes.shared",
                   {{"requests", static_cast<std::int64_t>(count)},
                    {"outcome", commit ? std::string_view("written") : std::string_view("failed")},
                    {"reason", commit ? std::string_view() : std::string_view(commit.error().message)}});
        if (!commit) {
            scheduleWrite(runtime_.now() + RetryDelay);
        } else if (changed_) {
            onChanged(true);
        }
    });
}

} // namespace Burdock
