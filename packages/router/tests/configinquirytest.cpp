#include <burdock/router/configinquiry.h>
#include <burdock/router/relaycodec.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

#include "../../../tests/manualclient.h"
#include <unistd.h>

using namespace Burdock;
using std::chrono::milliseconds;

namespace
{

struct InquiryFixture
{
    void start(std::uint16_t peers)
    {
        std::vector<Address> addresses;
        for (std::uint16_t number = 0; number < peers; ++number) {
            addresses.push_back({"10.0.0.1", static_cast<std::uint16_t>(9000 + number)});
        }
        inquiry.start(addresses);
    }

    void tell(const std::string &value)
    {
        client.answer(HttpResponse{200, {}, writeRange({{{"config", value, 0, 0, false}}, 0})});
    }

    ManualRuntime runtime;
    ManualClient client;
    DecisionLog log{runtime, STDERR_FILENO, "test"};
    std::vector<std::string> told;
    int finished = 0;
    ConfigInquiry inquiry{runtime, client, log, {[this](const StoreEntry &entry) { told.push_back(entry.value); }, [this] { ++finished; }}};
};

} // namespace

TEST_CASE("An instance that starts learns the configuration in force though the first of the listed instances do not run", "[configinquiry]")
{
    InquiryFixture fixture;
    fixture.start(8);
    REQUIRE(fixture.client.calls.size() == 2);
    CHECK(fixture.inquiry.isPending());
    for (int failures = 0; failures < 3; ++failures) {
        fixture.client.answer(notRun(Errc::Unavailable, "nobody listens"));
    }
    fixture.client.answer(HttpResponse{404, {}, ""});
    REQUIRE(fixture.client.calls.size() == 2);
    CHECK(fixture.client.calls.begin()->second.first.address.port == 9004);
    fixture.tell("v7");
    CHECK(fixture.client.calls.size() == 1);
    CHECK(fixture.inquiry.isPending());
    fixture.tell("v9");
    CHECK(fixture.told == std::vector<std::string>{"v7", "v9"});
    CHECK_FALSE(fixture.inquiry.isPending());
    CHECK(fixture.finished == 1);
    fixture.start(8);
    CHECK(fixture.client.calls.empty());
}

TEST_CASE("The start of an instance waits for others no longer than one answer may take", "[configinquiry]")
{
    InquiryFixture fixture;
    SECTION("nobody answers")
    {
        fixture.start(8);
        fixture.runtime.advance(milliseconds(400));
        CHECK_FALSE(fixture.inquiry.isPending());
        CHECK(fixture.client.calls.size() == 2);
    }
    SECTION("there is nobody to ask")
    {
        fixture.start(0);
        CHECK_FALSE(fixture.inquiry.isPending());
    }
    SECTION("there is no end of instances that have no configuration")
    {
        fixture.start(100);
        int asked = 0;
        for (; !fixture.client.calls.empty(); ++asked) {
            fixture.client.answer(HttpResponse{404, {}, ""});
        }
        CHECK(asked == 12);
        CHECK(fixture.finished == 1);
    }
}
