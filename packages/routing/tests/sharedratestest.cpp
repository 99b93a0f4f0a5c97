#include "ratefleet.h"

#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <deque>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr Duration Step = milliseconds(5);
constexpr Duration MaxWait = milliseconds(60);
const RateAllowance Allowance{seconds(5), 0.1, 20};

/// The requests that one workspace may have in any window.
double boundOf(const RateTerms &terms)
{
    const double window = std::chrono::duration<double>(Allowance.window).count();
    return (terms.perSecond * window + terms.burst) * (1 + Allowance.overage) + Allowance.slack;
}

/// Counts admitted requests by their time.
class Admissions
{
public:
    /// Returns the position of the request.
    std::size_t add(TimePoint at)
    {
        times_.emplace_back(at, true);
        return times_.size() - 1;
    }

    /// The request was refused later, so that no server got it.
    void remove(std::size_t position)
    {
        times_[position].second = false;
    }

    std::size_t between(TimePoint from, TimePoint to) const
    {
        return static_cast<std::size_t>(
            std::count_if(times_.begin(), times_.end(), [from, to](const auto &entry) { return entry.second && entry.first >= from && entry.first < to; }));
    }

    /// Returns the most requests in any window that begins at `from` or later.
    std::size_t mostInWindow(Duration window, TimePoint from = {}) const
    {
        std::deque<TimePoint> inWindow;
        std::size_t most = 0;
        for (const auto &[at, counts] : times_) {
            if (!counts || at < from) {
                continue;
            }
            inWindow.push_back(at);
            while (at - inWindow.front() >= window) {
                inWindow.pop_front();
            }
            most = std::max(most, inWindow.size());
        }
        return most;
    }

private:
    std::vector<std::pair<TimePoint, bool>> times_;
};

/// Callers of one workspace.
struct Callers
{
    std::string name;
    /// Requests a second at each instance.
    std::vector<double> demand;
    Admissions admissions;
    std::uint64_t asked = 0;
};

/// Sends the callers' requests of one step. A fraction of the admitted ones is refused later.
void sendRequests(RateFleet &fleet, Callers &callers, const RateTerms &terms, double refusedLater, std::mt19937_64 &random)
{
    const double seconds = std::chrono::duration<double>(Step).count();
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (callers.demand[index] == 0) {
            continue;
        }
        int requests = std::poisson_distribution<int>(callers.demand[index] * seconds)(random);
        for (; requests > 0; --requests) {
            SharedRates *rates = fleet.running(index);
            if (rates == nullptr) {
                continue;
            }
            ++callers.asked;
            const bool refused = std::bernoulli_distribution(refusedLater)(random);
            const Duration later = milliseconds(std::uniform_int_distribution<int>(0, 1500)(random));
            rates->acquire(callers.name, terms, 0, MaxWait, [&fleet, &callers, index, rates, refused, later](const RateDecision &decision) {
                if (!decision.admitted) {
                    return;
                }
                const std::size_t position = callers.admissions.add(fleet.clock.now());
                if (refused) {
                    fleet.clock.schedule(later, [&fleet, &callers, index, rates, position, decision] {
                        callers.admissions.remove(position);
                        if (fleet.running(index) == rates) {
                            rates->giveBack(callers.name, decision);
                        }
                    });
                }
            });
        }
    }
}

/// Brings about one fault or several at random.
void disturb(RateFleet &fleet, std::size_t senders, std::mt19937_64 &random)
{
    const std::size_t holder = fleet.holder();
    const auto any = [&random, senders, holder] {
        return std::bernoulli_distribution(0.3)(random) ? holder : std::uniform_int_distribution<std::size_t>(0, senders - 1)(random);
    };
    const auto upTo = [&random](int most) { return milliseconds(std::uniform_int_distribution<int>(50, most)(random)); };
    switch (std::uniform_int_distribution<int>(0, 10)(random)) {
    case 0:
        fleet.kill(any(), upTo(6000));
        break;
    case 1:
        for (std::size_t index = 0; index < senders; ++index) {
            fleet.kill(index, milliseconds(500) + upTo(800));
        }
        break;
    case 2:
        fleet.pause(any(), upTo(5000));
        break;
    case 3:
        fleet.cut(any(), true, true, upTo(8000));
        break;
    case 4:
        fleet.cut(any(), false, true, upTo(8000));
        break;
    case 5:
        fleet.cut(any(), true, false, upTo(8000));
        break;
    case 6:
        fleet.cutLink(any(), any(), upTo(8000));
        break;
    case 7:
        fleet.loseStore(upTo(8000));
        break;
    case 8:
        fleet.revoke(any());
        break;
    case 9: {
        // Two halves that do not reach each other; one reaches the store.
        const Duration span = upTo(8000);
        for (std::size_t a = 0; a < senders; ++a) {
            for (std::size_t b = 0; b < senders; ++b) {
                if (a % 2 == 0 && b % 2 == 1) {
                    fleet.cutLink(a, b, span);
                }
            }
            if (a % 2 == 1) {
                fleet.cut(a, false, true, span);
            }
        }
        break;
    }
    default:
        fleet.setExtraDelay(std::bernoulli_distribution(0.5)(random) ? upTo(400) : Duration{0});
        break;
    }
}

/// The requests of workspaces of a usual size, Zipf distributed.
std::vector<double> zipfRates(std::size_t count, double sum, double skew)
{
    std::vector<double> rates(count);
    double total = 0;
    for (std::size_t rank = 0; rank < count; ++rank) {
        rates[rank] = std::pow(static_cast<double>(rank + 1), -skew);
        total += rates[rank];
    }
    for (double &rate : rates) {
        rate *= sum / total;
    }
    return rates;
}

} // namespace

