#include <burdock/routing/serverwork.h>

#include <algorithm>
#include <cmath>

namespace Burdock
{

namespace
{

/// The weight of one answer in a server's pace, and the bounds of an answer as multiples of the pace.
constexpr double PaceWeight = 0.1;
constexpr double MinPaceStep = 0.33;
constexpr double MaxPaceStep = 3;
constexpr double MinPace = 0.25;
constexpr double MaxPace = 16;
/// The bounds of what is believed of the pace that a server tells.
constexpr double MinToldPace = 0.5;
constexpr double MaxToldPace = 4;

/// A request that takes more than this multiple of what was expected shows that its server is in trouble; single requests that take
/// five times as long are ordinary.
constexpr double OverdueMultiple = 8;
/// With more slots than this the wait depends on the load alone.
constexpr std::uint32_t MaxCountedSlots = 64;

/// Returns how many requests must end before another gets a slot, in the mean, where `others` is the mean of a Poisson distribution.
double expectedAhead(std::uint32_t slots, std::size_t own, double others)
{
    const auto free = static_cast<std::int64_t>(std::min(std::max(1U, slots), MaxCountedSlots)) - 1 - static_cast<std::int64_t>(own);
    double ahead = others - static_cast<double>(free);
    double probability = std::exp(-others);
    for (std::int64_t count = 0; count < free; ++count) {
        ahead += static_cast<double>(free - count) * probability;
        probability *= others / static_cast<double>(count + 1);
    }
    return std::max(ahead, 0.0);
}

double decayed(Duration age, Duration timeConstant)
{
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(timeConstant.count()));
}

} // namespace

void ServerWork::onTold(const ServerId &server, const ToldLoad &load, std::uint32_t own, TimePoint now)
{
    Server &state = servers_[server];
    state.told = load;
    state.others = std::max(0.0, static_cast<double>(load.running) + load.waiting - own);
    state.toldAt = now;
}

void ServerWork::onAnswered(const ServerId &server, Duration took, Duration expected, TimePoint now)
{
    Server &state = servers_[server];
    const double pace = std::exp(state.logPace * decayed(now - state.paceAt, PaceDecayTime));
    const double sample = static_cast<double>(std::max(took, Duration{1}).count()) / static_cast<double>(std::max(expected, Duration{1}).count());
    const double log = std::log(pace);
    const double step = std::log(std::clamp(sample, pace * MinPaceStep, pace * MaxPaceStep)) - log;
    state.logPace = std::clamp(log + PaceWeight * step, std::log(MinPace), std::log(MaxPace));
    state.paceAt = now;
}

double ServerWork::pace(const ServerId &server, TimePoint now) const
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return 1;
    }
    const Server &state = found->second;
    const double measured = std::exp(state.logPace * decayed(now - state.paceAt, PaceDecayTime));
    if (state.toldAt == TimePoint::min()) {
        return measured;
    }
    const double told = std::clamp(state.told.pace, MinToldPace, MaxToldPace);
    // The measured pace holds the told one in the mean, so only the excess over it counts.
    return std::max(measured, std::pow(told, decayed(now - state.toldAt, ToldDecayTime)));
}

Duration ServerWork::left(const std::vector<OpenRequest> &open, double pace, TimePoint now)
{
    Duration sum{0};
    for (const OpenRequest &request : open) {
        const Duration work(static_cast<Duration::rep>(static_cast<double>(request.work.count()) * pace));
        const Duration worked = now - request.sentAt - request.wait;
        sum += worked < work ? std::min(work - worked, work) : worked - work;
    }
    return sum;
}

Duration ServerWork::wait(const ServerId &server, std::uint32_t slots, const std::vector<OpenRequest> &open, std::size_t instances, TimePoint now) const
{
    const auto own = static_cast<double>(open.size());
    double others = own * (static_cast<double>(std::max<std::size_t>(instances, 1)) - 1);
    const auto found = servers_.find(server);
    if (found != servers_.end() && found->second.toldAt != TimePoint::min()) {
        const double weight = decayed(now - found->second.toldAt, ToldDecayTime);
        others = found->second.others * weight + others * (1 - weight);
    }
    const double each = own > 0 ? static_cast<double>(left(open, pace(server, now), now).count()) / own : 0;
    return Duration(static_cast<Duration::rep>(each / std::max(1U, slots) * expectedAhead(slots, open.size(), others)));
}

Duration ServerWork::overdue(const ServerId &server, const std::vector<OpenRequest> &open, TimePoint now) const
{
    const double pace = this->pace(server, now);
    Duration oldest{0};
    for (const OpenRequest &request : open) {
        const Duration age = now - request.sentAt;
        const double expected = static_cast<double>(request.work.count()) * pace + static_cast<double>(request.wait.count());
        if (static_cast<double>(age.count()) > expected * OverdueMultiple) {
            oldest = std::max(oldest, age);
        }
    }
    return oldest;
}

void ServerWork::forget(const ServerId &server)
{
    servers_.erase(server);
}

} // namespace Burdock
