#include "holderreporter.h"

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// A server's report is told at most this often.
constexpr Duration ReportPeriod = std::chrono::milliseconds(250);
/// A change of queue delay below both this span and a quarter of the old one is not told.
constexpr Duration ReportedDelayStep = std::chrono::milliseconds(1);
constexpr int ReportedDelayDivisor = 4;

bool worthTelling(const ServerReport &before, const ServerReport &after)
{
    if (before.draining != after.draining || before.ejected != after.ejected || before.versions != after.versions) {
        return true;
    }
    return std::any_of(AllRanks.begin(), AllRanks.end(), [&](Rank rank) {
        const Duration was = before.queueDelay[rankIndex(rank)];
        const Duration is = after.queueDelay[rankIndex(rank)];
        const Duration change = is > was ? is - was : was - is;
        return change > std::max(ReportedDelayStep, was / ReportedDelayDivisor);
    });
}

} // namespace

HolderReporter::HolderReporter(Runtime &runtime, Source source)
    : runtime_(runtime)
    , source_(std::move(source))
{
}

HolderReporter::~HolderReporter()
{
    for (const auto &[server, told] : told_) {
        runtime_.cancel(told.timer);
    }
}

void HolderReporter::setHandler(Handler handler)
{
    handler_ = std::move(handler);
}

void HolderReporter::touch(const ServerId &server)
{
    if (!handler_) {
        return;
    }
    Told &told = told_[server];
    if (told.timer != 0 || !worthTelling(told.report, source_(server))) {
        return;
    }
    const Duration wait = std::max(told.at + ReportPeriod - runtime_.now(), Duration{0});
    told.timer = runtime_.schedule(wait, [this, server] { tell(server); });
}

void HolderReporter::tell(const ServerId &server)
{
    Told &told = told_[server];
    told.timer = 0;
    told.report = source_(server);
    told.at = runtime_.now();
    const ServerReport report = told.report;
    handler_(report);
}

} // namespace Burdock
