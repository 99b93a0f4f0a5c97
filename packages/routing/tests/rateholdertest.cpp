#include <burdock/routing/rateholder.h>
#include <burdock/routing/sharedrates.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const RateAllowance Allowance{seconds(5), 0.1, 20};
const InstanceId Self("a");
const InstanceId Other("b");
const std::string LimitName = "w";
constexpr double Rate = 100;

RateAsk wanting(std::uint32_t tokens)
{
    return {Other, {}, 0, false, {{LimitName, tokens}}};
}

/// An instance, and the messages that it sends.
struct Instance
{
    ManualRuntime runtime;
    TimePoint confirmedAt{};
    std::vector<std::pair<InstanceId, RateAsk>> sent;
    std::vector<std::function<void(const Result<RateReply> &)>> replies;
    SharedRates rates{runtime,
                      Self,
                      Allowance,
                      1,
                      [this](const InstanceId &to, const RateAsk &ask, std::function<void(const Result<RateReply> &)> done) {
                          sent.emplace_back(to, ask);
                          replies.push_back(std::move(done));
                      },
                      [this] { return confirmedAt; },
                      [](const RateReport &) {},
                      [](const InstanceId &, const char *) {}};

    void start(const std::vector<InstanceId> &holders)
    {
        confirmedAt = runtime.now();
        rates.setTerms({{LimitName, {Rate, Rate}}});
        rates.setInstances({Self, Other}, holders);
    }

    /// Returns how many of the requests that come now are admitted.
    int admitted(int requests, Duration maxWait = Duration{0})
    {
        int count = 0;
        for (; requests > 0; --requests) {
            rates.acquire(LimitName, {Rate, Rate}, 0, maxWait, [&count](const RateDecision &decision) { count += decision.admitted ? 1 : 0; });
        }
        return count;
    }

    /// Answers the last message.
    void reply(const RateReply &reply)
    {
        replies.back()(reply);
    }
};

} // namespace

TEST_CASE("A holder gives out what was lent to it and nothing else", "[rates]")
{
    RateHolder holder(1, Allowance);
    TimePoint now(seconds(100));
    holder.setTerms({{LimitName, {Rate, Rate}}}, now);
    now += seconds(10);
    CHECK(holder.onAsk(wanting(10), now).grants == std::vector<RateGrant>{{0, seconds(5)}});
    holder.lend(Self, 0.5, now);
    now += milliseconds(400);
    // Half of the rate for that time, which is less than may be saved up.
    CHECK(holder.onAsk(wanting(1000), now).grants.front().tokens == 20);
    now += seconds(10);
    // The loan ended 800 ms after that, and what was saved up went with it.
    CHECK(holder.onAsk(wanting(1000), now).grants.front().tokens == 0);
    CHECK(holder.pooled(now) == 0);
}

TEST_CASE("A loan counts from the holder's own stamp, however late the message arrives", "[rates]")
{
    RateHolder holder(1, Allowance);
    TimePoint now(seconds(100));
    holder.setTerms({{LimitName, {Rate, Rate}}}, now);
    const RateStamp stamp = holder.onAsk({Other}, now).stamp;
    now += RateLoanTerm - milliseconds(100);
    CHECK(holder.onAsk({Other, stamp, 0.25}, now).pooled == 0.25);
    now += milliseconds(100);
    CHECK(holder.pooled(now) == 0);
    CHECK(holder.onAsk({Other, stamp, 0.25}, now).pooled == 0);
    // The stamp of an earlier life, or of a clock that runs ahead.
    const RateStamp later = holder.onAsk({Other}, now).stamp;
    CHECK(holder.onAsk({Other, {later.life + 1, later.time}, 0.25}, now).pooled == 0);
    CHECK(holder.onAsk({Other, {later.life, later.time + 1}, 0.25}, now).pooled == 0);
    CHECK(holder.onAsk({Other, later, 0.25}, now).pooled == 0.25);
}

TEST_CASE("A loan that was taken back is not renewed by an older message", "[rates]")
{
    RateHolder holder(1, Allowance);
    TimePoint now(seconds(100));
    const RateStamp stamp = holder.onAsk({Other}, now).stamp;
    now += milliseconds(100);
    CHECK(holder.onAsk({Other, stamp, 0.25}, now).pooled == 0.25);
    now += milliseconds(100);
    const RateStamp last = holder.onAsk({Other, {}, 0, true}, now).stamp;
    CHECK(holder.pooled(now) == 0);
    CHECK(holder.onAsk({Other, stamp, 0.25}, now).pooled == 0);
    CHECK(holder.onAsk({Other, last, 0.25}, now).pooled == 0);
    now += milliseconds(100);
    const RateStamp next = holder.onAsk({Other}, now).stamp;
    CHECK(holder.onAsk({Other, next, 0.25}, now).pooled == 0.25);
}

