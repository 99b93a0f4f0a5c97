#include <burdock/wire/percentencoding.h>

#include <catch2/catch.hpp>

using namespace Burdock;

TEST_CASE("Reserved characters are percent-encoded", "[percentencoding]")
{
    CHECK(percentEncode("servers/") == "servers%2F");
    CHECK(percentEncode("a-b_c.~9") == "a-b_c.~9");
    CHECK(percentEncode("a b&c=d%") == "a%20b%26c%3Dd%25");
    CHECK(percentEncode("").empty());
}