TEST_CASE("No window holds more requests than the limit, whatever becomes of instances, links and the store", "[rates]")
{
    // Load: far more requests than the limits, at instances that change, while processes end, pause, are cut off and disagree.
    const int seed = GENERATE(range(1, 301));
    CAPTURE(seed);
    constexpr std::size_t Senders = 12;
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    RateFleet fleet(static_cast<std::uint64_t>(seed), Senders, 2, Allowance);
    std::vector<Callers> callers;
    std::map<std::string, RateTerms> terms;
    for (const double rate : {1.0, 7.0, 49.0, 250.0}) {
        const std::string name = "workspace-" + std::to_string(static_cast<int>(rate));
        terms[name] = {rate, rate};
        callers.push_back({name, std::vector<double>(fleet.size(), 0), {}, 0});
    }
    fleet.setTerms(terms, Duration{0});
    const TimePoint end = fleet.clock.now() + seconds(30);
    TimePoint nextFault = fleet.clock.now() + seconds(4);
    TimePoint nextShift = fleet.clock.now() + seconds(4);
    while (fleet.clock.now() < end) {
        if (fleet.clock.now() >= nextShift) {
            nextShift += milliseconds(std::uniform_int_distribution<int>(1000, 5000)(random));
            // Floods after quiet times use what was saved up.
            const bool flood = std::bernoulli_distribution(0.6)(random);
            for (Callers &some : callers) {
                const bool everywhere = std::bernoulli_distribution(0.8)(random);
                const double rate = terms[some.name].perSecond * (flood ? std::uniform_real_distribution<double>(2, 8)(random) : 0.05);
                const std::size_t only = std::uniform_int_distribution<std::size_t>(0, fleet.size() - 1)(random);
                for (std::size_t index = 0; index < fleet.size(); ++index) {
                    some.demand[index] = everywhere ? rate / static_cast<double>(fleet.size()) : index == only ? rate : 0;
                }
            }
        }
        if (fleet.clock.now() >= nextFault) {
            nextFault += milliseconds(std::uniform_int_distribution<int>(500, 8000)(random));
            disturb(fleet, Senders, random);
        }
        for (Callers &some : callers) {
            sendRequests(fleet, some, terms[some.name], 0.1, random);
        }
        fleet.clock.advance(Step);
    }
    for (const Callers &some : callers) {
        CAPTURE(some.name);
        CHECK(static_cast<double>(some.admissions.mostInWindow(Allowance.window)) <= boundOf(terms[some.name]));
    }
}

TEST_CASE("Callers who come to one instance get the whole rate of their workspace in calm", "[rates]")
{
    // Load: 75 workspaces, 66 instances of which 12 receive clients; one workspace asks for more than its rate at one instance.
    const auto [position, at] = GENERATE(std::pair<std::size_t, std::size_t>(0, 0),
                                         std::pair<std::size_t, std::size_t>(0, 5),
                                         std::pair<std::size_t, std::size_t>(0, 40),
                                         std::pair<std::size_t, std::size_t>(4, 7),
                                         std::pair<std::size_t, std::size_t>(20, 11),
                                         std::pair<std::size_t, std::size_t>(20, 50),
                                         std::pair<std::size_t, std::size_t>(74, 3));
    CAPTURE(position, at);
    constexpr std::size_t Senders = 12;
    constexpr std::size_t Workspaces = 75;
    constexpr double QuotaFactor = 1.6;
    std::mt19937_64 random(7);
    RateFleet fleet(7, Senders, 54, Allowance);
    const std::vector<double> usual = zipfRates(Workspaces, 148, 1.2);
    std::map<std::string, RateTerms> terms;
    std::vector<Callers> callers;
    for (std::size_t rank = 0; rank < Workspaces; ++rank) {
        const std::string name = "w" + std::to_string(rank);
        terms[name] = {usual[rank] * QuotaFactor, usual[rank] * QuotaFactor};
        callers.push_back({name, std::vector<double>(fleet.size(), 0), {}, 0});
        for (std::size_t index = 0; index < Senders; ++index) {
            callers[rank].demand[index] = usual[rank] / Senders;
        }
    }
    fleet.setTerms(terms, Duration{0});
    const auto play = [&](Duration span) {
        const TimePoint end = fleet.clock.now() + span;
        while (fleet.clock.now() < end) {
            for (Callers &some : callers) {
                sendRequests(fleet, some, terms[some.name], 0, random);
            }
            fleet.clock.advance(Step);
        }
    };
    // The instances start some time before the first request.
    fleet.clock.advance(seconds(10));
    play(seconds(5));
    Callers &moved = callers[position];
    const double rate = terms[moved.name].perSecond;
    moved.demand.assign(fleet.size(), 0);
    moved.demand[at] = 3 * rate;
    play(seconds(2));
    const TimePoint from = fleet.clock.now();
    const std::uint64_t messages = fleet.messages;
    play(seconds(40));
    const double reached = static_cast<double>(moved.admissions.between(from, fleet.clock.now())) / (rate * 40);
    CAPTURE(reached, static_cast<double>(fleet.messages - messages) / 40);
    CHECK(reached >= 0.95);
    std::uint64_t asked = 0;
    std::size_t admitted = 0;
    for (std::size_t rank = 0; rank < Workspaces; ++rank) {
        if (rank != position) {
            asked += callers[rank].asked;
            admitted += callers[rank].admissions.between({}, fleet.clock.now());
        }
    }
    // The others ask for less than their rates.
    CAPTURE(asked, admitted);
    CHECK(static_cast<double>(admitted) >= 0.95 * static_cast<double>(asked));
}
