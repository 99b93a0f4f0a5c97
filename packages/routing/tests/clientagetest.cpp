#include <burdock/routing/clientage.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using std::chrono::milliseconds;

TEST_CASE("The time that has passed for a client is what is missing from the usual time of its route", "[age]")
{
    ClientAge age;
    SECTION("nothing is assumed while few requests are known")
    {
        CHECK(age.onRequest("r", milliseconds(800)) == Duration{0});
        CHECK(age.onRequest("r", milliseconds(500)) == Duration{0});
    }
    SECTION("new connections and later attempts are told from requests on open connections")
    {
        for (int request = 0; request < 64; ++request) {
            age.onRequest("r", request % 3 == 0 ? milliseconds(800) : milliseconds(785));
        }
        CHECK(age.onRequest("r", milliseconds(800)) == Duration{0});
        CHECK(age.onRequest("r", milliseconds(785)) == milliseconds(15));
        CHECK(age.onRequest("r", milliseconds(300)) == milliseconds(500));
    }
    SECTION("a few clients with far more time do not make the others old")
    {
        for (int request = 0; request < 64; ++request) {
            age.onRequest("r", request % 20 == 0 ? milliseconds(3000) : milliseconds(800));
        }
        CHECK(age.onRequest("r", milliseconds(800)) == Duration{0});
        CHECK(age.onRequest("r", milliseconds(3000)) == Duration{0});
    }
    SECTION("a shorter time of all clients takes effect")
    {
        for (int request = 0; request < 100; ++request) {
            age.onRequest("r", milliseconds(request < 30 ? 800 : 400));
        }
        CHECK(age.onRequest("r", milliseconds(395)) == milliseconds(5));
    }
    SECTION("routes are independent")
    {
        for (int request = 0; request < 20; ++request) {
            age.onRequest("slow", milliseconds(6000));
            age.onRequest("fast", milliseconds(800));
        }
        CHECK(age.onRequest("fast", milliseconds(790)) == milliseconds(10));
    }
}