TEST_CASE("What a holder has saved up shrinks with the loans", "[rates]")
{
    RateHolder holder(1, Allowance);
    TimePoint now(seconds(100));
    holder.setTerms({{LimitName, {Rate, Rate}}}, now);
    for (int step = 0; step < 30; ++step) {
        holder.lend(Self, 0.5, now);
        holder.lend(Other, 0.5, now);
        now += milliseconds(100);
    }
    const double capacity = rateSavings({Rate, Rate}, Allowance, 1).capacity;
    holder.takeBack(Other, now);
    CHECK(holder.onAsk(wanting(1000), now).grants.front().tokens == static_cast<std::uint32_t>(capacity / 2));
}

TEST_CASE("A holder with most of the parts gives out whole tokens of a small rate", "[rates]")
{
    RateHolder holder(1, RateAllowance{});
    TimePoint now(seconds(100));
    holder.setTerms({{LimitName, {1, 1}}}, now);
    const double part = GENERATE(0.6, 0.4);
    for (int step = 0; step < 40; ++step) {
        holder.lend(Self, part, now);
        now += milliseconds(100);
    }
    CHECK(holder.onAsk(wanting(10), now).grants.front().tokens == (part > 0.5 ? 1 : 0));
}

TEST_CASE("A lower limit holds at the holder at once", "[rates]")
{
    RateHolder holder(1, Allowance);
    TimePoint now(seconds(100));
    holder.setTerms({{LimitName, {Rate, Rate}}}, now);
    holder.lend(Self, 1, now);
    now += seconds(1);
    holder.setTerms({{LimitName, {1, 1}}}, now);
    CHECK(holder.onAsk(wanting(1000), now).grants.front().tokens == static_cast<std::uint32_t>(rateSavings({1, 1}, Allowance, 1).capacity));
}

TEST_CASE("A new life uses no part while a loan of the earlier one may go on", "[rates]")
{
    Instance instance;
    // Nobody can be the holder, so that the instance has only its own part.
    instance.start({});
    instance.runtime.advance(RateLoanTerm);
    CHECK(instance.admitted(100) == 0);
    instance.runtime.advance(seconds(10));
    CHECK(instance.admitted(100) >= 40);
}

TEST_CASE("An instance does not use its part while it is lent, nor lends it to two", "[rates]")
{
    Instance instance;
    instance.start({Other});
    instance.runtime.advance(seconds(4));
    REQUIRE(!instance.sent.empty());
    RateHolder holder(7, Allowance);
    const auto answer = [&instance, &holder] { instance.reply(holder.onAsk(instance.sent.back().second, instance.runtime.now())); };
    answer();
    instance.runtime.advance(milliseconds(400));
    CHECK(instance.sent.back().second.loan == 0.5);
    const TimePoint lentAt = instance.runtime.now();
    // The first use clears what the part earned before.
    instance.admitted(1000);
    instance.runtime.advance(milliseconds(100));
    CHECK(instance.admitted(1000) == 0);
    // Another holder is asked for tokens, but gets no loan before the first one has ended.
    const InstanceId third("c");
    instance.rates.setInstances({Self, Other}, {third});
    std::size_t seen = instance.sent.size();
    while (instance.runtime.now() < lentAt + milliseconds(950)) {
        instance.runtime.advance(milliseconds(50));
        for (; seen < instance.sent.size(); ++seen) {
            const auto &[to, ask] = instance.sent[seen];
            CHECK(ask.loan == 0);
            if (to == third) {
                instance.replies[seen](RateReply{{9, instance.runtime.now().time_since_epoch().count()}, 0.5, std::vector<RateGrant>(ask.wants.size())});
            }
        }
    }
    instance.runtime.advance(RateLoanTerm);
    CHECK(instance.sent.back().second.loan == 0.5);
}

