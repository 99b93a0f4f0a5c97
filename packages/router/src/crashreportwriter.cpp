#include <burdock/router/crashreportwriter.h>

#include <burdock/router/crashreportcodec.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// The minimum time between two hand-overs to other instances, and between two writes.
constexpr Duration PushInterval = std::chrono::milliseconds(50);
constexpr Duration WriteInterval = std::chrono::seconds(2);
constexpr Duration RetryDelay = std::chrono::milliseconds(500);

} // namespace

CrashReportWriter::CrashReportWriter(Runtime &runtime, Store &store, std::string key, const CrashGuard &guard, Push push, DecisionLog &log)
    : runtime_(runtime)
    , store_(store)
    , key_(std::move(key))
    , guard_(guard)
    , push_(std::move(push))
    , log_(log)
{
}

CrashReportWriter::~CrashReportWriter()
{
    *alive_ = false;
    runtime_.cancel(timer_);
}

void CrashReportWriter::onChanged(Duration clearingTime)
{
    urgent_ = urgent_ || clearingTime < CrashGuard::ClearingTime;
    scheduleWrite(std::max(runtime_.now() + clearingTime, pushedAt_ + PushInterval));
}

void CrashReportWriter::rewrite()
{
    if (hasWritten_) {
        written_.clear();
        onChanged(Duration{0});
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
        share();
    });
}

void CrashReportWriter::share()
{
    const std::vector<CrashReport> reports = guard_.reports(runtime_.now(), false);
    if (reports.size() < guard_.reports(runtime_.now()).size()) {
        scheduleWrite(runtime_.now() + CrashGuard::ClearingTime);
    }
    // Suspects that were cleared need no write: what others know of them expires.
    const bool allWritten = std::all_of(
        reports.begin(), reports.end(), [this](const CrashReport &report) { return std::find(written_.begin(), written_.end(), report) != written_.end(); });
    if (allWritten) {
        return;
    }
    if (std::exchange(urgent_, false)) {
        pushedAt_ = runtime_.now();
        push_(reports);
    }
    if (writing_) {
        changed_ = true;
    } else if (runtime_.now() < writtenAt_ + WriteInterval) {
        scheduleWrite(writtenAt_ + WriteInterval);
    } else {
        writtenAt_ = runtime_.now();
        write(reports);
    }
}

void CrashReportWriter::write(const std::vector<CrashReport> &reports)
{
    hasWritten_ = true;
    written_ = reports;
    writing_ = true;
    changed_ = false;
    StoreTransaction transaction;
    transaction.writes.push_back(StoreWrite{key_, writeCrashReports(reports, runtime_.wallNow()), 0});
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
            written_.clear();
            scheduleWrite(runtime_.now() + RetryDelay);
        } else if (changed_) {
            onChanged(Duration{0});
        }
    });
}

} // namespace Burdock
