#include <burdock/daemon/settings.h>

#include <catch2/catch.hpp>

using namespace Burdock;

namespace
{

OptionValues goodValues()
{
    char program[] = "burdockd";
    char *argv[] = {program, nullptr};
    OptionValues values = *settingsTable().read(1, argv);
    values.values["instance-id"] = "a";
    values.values["region"] = "litoral";
    values.values["data-centre"] = "litoral-1";
    return values;
}

} // namespace

TEST_CASE("Valid settings are accepted", "[daemon][settings]")
{
    const auto settings = checkSettings(goodValues());
    REQUIRE(settings);
    CHECK(settings->id == InstanceId("a"));
    CHECK(settings->callers == Address{"127.0.0.1", 8080});
    CHECK(settings->entriesMaxAge == std::chrono::seconds(5));
}

TEST_CASE("All invalid settings are reported together with name, value and allowed values", "[daemon][settings]")
{
    OptionValues values = goodValues();
    values.values["instance-id"] = "";
    values.values["peers-address"] = "somewhere";
    values.values["store-timeout-ms"] = "5x";
    values.values["entries-max-age-ms"] = "99999999";
    values.values["log-format"] = "xml";
    const auto settings = checkSettings(values);
    REQUIRE_FALSE(settings);
    for (const std::string part : {"--instance-id (BURDOCKD_INSTANCE_ID)", "'somewhere'", "'5x'", "from 100 to 600000", "one of text, json"}) {
        INFO(settings.error().message);
        CHECK(settings.error().message.find(part) != std::string::npos);
    }
}
