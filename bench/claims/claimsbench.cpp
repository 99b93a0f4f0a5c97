/// Counts store writes for unrepeatable commands, with and without group commit, against the fake store.

#include <burdock/daemon/claimstoreadapter.h>
#include <burdock/fakes/fakefleet.h>
#include <burdock/policy/claimowner.h>
#include <burdock/store/factories.h>
#include <burdock/wire/factories.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <random>

using namespace Burdock;

namespace
{

constexpr Duration RunTime = std::chrono::seconds(3);
/// Time between the grant of a claim and the record of its outcome.
constexpr Duration ServiceTime = std::chrono::milliseconds(10);
constexpr Duration StoreDelay = std::chrono::milliseconds(3);

/// Figures of one run at one rate.
struct RunResult
{
    std::uint64_t commands = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t writes = 0;
    std::uint64_t outcomes = 0;
    double seconds = 0;
    double processorSeconds = 0;
    std::vector<double> grantMs;

    double quantile(double fraction) const
    {
        return grantMs.empty() ? 0 : grantMs[static_cast<std::size_t>(fraction * static_cast<double>(grantMs.size() - 1))];
    }
};

ClaimSettings makeClaimSettings(bool group)
{
    ClaimSettings settings;
    if (!group) {
        settings.commitInterval = Duration{0};
        settings.maxOperationsPerCommit = 2;
    }
    return settings;
}

/// Sends Poisson arrivals to one owner of all partitions.
class ClaimLoad
{
public:
    ClaimLoad(double rate, bool group, std::uint64_t seed)
        : random_(seed)
        , arrivalGap_(rate / 1e6)
        , client_(makeHttpClient(loop_, ConnectionLimits{16, 16, 0}))
        , fleet_(loop_, loop_.base(), FleetFile{})
    {
        const Address any{"127.0.0.1", 0};
        const FakeAddresses addresses = fleet_.listen({any, any, any}).value();
        TransportFaults delay;
        delay.replyDelay = StoreDelay;
        fleet_.storePort().gate.setFaults(delay);
        store_ = makeEtcdStore(loop_, *client_, addresses.store, std::chrono::seconds(2));
        adapter_ = std::make_unique<ClaimStoreAdapter>(*store_);
        owner_ = std::make_unique<ClaimOwner>(loop_, *adapter_, makeClaimSettings(group));
    }

    RunResult measure()
    {
        const std::clock_t cpuStart = std::clock();
        startedAt_ = loop_.now();
        nextArrival_ = startedAt_;
        scheduleArrivals();
        scheduleWakeUp();
        loop_.runUntil([this] { return loop_.now() - startedAt_ > RunTime && owner_->pending() == 0 && inFlight_ == 0; }, 4 * RunTime);
        result_.seconds = std::chrono::duration<double>(loop_.now() - startedAt_).count();
        result_.processorSeconds = static_cast<double>(std::clock() - cpuStart) / CLOCKS_PER_SEC;
        result_.writes = fleet_.store().counters().writes;
        result_.outcomes = owner_->counters().outcomes;
        std::sort(result_.grantMs.begin(), result_.grantMs.end());
        return result_;
    }

private:
    void scheduleArrivals()
    {
        while (nextArrival_ <= loop_.now()) {
            sendClaimRequest();
            nextArrival_ += Duration{static_cast<Duration::rep>(arrivalGap_(random_)) + 1};
        }
        if (nextArrival_ - startedAt_ < RunTime) {
            loop_.schedule(std::chrono::duration_cast<Duration>(nextArrival_ - loop_.now()), [this] { scheduleArrivals(); });
        }
    }

    /// Wakes the loop regularly, so that runUntil() checks its end condition.
    void scheduleWakeUp()
    {
        loop_.schedule(std::chrono::milliseconds(20), [this] { scheduleWakeUp(); });
    }

    void sendClaimRequest()
    {
        const std::uint64_t number = ++result_.commands;
        const std::string key = "1764828000-" + std::to_string(number);
        const TimePoint requestedAt = loop_.now();
        ++inFlight_;
        owner_->requestClaim(ClaimRequest{number, CommandName("invoice"), key, InstanceId("i1"), 1, number},
                             [this, number, key, requestedAt](const ClaimAnswer &answer) {
                                 if (answer.code != Errc::Ok) {
                                     ++result_.refused;
                                     --inFlight_;
                                     return;
                                 }
                                 ++result_.granted;
                                 result_.grantMs.push_back(std::chrono::duration<double, std::milli>(loop_.now() - requestedAt).count());
                                 loop_.schedule(ServiceTime, [this, number, key] {
                                     owner_->record(ClaimOutcome{CommandName("invoice"), key, number, Verdict::Ran, "invoice " + std::to_string(number)});
                                     --inFlight_;
                                 });
                             });
    }

    EventLoop loop_;
    std::mt19937_64 random_;
    std::exponential_distribution<double> arrivalGap_;
    std::unique_ptr<HttpClient> client_;
    FakeFleet fleet_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<ClaimStoreAdapter> adapter_;
    std::unique_ptr<ClaimOwner> owner_;
    TimePoint startedAt_;
    TimePoint nextArrival_;
    std::uint64_t inFlight_ = 0;
    RunResult result_;
};

} // namespace

int main()
{
    std::printf("mode    rate/s seed commands granted refused outcomes writes writes/s writes/command grant ms min/p50/p99/max cpu us/command\n");
    for (const bool group : {false, true}) {
        for (const double rate : {10.0, 50.0, 200.0, 1000.0, 3000.0}) {
            if (!group && rate > 1000) {
                continue;
            }
            for (const std::uint64_t seed : {1, 2, 3}) {
                const RunResult m = ClaimLoad(rate, group, seed).measure();
                std::printf("%-7s %6.0f %4lu %8lu %7lu %7lu %8lu %6lu %8.1f %14.3f %.1f/%.1f/%.1f/%.1f %.0f\n",
                            group ? "group" : "single",
                            rate,
                            static_cast<unsigned long>(seed),
                            static_cast<unsigned long>(m.commands),
                            static_cast<unsigned long>(m.granted),
                            static_cast<unsigned long>(m.refused),
                            static_cast<unsigned long>(m.outcomes),
                            static_cast<unsigned long>(m.writes),
                            static_cast<double>(m.writes) / m.seconds,
                            static_cast<double>(m.writes) / static_cast<double>(m.commands),
                            m.quantile(0),
                            m.quantile(0.5),
                            m.quantile(0.99),
                            m.quantile(1),
                            m.processorSeconds / static_cast<double>(m.commands) * 1e6);
                std::fflush(stdout);
            }
        }
    }
    return 0;
}
