#include <catch2/catch.hpp>

#include "routingfixture.h"

#include <burdock/routing/coldservers.h>

#include <deque>
#include <memory>
#include <random>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr Duration Step = milliseconds(20);
/// The rule: in any second a cold server gets at most this multiple of its rate, plus this many requests.
constexpr double Multiple = 1.5;
constexpr double Extra = 5;
constexpr Duration Window = seconds(1);

ServerEntry coldServer(Duration coldFor, std::int64_t born = 1)
{
    return {ServerId("s"), ServiceName("parts"), Address{"10.0.0.1", 80}, DataCentre("near"), false, 4, coldFor, born};
}

RoutedService serviceWith(double coldRate)
{
    RoutedService service;
    service.name = ServiceName("parts");
    service.coldRate = coldRate;
    return service;
}

InstanceId instanceId(std::size_t number)
{
    return InstanceId("instance-" + std::to_string(number));
}

std::unique_ptr<ColdServers> makeInstance(std::size_t number, double rate)
{
    auto made = std::make_unique<ColdServers>(instanceId(number), LimitTerms::within(Multiple - 1, Extra), [](const LimitReport &) {});
    made->setServices({serviceWith(rate)});
    return made;
}

std::vector<InstanceId> firstInstances(std::size_t count)
{
    std::vector<InstanceId> ids;
    for (std::size_t number = 0; number < count; ++number) {
        ids.push_back(instanceId(number));
    }
    return ids;
}

/// The requests that arrived at a server.
class Arrivals
{
public:
    void add(TimePoint now)
    {
        times_.push_back(now);
        while (times_.front() <= now - Window) {
            times_.pop_front();
        }
        ++count_;
        worst_ = std::max(worst_, times_.size());
    }

    std::size_t count() const
    {
        return count_;
    }

    /// Returns the greatest number in any window.
    std::size_t worst() const
    {
        return worst_;
    }

private:
    std::deque<TimePoint> times_;
    std::size_t count_ = 0;
    std::size_t worst_ = 0;
};

/// Lets the instance send all that it may.
void sendAll(ColdServers &instance, Arrivals &arrivals, TimePoint now)
{
    while (instance.allows(ServerId("s"), 0, false, now)) {
        instance.onSent(ServerId("s"), 0, false, now);
        arrivals.add(now);
    }
}

} // namespace

TEST_CASE("A server that returns cold gets no more than it bears from twelve instances that all want to send, and most of that", "[cold]")
{
    const double rate = GENERATE(0.5, 2.0, 10.0, 40.0, 400.0);
    TimePoint now{seconds(1000)};
    std::vector<std::unique_ptr<ColdServers>> instances;
    for (std::size_t number = 0; number < 12; ++number) {
        instances.push_back(makeInstance(number, rate));
        instances.back()->setSenders(firstInstances(12), now - seconds(60));
        instances.back()->onEntry(coldServer(seconds(20)), now);
    }
    Arrivals arrivals;
    for (const TimePoint end = now + seconds(19); now < end; now += Step) {
        for (const auto &instance : instances) {
            sendAll(*instance, arrivals, now);
        }
    }
    INFO("rate " << rate);
    CHECK(static_cast<double>(arrivals.worst()) <= Multiple * rate + Extra);
    CHECK(static_cast<double>(arrivals.count()) >= 0.75 * rate * 19 - 1);
    now += seconds(1);
    for (const auto &instance : instances) {
        CHECK(instance->allows(ServerId("s"), 0, true, now));
        CHECK_FALSE(instance->any());
    }
}

