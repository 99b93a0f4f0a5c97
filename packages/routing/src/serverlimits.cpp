#include <burdock/routing/serverlimits.h>

#include <utility>

namespace Burdock
{

namespace
{

/// The interval of the reports on a server while it names a limit.
constexpr Duration ReportInterval = std::chrono::seconds(4);

} // namespace

ServerLimits::ServerLimits(ReportHandler onReport)
    : onReport_(std::move(onReport))
{
}

void ServerLimits::onAnswer(const ServerEntry &server, std::optional<double> limit, TimePoint now)
{
    const auto found = servers_.find(server.id);
    if (!limit) {
        if (found != servers_.end()) {
            report(server, found->second, std::nullopt, now);
            servers_.erase(found);
        }
        return;
    }
    const bool first = found == servers_.end();
    Server &state = first ? servers_[server.id] : found->second;
    state.born = server.born;
    state.limit = *limit;
    if (first) {
        state.reportedAt = now;
    }
    if (first || now - state.reportedAt >= ReportInterval) {
        report(server, state, limit, now);
    }
}

void ServerLimits::report(const ServerEntry &entry, Server &server, std::optional<double> limit, TimePoint now)
{
    onReport_({entry.id, entry.service, limit, now - server.reportedAt, std::exchange(server.sends, 0), std::exchange(server.repeats, 0)});
    server.reportedAt = now;
}

void ServerLimits::onSent(const ServerId &server, bool repeat)
{
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
        ++found->second.sends;
        found->second.repeats += repeat ? 1 : 0;
    }
}

} // namespace Burdock
