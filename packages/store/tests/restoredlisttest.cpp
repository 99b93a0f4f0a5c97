#include <burdock/store/factories.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

#include "../../../tests/manualclient.h"

using namespace Burdock;
using std::chrono::seconds;

TEST_CASE("A list of instances that was restored from a copy is taken, and one from a replica that is behind is not", "[instancelist][restored]")
{
    ManualRuntime runtime;
    ManualClient client;
    const auto list = makeHttpInstanceList(runtime, client, Address{"10.0.0.1", 80});
    std::vector<std::uint64_t> versions;
    list->follow([&versions](const InstanceList &changed) { versions.push_back(changed.version); });
    const auto answer = [&client](int version) {
        client.answer(HttpResponse{200, {}, R"({"instances":[],"servers":[],"version":)" + std::to_string(version) + "}"});
    };
    /// Answers each poll of the span with the version.
    const auto answerFor = [&](Duration span, int version) {
        for (const TimePoint end = runtime.now() + span; runtime.now() < end; runtime.advance(std::chrono::milliseconds(100))) {
            while (!client.calls.empty()) {
                answer(version);
            }
        }
    };
    answer(9);
    answerFor(seconds(2), 5);
    CHECK(versions == std::vector<std::uint64_t>{9});
    SECTION("the replica catches up")
    {
        answerFor(seconds(2), 9);
        answerFor(seconds(2), 5);
        CHECK(versions == std::vector<std::uint64_t>{9});
    }
    SECTION("the version stays lower, and changes follow")
    {
        answerFor(seconds(15), 5);
        answerFor(seconds(6), 6);
        CHECK(versions == std::vector<std::uint64_t>{9, 5, 6});
    }
    list->stop();
}
