#include <burdock/routing/repeatbudget.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const RepeatTerms Terms{0.2, seconds(10), 52};
const ServiceName Parts("parts");
constexpr Duration Step = milliseconds(50);
/// How long the record of a killed instance stays listed.
constexpr Duration RecordTerm = seconds(3);

/// Instances that are killed, restarted, added and removed at random while their servers fail so often that each repeat which the
/// budget allows is used. Load moves between the instances, and each believes in as many instances as it has seen records of.
class RestartingInstances
{
public:
    explicit RestartingInstances(std::uint64_t seed)
        : random_(seed)
        , instances_(number(2, 12))
        , disagreement_(number(0, 2))
    {
        for (Instance &instance : instances_) {
            start(instance);
        }
    }

    void run(Duration span)
    {
        for (const TimePoint end = now_ + span; now_ < end; now_ += Step) {
            disturb();
            serve();
        }
    }

    /// Returns the largest excess of repeats over what the terms allow, over all positions of the window.
    double worstExcess() const
    {
        const auto window = static_cast<std::size_t>(Terms.window / Step);
        double worst = -Terms.slack;
        for (std::size_t from = window; from + window <= requests_.size(); ++from) {
            const int here = sum(requests_, from, window);
            const int earlier = std::max(sum(requests_, from - window, window), sum(requests_, from - window / 2, window));
            worst = std::max(worst, sum(repeats_, from, window) - Terms.ratio * std::max(here, earlier) - Terms.slack);
        }
        return worst;
    }

    int repeats() const
    {
        return sum(repeats_, 0, repeats_.size());
    }

    int requests() const
    {
        return sum(requests_, 0, requests_.size());
    }

private:
    struct Instance
    {
        std::unique_ptr<RepeatBudget> budget;
        TimePoint listedUntil{};
        TimePoint restartAt{};
        double weight = 1;
    };

    int number(int from, int to)
    {
        return std::uniform_int_distribution<int>(from, to)(random_);
    }

    bool happens(double probability)
    {
        return std::bernoulli_distribution(probability)(random_);
    }

    static int sum(const std::vector<int> &counts, std::size_t from, std::size_t length)
    {
        int total = 0;
        for (std::size_t position = from; position < from + length; ++position) {
            total += counts[position];
        }
        return total;
    }

    void start(Instance &instance)
    {
        instance.budget = std::make_unique<RepeatBudget>(Terms, now_);
        instance.listedUntil = now_ + RecordTerm;
    }

    void kill(Instance &instance)
    {
        instance.budget = nullptr;
        instance.restartAt = now_ + milliseconds(number(50, 1000));
    }

    void disturb()
    {
        if (now_ >= phaseEnd_) {
            failing_ = !failing_;
            phaseEnd_ = now_ + milliseconds(number(3000, 15000));
        }
        const bool killAll = happens(failing_ ? 0.02 : 0.002);
        for (Instance &instance : instances_) {
            if (instance.budget && (killAll || happens(0.002))) {
                kill(instance);
            } else if (!instance.budget && now_ >= instance.restartAt) {
                start(instance);
            }
            if (happens(0.02)) {
                instance.weight = number(0, 10);
            }
        }
        if (happens(0.005) && instances_.size() < 12) {
            start(instances_.emplace_back());
        }
        for (Instance &instance : instances_) {
            if (instance.budget) {
                instance.listedUntil = now_ + RecordTerm;
            }
        }
        const auto listed = std::count_if(instances_.begin(), instances_.end(), [this](const Instance &instance) { return instance.listedUntil > now_; });
        for (Instance &instance : instances_) {
            if (instance.budget) {
                const int missed = std::min<int>(number(0, disagreement_), static_cast<int>(listed) / 3);
                instance.budget->setInstances(static_cast<std::size_t>(listed - missed), now_);
            }
        }
    }

    void serve()
    {
        std::vector<double> weights;
        for (const Instance &instance : instances_) {
            weights.push_back(instance.budget ? instance.weight + 0.01 : 0);
        }
        const int arrivals = number(0, 20);
        int repeats = 0;
        const bool allDown = std::all_of(weights.begin(), weights.end(), [](double weight) { return weight == 0; });
        for (int request = 0; request < arrivals && !allDown; ++request) {
            const std::size_t target = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random_);
            instances_[target].budget->onFirstSend(Parts, now_);
        }
        for (const Instance &instance : instances_) {
            while (failing_ && instance.budget && instance.budget->tryAcquire(Parts, now_, 0)) {
                ++repeats;
            }
        }
        requests_.push_back(arrivals);
        repeats_.push_back(repeats);
    }

    std::mt19937_64 random_;
    std::vector<Instance> instances_;
    const int disagreement_;
    TimePoint now_{seconds(1000)};
    bool failing_ = true;
    TimePoint phaseEnd_{};
    std::vector<int> requests_;
    std::vector<int> repeats_;
};

} // namespace

TEST_CASE("Repeats over all instances and lives stay within the terms in any window", "[budget]")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        RestartingInstances instances(seed);
        instances.run(seconds(60));
        INFO("seed " << seed);
        CHECK(instances.worstExcess() <= 0);
    }
}

TEST_CASE("An instance that spends its budget at the end of its life cannot spend it again in the next", "[budget]")
{
    TimePoint now{seconds(1000)};
    RepeatBudget first(Terms, now - seconds(60));
    first.setInstances(6, now);
    const auto spend = [&now](RepeatBudget &budget, Duration span, bool failing) {
        int repeats = 0;
        for (const TimePoint end = now + span; now < end; now += milliseconds(30)) {
            budget.onFirstSend(Parts, now);
            while (failing && budget.tryAcquire(Parts, now, 0)) {
                ++repeats;
            }
        }
        return repeats;
    };
    spend(first, seconds(10), false);
    int repeats = spend(first, seconds(3), true);
    for (int life = 0; life < 2; ++life) {
        RepeatBudget next(Terms, now);
        next.setInstances(6, now);
        repeats += spend(next, milliseconds(3500), true);
    }
    CHECK(repeats <= 0.2 * 334 + Terms.slack / 6);
    CHECK(repeats > 0.1 * 334);
}

TEST_CASE("A burst of failures after a calm time is retried at once", "[budget]")
{
    TimePoint now{seconds(1000)};
    RepeatBudget budget(Terms, now);
    budget.setInstances(6, now);
    for (int request = 0; request < 400; ++request) {
        now += milliseconds(30);
        budget.onFirstSend(Parts, now);
    }
    int repeats = 0;
    while (budget.tryAcquire(Parts, now, 0)) {
        ++repeats;
    }
    CHECK(repeats >= 0.02 * 333);
}

TEST_CASE("The slack is divided by the most instances of the last window", "[budget]")
{
    const auto taken = [](RepeatBudget &budget, TimePoint now) {
        int repeats = 0;
        while (budget.tryAcquire(Parts, now, 0)) {
            ++repeats;
        }
        return repeats;
    };
    const TimePoint now{seconds(1000)};
    RepeatBudget budget(Terms, now - seconds(60));
    budget.setInstances(12, now - seconds(30));
    budget.setInstances(2, now);
    CHECK(taken(budget, now + seconds(9)) <= 1);
    budget.setInstances(2, now + seconds(11));
    CHECK(taken(budget, now + seconds(25)) > 1);
}
