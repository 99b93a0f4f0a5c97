#include <burdock/router/ratecodec.h>
#include <burdock/router/rateservice.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

#include "recordedresponder.h"

#include <fcntl.h>
#include <unistd.h>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Records what is sent, and answers when the test tells it to.
class ManualClient final : public HttpClient
{
public:
    HttpCallId send(HttpRequest request, Callback done) override
    {
        requests.push_back(std::move(request));
        callbacks.push_back(std::move(done));
        return requests.size();
    }

    void cancel(HttpCallId) override
    {
    }

    void setLimits(const Address &, const ConnectionLimits &) override
    {
    }

    void failUnsent(const Address &) override
    {
    }

    void closeIdle() override
    {
    }

    std::uint32_t openConnections(const Address &) const override
    {
        return 0;
    }

    std::vector<HttpRequest> requests;
    std::vector<Callback> callbacks;
};

InstanceRecord recordOf(const std::string &id, std::uint16_t port, std::int64_t born)
{
    const Address address{"10.0.0.1", port};
    return {InstanceId(id), address, address, Region("r"), DataCentre("a"), true, 1, false, {born, 1}};
}

RoutingConfig configWith(double rate)
{
    RoutingConfig config;
    config.version = 3;
    config.workspaces.push_back({"w", {}, std::nullopt, {rate, rate}, {}});
    return config;
}

struct Fixture
{
    Fixture()
    {
        settings.id = self.id;
        settings.workspaceRates = {seconds(5), 0.1, 20};
        instances.put(recordOf("b", 2, 50));
    }

    ~Fixture()
    {
        ::close(descriptor);
    }

    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    ManualRuntime runtime;
    ManualClient client;
    RouterSettings settings;
    InstanceTable instances{1};
    InstanceRecord self = recordOf("a", 1, 100);
    int descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    DecisionLog log{runtime, descriptor, "a"};
    std::optional<RateService> service;

    void start()
    {
        service.emplace(
            runtime, client, settings, instances, self, [this] { return runtime.now(); }, 5, log);
    }
};

} // namespace

TEST_CASE("Messages about rates are read as they were written", "[codec]")
{
    const RateAsk ask{InstanceId("i1"), {1ULL << 63, 1LL << 40}, 0.25, true, {{"w", 7}, {"other", 0}}};
    CHECK(readRateAsk(writeRateAsk(ask)) == ask);
    const RateReply reply{{1ULL << 63, 1LL << 40}, 0.5, {{7, Duration{0}}, {0, seconds(2)}}};
    CHECK(readRateReply(writeRateReply(reply)) == reply);
}

TEST_CASE("An instance asks the oldest of the senders whose builds share rates", "[rates]")
{
    Fixture fixture;
    InstanceRecord earlier = recordOf("c", 3, 10);
    earlier.sharesRates = false;
    fixture.instances.put(earlier);
    fixture.start();
    fixture.service->onInstancesChanged(true);
    fixture.service->setConfig(configWith(10));
    fixture.runtime.advance(seconds(1));
    REQUIRE_FALSE(fixture.client.requests.empty());
    CHECK(fixture.client.requests.front().address == Address{"10.0.0.1", 2});
    CHECK(fixture.client.requests.front().path == RateService::Path);
    CHECK(readRateAsk(fixture.client.requests.front().body)->from == InstanceId("a"));
}

TEST_CASE("A peer that does not know the path is asked no more, and the next one is", "[rates]")
{
    Fixture fixture;
    fixture.instances.put(recordOf("c", 3, 60));
    fixture.start();
    fixture.service->onInstancesChanged(true);
    fixture.service->setConfig(configWith(10));
    fixture.runtime.advance(milliseconds(400));
    REQUIRE(fixture.client.callbacks.size() == 1);
    HttpResponse unknown;
    unknown.status = 404;
    fixture.client.callbacks.front()(unknown);
    fixture.runtime.advance(milliseconds(400));
    CHECK(fixture.client.requests.back().address == Address{"10.0.0.1", 3});
}

TEST_CASE("Without a rate in the configuration nothing is sent", "[rates]")
{
    Fixture fixture;
    fixture.start();
    fixture.service->onInstancesChanged(true);
    fixture.service->setConfig(configWith(0));
    fixture.runtime.advance(seconds(10));
    CHECK(fixture.client.requests.empty());
    CHECK(fixture.runtime.pending() == 0);
}

TEST_CASE("A message about rates that is malformed gets status 400", "[rates]")
{
    Fixture fixture;
    fixture.start();
    RecordedResponder responder;
    HttpServerRequest incoming;
    incoming.path = RateService::Path;
    incoming.body = "nothing";
    fixture.service->serve(incoming, responder);
    CHECK(responder.status == 400);
}
