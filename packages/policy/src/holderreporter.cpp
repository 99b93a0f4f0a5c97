#include "holderreporter.h"

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// Minimum interval between two published reports of one server.
constexpr Duration ReportPeriod = std::chrono::milliseconds(250);
/// A change of the queue delay is published if it exceeds both this step and a quarter of the last published delay.
constexpr Duration ReportedDelayStep = std::chrono::milliseconds(1);
constexpr int ReportedDelayDivisor = 4;

bool isSignificantChange(const ServerReport &before, const ServerReport &after)
{
    if (before.draining != after.draining || before.ejected != after.ejected || before.versions != after.versions) {
        return true;
    }
    return std::any_of(AllRanks.begin(), AllRanks.end(), [&](Rank rank) {
        const Duration previous = before.queueDelay[rankIndex(rank)];
        const Duration current = after.queueDelay[rankIndex(rank)];
        const Duration change = current > previous ? current - previous : previous - current;
        return change > std::max(ReportedDelayStep, previous / ReportedDelayDivisor);
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
    for (const auto &[server, published] : published_) {
        runtime_.cancel(published.timer);
    }
}

void HolderReporter::setHandler(Handler handler)
{
    handler_ = std::move(handler);
}

void HolderReporter::update(const ServerId &server)
{
    if (!handler_) {
        return;
    }
    Published &published = published_[server];
    if (published.timer != 0 || !isSignificantChange(published.report, source_(server))) {
        return;
    }
    const Duration wait = std::max(published.at + ReportPeriod - runtime_.now(), Duration{0});
    published.timer = runtime_.schedule(wait, [this, server] { publish(server); });
}

void HolderReporter::publish(const ServerId &server)
{
    Published &published = published_[server];
    published.timer = 0;
    published.report = source_(server);
    published.at = runtime_.now();
    const ServerReport report = published.report;
    handler_(report);
}

} // namespace Burdock
