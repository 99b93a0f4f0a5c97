#include <catch2/catch.hpp>

#include "routingfixture.h"

using namespace Burdock;

TEST_CASE("A request whose sending throws leaves nothing in progress", "[forward][boundary]")
{
    RoutingFixture fixture;
    fixture.addServer("p1", "parts");
    fixture.setRoutes({RoutingFixture::route("parts")});
    fixture.backends.throws = true;
    ClientRequest request;
    request.id = "1";
    request.method = "GET";
    request.target = "/parts/x";
    request.headers = {{"host", "shop.example"}};
    request.arrived = fixture.runtime.now();
    CHECK_THROWS(fixture.coordinator.serve(request, [](const Route *, const ClientAnswer &) { FAIL("an answer to a request that threw"); }));
    CHECK(fixture.coordinator.pendingRequests() == 0);
    fixture.runtime.advance(std::chrono::seconds(10));
    CHECK(fixture.runtime.pending() == 0);
    CHECK(fixture.backends.open.empty());
}
