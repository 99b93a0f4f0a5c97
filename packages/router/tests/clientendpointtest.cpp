#include <burdock/router/clientendpoint.h>

#include <catch2/catch.hpp>

#include "../../routing/tests/routingfixture.h"
#include "recordedresponder.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace Burdock;

namespace
{

const HeaderNames Names{"x-id", "x-left", "x-sign", "x-target", "x-notrun", "x-server", "X-Parts", "X-Missing", "x-limit", "x-leaving"};

struct EndpointFixture
{
    EndpointFixture()
    {
        routing.addServer("p1", "parts");
        routing.setRoutes({RoutingFixture::route("parts")});
    }

    std::shared_ptr<RecordedResponder> send()
    {
        HttpServerRequest incoming;
        incoming.method = "GET";
        incoming.target = "/parts/x";
        incoming.headers = {{"host", "shop.example"}, {"x-id", "1"}};
        const auto responder = std::make_shared<RecordedResponder>();
        endpoint.serve(std::move(incoming), responder);
        return responder;
    }

    RoutingFixture routing;
    DecisionLog log{routing.runtime, STDERR_FILENO, "test"};
    RouterMetrics metrics;
    ClientEndpoint endpoint{routing.runtime, routing.coordinator, log, metrics, Names};
};

} // namespace

TEST_CASE("Bytes that are no text in the reason of a refusal end no process", "[endpoint]")
{
    EndpointFixture fixture;
    const auto responder = fixture.send();
    fixture.routing.backends.answer(notRun(Errc::Unavailable, "another server has the address: \xff\xfe\xc3"));
    REQUIRE(responder->status == 503);
    CHECK(nlohmann::json::parse(responder->body).at("error").at("verdict") == "notRun");
}

TEST_CASE("An answer that cannot be written costs no other request its answer", "[endpoint][boundary]")
{
    /// Fails as a response does for which there is no memory.
    struct ThrowingResponder final : HttpResponder
    {
        void respond(HttpServerResponse) override
        {
            throw std::runtime_error("thrown by a test");
        }
        void sendChunk(const std::string &) override
        {
        }
        void finish() override
        {
        }
        void setDisconnectHandler(std::function<void()>) override
        {
        }
    };
    EndpointFixture fixture;
    fixture.routing.runtime.boundary().setHandler([](std::string_view, std::string_view) {});
    const auto first = fixture.send();
    HttpServerRequest incoming;
    incoming.method = "GET";
    incoming.target = "/parts/x";
    incoming.headers = {{"host", "shop.example"}, {"x-id", "2"}};
    fixture.endpoint.serve(incoming, std::make_shared<ThrowingResponder>());
    const auto last = fixture.send();
    fixture.routing.coordinator.failAll("the instance is stopping");
    CHECK(first->status == 502);
    CHECK(last->status == 502);
    CHECK(fixture.routing.coordinator.pendingRequests() == 0);
    CHECK(fixture.routing.runtime.boundary().caught() == 1);
}

TEST_CASE("Requests that arrive after the time at which an instance stops are refused and not run", "[endpoint]")
{
    EndpointFixture fixture;
    fixture.endpoint.refuseFrom(fixture.routing.runtime.now() + std::chrono::seconds(1));
    const auto early = fixture.send();
    CHECK(fixture.routing.backends.open.size() == 1);
    fixture.routing.runtime.advance(std::chrono::seconds(1));
    const auto late = fixture.send();
    CHECK(late->status == 503);
    CHECK(nlohmann::json::parse(late->body).at("error").at("verdict") == "notRun");
    CHECK(fixture.routing.backends.all == 1);
}