TEST_CASE("A cold server gets no more than it bears while instances are killed, restarted and disagree on how many they are", "[cold]")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        const auto number = [&random](int from, int to) { return std::uniform_int_distribution<int>(from, to)(random); };
        const auto happens = [&random](double probability) { return std::bernoulli_distribution(probability)(random); };
        const auto count = static_cast<std::size_t>(seed % 5 == 0 ? 66 : number(2, 14));
        const double rate = std::vector<double>{1, 4, 12, 50, 200}[seed % 5];
        TimePoint now{seconds(1000)};
        std::vector<std::unique_ptr<ColdServers>> instances(count);
        std::vector<TimePoint> startedAt(count, now);
        Arrivals arrivals;
        for (const TimePoint end = now + seconds(30); now < end; now += Step) {
            const bool killMany = happens(0.001);
            for (std::size_t index = 0; index < count; ++index) {
                if (instances[index] && (happens(0.0007) || (killMany && happens(0.7)))) {
                    instances[index] = nullptr;
                    startedAt[index] = now + milliseconds(number(50, 2000));
                } else if (!instances[index] && now >= startedAt[index]) {
                    startedAt[index] = now;
                    instances[index] = makeInstance(index, rate);
                    instances[index]->onEntry(coldServer(seconds(60)), now);
                }
                if (instances[index] && now >= startedAt[index] + milliseconds(300) && happens(0.05)) {
                    std::vector<InstanceId> known;
                    for (std::size_t other = 0; other < count; ++other) {
                        if (other == index || !happens(seed % 3 == 0 ? 0.0 : 0.2)) {
                            known.push_back(instanceId(other));
                        }
                    }
                    instances[index]->setSenders(known, now);
                }
                if (instances[index]) {
                    sendAll(*instances[index], arrivals, now);
                }
            }
        }
        INFO("seed " << seed << ", " << count << " instances, rate " << rate);
        CHECK(static_cast<double>(arrivals.worst()) <= Multiple * rate + Extra);
    }
}

TEST_CASE("An instance that restarts has saved nothing up for a cold server", "[cold]")
{
    TimePoint now{seconds(1000)};
    auto instance = makeInstance(0, 10);
    instance->setSenders(firstInstances(1), now - seconds(60));
    instance->onEntry(coldServer(seconds(60)), now);
    now += seconds(5);
    CHECK(instance->allows(ServerId("s"), 0, false, now));
    instance = makeInstance(0, 10);
    instance->onEntry(coldServer(seconds(55)), now);
    CHECK_FALSE(instance->allows(ServerId("s"), 0, false, now));
    // Until it knows the others it sends nothing.
    now += seconds(5);
    CHECK_FALSE(instance->allows(ServerId("s"), 0, false, now));
    instance->setSenders(firstInstances(1), now);
    CHECK_FALSE(instance->allows(ServerId("s"), 0, false, now));
    now += seconds(1);
    CHECK(instance->allows(ServerId("s"), 0, false, now));
}

TEST_CASE("A server may become cold again in the same life, and a service without a rate limits nothing", "[cold]")
{
    TimePoint now{seconds(1000)};
    const auto instance = makeInstance(0, 10);
    instance->setSenders(firstInstances(1), now - seconds(60));
    CHECK(instance->allows(ServerId("s"), 0, false, now));
    instance->onEntry(coldServer(seconds(3)), now);
    CHECK_FALSE(instance->allows(ServerId("s"), 0, false, now));
    now += seconds(3);
    CHECK(instance->allows(ServerId("s"), 0, false, now));
    CHECK_FALSE(instance->any());
    instance->onEntry(coldServer(seconds(3)), now);
    CHECK_FALSE(instance->allows(ServerId("s"), 0, false, now));
    CHECK(instance->count() == 1);
    instance->setServices({serviceWith(0)});
    instance->onEntry(coldServer(seconds(3), 2), now + seconds(9));
    CHECK(instance->allows(ServerId("s"), 0, false, now + seconds(9)));
}

TEST_CASE("Requests go to warm servers while the cold ones bear no more, and are refused at once if all are cold", "[cold][choice]")
{
    RoutingFixture fixture;
    fixture.choice.setServices({serviceWith(4)});
    fixture.cold.setSenders({InstanceId("self")}, fixture.runtime.now() - seconds(60));
    fixture.setRoutes({RoutingFixture::route("parts")});
    const auto add = [&fixture](const std::string &id, Duration coldFor) {
        fixture.servers.put({ServerId(id), ServiceName("parts"), Address{"10.0.0.1", ++fixture.port}, DataCentre("near"), false, 4, coldFor, 1});
    };
    add("cold1", seconds(3));
    add("cold2", seconds(3));
    SECTION("one is warm")
    {
        add("warm", Duration{0});
        for (int request = 0; request < 20; ++request) {
            fixture.sendRequest("parts");
            CHECK(fixture.backends.open.back().server->id == ServerId("warm"));
        }
    }
    SECTION("all are cold")
    {
        fixture.sendRequest("parts");
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
        CHECK(fixture.answer->retryAfter > Duration{0});
        CHECK(fixture.answer->retryAfter < seconds(1));
        CHECK(fixture.backends.all == 0);
        fixture.runtime.advance(fixture.answer->retryAfter);
        fixture.sendRequest("parts");
        CHECK(fixture.backends.all == 1);
    }
}
