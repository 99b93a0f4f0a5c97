#include <burdock/wire/percentencoding.h>

#include <catch2/catch.hpp>

using namespace Burdock;

TEST_CASE("Text becomes a value of a query", "[percentencoding]")
{
    CHECK(percentEncoded("servers/") == "servers%2F");
    CHECK(percentEncoded("a-b_c.~9") == "a-b_c.~9");
    CHECK(percentEncoded("a b&c=d%") == "a%20b%26c%3Dd%25");
    CHECK(percentEncoded("").empty());
}
