#include <burdock/routing/repeatbudget.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// The number of slices of the window in which requests are counted.
constexpr std::int64_t SlicesPerWindow = 20;
/// The fractions of the ratio that become tokens at once and that become capacity for one window. Their sum stays below 1: the
/// rest covers requests that are counted here a little later than they were sent.
constexpr double TokenRatioFraction = 0.8;
constexpr double CapacityRatioFraction = 0.15;
/// The fractions of the slack that accrue per window and that become capacity. The rest covers instances that disagree on how
/// many they are, and those that clients are not directed to.
constexpr double TokenSlackFraction = 0.35;
constexpr double CapacitySlackFraction = 0.25;
/// The fraction of its slack that an instance has from its start, so that its first requests can be hedged.
constexpr double InitialSlackFraction = 0.1;
/// No slack accrues in the first time of a life, when instances that restart together may not know each other yet.
constexpr Duration SettlingTime = std::chrono::seconds(2);

} // namespace

RepeatBudget::RepeatBudget(const RepeatTerms &terms, TimePoint started)
    : terms_(terms)
    , started_(started)
{
}

void RepeatBudget::setTerms(const RepeatTerms &terms)
{
    if (terms.window != terms_.window) {
        // Slices of different lengths cannot be compared, so counting restarts.
        accounts_.clear();
    }
    terms_ = terms;
}

void RepeatBudget::setInstances(std::size_t instances, TimePoint now)
{
    const std::size_t count = std::max<std::size_t>(instances, 1);
    while (!instances_.empty() && instances_.back().second < count) {
        instances_.pop_back();
    }
    if (instances_.empty() || instances_.back().second != count) {
        instances_.emplace_back(now, count);
    }
    forgetOldCounts(now);
}

void RepeatBudget::forgetOldCounts(TimePoint now)
{
    // A number is in force until the next one was set, so it expires a window after that.
    while (instances_.size() > 1 && instances_[1].first + terms_.window <= now) {
        instances_.pop_front();
    }
}

double RepeatBudget::slackShare() const
{
    return terms_.slack / static_cast<double>(instances_.empty() ? 1 : instances_.front().second);
}

std::int64_t RepeatBudget::sliceAt(TimePoint time) const
{
    return time.time_since_epoch() / (terms_.window / SlicesPerWindow);
}

void RepeatBudget::step(Account &account, TimePoint now) const
{
    const TimePoint accruesFrom = std::max(account.updated, started_ + SettlingTime);
    if (now > accruesFrom) {
        const double windows = static_cast<double>((now - accruesFrom).count()) / static_cast<double>(terms_.window.count());
        account.bucket.add(slackShare() * TokenSlackFraction * windows);
    }
    account.updated = std::max(account.updated, now);
    while (!account.slices.empty() && account.slices.front().index <= sliceAt(now) - SlicesPerWindow) {
        account.requests -= account.slices.front().requests;
        account.slices.pop_front();
    }
    account.bucket.setCapacity(slackShare() * CapacitySlackFraction + terms_.ratio * CapacityRatioFraction * static_cast<double>(account.requests));
}

void RepeatBudget::advance(Account &account, TimePoint now) const
{
    // Slice by slice, so that tokens above the capacity of an earlier moment are lost even if requests have come since.
    const Duration slice = terms_.window / SlicesPerWindow;
    account.updated = std::max(account.updated, now - terms_.window);
    while (now - account.updated > slice) {
        step(account, account.updated + slice);
    }
    step(account, now);
}

RepeatBudget::Account &RepeatBudget::accountOf(const ServiceName &service, TimePoint now)
{
    forgetOldCounts(now);
    const auto [found, added] = accounts_.try_emplace(service);
    Account &account = found->second;
    if (added) {
        account.updated = started_;
        const double initial = instances_.empty() ? 0 : slackShare() * InitialSlackFraction;
        account.bucket = TokenBucket(slackShare() * CapacitySlackFraction, initial);
    }
    advance(account, now);
    return account;
}

void RepeatBudget::onFirstSend(const ServiceName &service, TimePoint now)
{
    Account &account = accountOf(service, now);
    const std::int64_t index = sliceAt(now);
    if (account.slices.empty() || account.slices.back().index != index) {
        account.slices.push_back({index, 0});
    }
    ++account.slices.back().requests;
    ++account.requests;
    step(account, now);
    account.bucket.add(terms_.ratio * TokenRatioFraction);
}

bool RepeatBudget::tryAcquire(const ServiceName &service, TimePoint now, double reserve)
{
    TokenBucket &bucket = accountOf(service, now).bucket;
    return bucket.tryAcquire(bucket.capacity() * reserve);
}

bool RepeatBudget::tryAcquireAll(const std::vector<ServiceName> &services, TimePoint now)
{
    const bool enough =
        std::all_of(services.begin(), services.end(), [this, now](const ServiceName &service) { return accountOf(service, now).bucket.tokens() >= 1; });
    return enough && std::all_of(services.begin(), services.end(), [this, now](const ServiceName &service) { return tryAcquire(service, now, 0); });
}

} // namespace Burdock
