#include <burdock/values/exceptionboundary.h>
#include <burdock/values/manualruntime.h>
#include <burdock/values/periodictimer.h>

#include <catch2/catch.hpp>
#include <stdexcept>
#include <vector>

using namespace Burdock;

namespace
{

struct RecordedWork final : GuardedWork
{
    void fail(const std::string &reason) override
    {
        reasons.push_back(reason);
    }

    std::vector<std::string> reasons;
};

struct BoundaryFixture
{
    BoundaryFixture()
    {
        boundary.setHandler([this](std::string_view place, std::string_view reason) { reports.push_back(std::string(place) + ": " + std::string(reason)); });
    }

    ExceptionBoundary boundary;
    std::vector<std::string> reports;
    std::shared_ptr<RecordedWork> first = std::make_shared<RecordedWork>();
    std::shared_ptr<RecordedWork> second = std::make_shared<RecordedWork>();
};

} // namespace

TEST_CASE("An exception is reported and ends the work for which the code runs, and no other", "[boundary]")
{
    BoundaryFixture fixture;
    ExceptionBoundary &boundary = fixture.boundary;
    CHECK(boundary.run("idle", [] {}));
    CHECK_FALSE(boundary.run("nobody", [] { throw std::runtime_error("for no one"); }));
    const bool outer = boundary.runFor(fixture.first, "outer", [&] {
        CHECK_FALSE(boundary.runFor(fixture.second, "inner", [] { throw 7; }));
        CHECK(boundary.work().lock() == fixture.first);
    });
    CHECK(outer);
    CHECK(boundary.work().expired());
    CHECK(fixture.first->reasons.empty());
    CHECK(fixture.second->reasons == std::vector<std::string>{"an exception of another type"});
    CHECK(fixture.reports == std::vector<std::string>{"nobody: for no one", "inner: an exception of another type"});
    CHECK(boundary.caught() == 2);
}

TEST_CASE("An exception ends its work also if reporting throws or the work is gone", "[boundary]")
{
    BoundaryFixture fixture;
    fixture.boundary.setHandler([](std::string_view, std::string_view) { throw std::runtime_error("no room for the line"); });
    CHECK_FALSE(fixture.boundary.runFor(fixture.first, "callback", [] { throw std::runtime_error("first"); }));
    CHECK(fixture.first->reasons.size() == 1);
    CHECK_FALSE(fixture.boundary.runFor(std::make_shared<RecordedWork>(), "callback", [] { throw std::runtime_error("second"); }));
}

TEST_CASE("A periodic timer goes on after its function has thrown, until it is stopped", "[boundary]")
{
    ManualRuntime runtime;
    int calls = 0;
    PeriodicTimer timer(runtime, std::chrono::seconds(1), [&] {
        if (++calls == 1) {
            throw std::runtime_error("once");
        }
        if (calls == 3) {
            timer.stop();
        }
    });
    timer.start();
    CHECK_THROWS(runtime.advance(std::chrono::seconds(1)));
    runtime.advance(std::chrono::seconds(5));
    CHECK(calls == 3);
    CHECK(runtime.pending() == 0);
}
