#include <burdock/policy/admission.h>

#include <algorithm>
#include <cmath>

namespace Burdock
{

namespace
{

/// Old counts lose half their weight in this time.
constexpr Duration HalfLife = std::chrono::seconds(2);
/// A queue delay that nobody has reported for this long is no reason to refuse.
constexpr Duration ReportLife = std::chrono::seconds(1);
/// Requests are refused only while the queue delay is above the longest wait divided by this.
constexpr int WaitDivisor = 2;
/// How many requests are sent on for each one served: this many, less the pressure. At a pressure of
/// three quarters what is sent is what is served.
constexpr double SentPerServed = 2.5;
constexpr double SentPerPressure = 2;
/// A caller whose requests take less than this part of their wait is not refused.
constexpr double LeastPressure = 0.5;
/// How much one request moves the pressure.
constexpr double PressureWeight = 0.1;
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(100);
/// Callers refused together are asked back over a span of this part of the wait.
constexpr double RetryAfterSpread = 0.5;

} // namespace

Admission::Admission(Runtime &runtime, std::uint64_t seed)
    : runtime_(runtime)
    , random_(seed)
{
}

std::optional<Failure> Admission::refusal(const AdmissionKey &key, Duration longestWait)
{
    Account &account = this->account(key);
    const double part = refusedPart(account);
    account.requests += 1;
    account.longestWait = longestWait;
    const bool fresh = runtime_.now() < account.reportedAt + ReportLife;
    if (!fresh || account.queueDelay <= longestWait / WaitDivisor || std::uniform_real_distribution<>(0, 1)(random_) >= part) {
        return std::nullopt;
    }
    ++refused_[rankIndex(key.rank)];
    return Failure{Errc::Overloaded, Verdict::NotRun, "The caller's share is used up; come back later.", retryAfter(account.queueDelay)};
}

/// The part of the caller's requests that is to be refused.
double Admission::refusedPart(const Account &account)
{
    if (account.pressure < LeastPressure) {
        return 0;
    }
    const double sent = (SentPerServed - SentPerPressure * account.pressure) * account.served;
    return (account.requests - sent) / (account.requests + 1);
}

void Admission::ended(const AdmissionKey &key, const AdmissionOutcome &outcome)
{
    Account &account = this->account(key);
    const std::uint32_t sent = outcome.served + outcome.refused;
    account.served += sent == 0 ? 0 : static_cast<double>(outcome.served) / sent;
    const double longest = std::max(static_cast<double>(account.longestWait.count()), 1.0);
    const double pressure = outcome.refused > 0 ? 1 : std::min(static_cast<double>(outcome.took.count()) / longest, 1.0);
    account.pressure += (pressure - account.pressure) * PressureWeight;
    account.queueDelay = outcome.queueDelay;
    account.reportedAt = runtime_.now();
}

const PerRank<std::uint64_t> &Admission::refused() const
{
    return refused_;
}

Admission::Account &Admission::account(const AdmissionKey &key)
{
    Account &account = accounts_[key];
    const auto age = static_cast<double>((runtime_.now() - account.decayedAt).count());
    const double kept = std::exp2(-age / static_cast<double>(HalfLife.count()));
    account.requests *= kept;
    account.served *= kept;
    account.decayedAt = runtime_.now();
    return account;
}

Duration Admission::retryAfter(Duration queueDelay)
{
    const double spread = 1 + std::uniform_real_distribution<>(0, RetryAfterSpread)(random_);
    return std::max(Duration(static_cast<Duration::rep>(static_cast<double>(queueDelay.count()) * spread)), LeastRetryAfter);
}

} // namespace Burdock