TEST_CASE("Tokens that arrive or come back late are not used", "[rates]")
{
    Instance instance;
    instance.start({Other});
    instance.runtime.advance(milliseconds(400));
    std::vector<RateDecision> decisions;
    instance.rates.acquire(LimitName, {Rate, Rate}, 0, seconds(2), [&decisions](const RateDecision &decision) { decisions.push_back(decision); });
    instance.runtime.advance(milliseconds(2));
    REQUIRE(instance.sent.back().second.wants.size() == 1);
    SECTION("in time, also when it is given back")
    {
        instance.reply(RateReply{{7, 1}, 0.5, {{1, Duration{0}}}});
        REQUIRE(decisions.size() == 1);
        CHECK(decisions.front().admitted);
        CHECK(instance.admitted(1) == 0);
        instance.rates.giveBack(LimitName, decisions.front());
        CHECK(instance.admitted(2) == 1);
    }
    SECTION("given back in time, and wanted late")
    {
        instance.reply(RateReply{{7, 1}, 0.5, {{1, Duration{0}}}});
        REQUIRE(decisions.size() == 1);
        instance.rates.giveBack(LimitName, decisions.front());
        instance.runtime.advance(RateTokenTerm);
        CHECK(instance.admitted(1) == 0);
    }
    SECTION("given back late")
    {
        instance.reply(RateReply{{7, 1}, 0.5, {{1, Duration{0}}}});
        REQUIRE(decisions.size() == 1);
        instance.runtime.advance(RateTokenTerm);
        instance.rates.giveBack(LimitName, decisions.front());
        CHECK(instance.admitted(1) == 0);
    }
    SECTION("arrived late")
    {
        const auto late = instance.replies.back();
        instance.runtime.advance(RateTokenTerm);
        late(RateReply{{7, 1}, 0.5, {{1, Duration{0}}}});
        CHECK(decisions.empty());
    }
    SECTION("the machine was suspended meanwhile")
    {
        const auto late = instance.replies.back();
        instance.runtime.suspendFor(RateTokenTerm);
        late(RateReply{{7, 1}, 0.5, {{1, Duration{0}}}});
        CHECK(decisions.empty());
    }
}

TEST_CASE("A request that another one's refusal cancels gets no decision", "[rates]")
{
    Instance instance;
    instance.start({Other});
    instance.runtime.advance(milliseconds(400));
    int decisions = 0;
    RateRequestId second = 0;
    instance.rates.acquire(LimitName, {Rate, Rate}, 0, milliseconds(50), [&](const RateDecision &) {
        ++decisions;
        instance.rates.cancel(second);
    });
    second = instance.rates.acquire(LimitName, {Rate, Rate}, 0, milliseconds(50), [&decisions](const RateDecision &) { ++decisions; });
    CHECK(second != 0);
    instance.runtime.advance(milliseconds(2));
    SECTION("at the end of their time")
    {
        instance.runtime.advance(milliseconds(60));
    }
    SECTION("by the holder")
    {
        instance.reply(RateReply{{7, 1}, 1, {{0, milliseconds(200)}}});
    }
    SECTION("when the limit is withdrawn")
    {
        instance.rates.setTerms({});
    }
    CHECK(decisions == 1);
}

TEST_CASE("Requests over the limit are refused at once with times to come back in a row", "[rates]")
{
    Instance instance;
    instance.start({Other});
    instance.runtime.advance(milliseconds(400));
    instance.rates.acquire(LimitName, {Rate, Rate}, 0, milliseconds(50), [](const RateDecision &) {});
    instance.runtime.advance(milliseconds(2));
    instance.reply(RateReply{{7, 1}, 1, {{0, milliseconds(200)}}});
    std::vector<RateDecision> decisions;
    for (int request = 0; request < 3; ++request) {
        const RateRequestId id =
            instance.rates.acquire(LimitName, {Rate, Rate}, 0, milliseconds(50), [&decisions](const RateDecision &decision) { decisions.push_back(decision); });
        CHECK(id == 0);
    }
    REQUIRE(decisions.size() == 3);
    CHECK(!decisions.front().admitted);
    CHECK(decisions[0].retryAfter >= milliseconds(200));
    CHECK(decisions[1].retryAfter - decisions[0].retryAfter == milliseconds(10));
    CHECK(decisions[2].retryAfter - decisions[1].retryAfter == milliseconds(10));
}

TEST_CASE("Without limits there are no messages and no timers", "[rates]")
{
    Instance instance;
    instance.rates.setTerms({{LimitName, {0, 0}}});
    instance.rates.setInstances({Self, Other}, {Other});
    CHECK(instance.runtime.pending() == 0);
    instance.runtime.advance(seconds(10));
    CHECK(instance.sent.empty());
    // The last limit is withdrawn.
    instance.start({Other});
    CHECK(instance.runtime.pending() > 0);
    instance.rates.setTerms({});
    CHECK(instance.runtime.pending() == 0);
}
