#include <burdock/router/crashreportcodec.h>
#include <burdock/router/crashreportwriter.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

#include "../../routing/tests/manualstore.h"
#include <unistd.h>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct WriterFixture
{
    ManualRuntime runtime;
    ManualStore store;
    DecisionLog log{runtime, STDERR_FILENO, "test"};
    CrashGuard guard{[this](Duration clearingTime) { writer.onChanged(clearingTime); }};
    CrashReportWriter writer{runtime, store, "instances/a/crashes", guard, [this](const std::vector<CrashReport> &reports) { pushed.push_back(reports); }, log};
    const RequestFingerprint request{7};
    std::vector<std::vector<CrashReport>> pushed;

    void answer(bool success = true)
    {
        store.reply(store.commits, success ? Result<StoreCommit>(StoreCommit{true, 5, {}}) : notRun(Errc::Unavailable, "away"));
    }
};

} // namespace

TEST_CASE("A request that crashed several servers is reported at once", "[crashreports]")
{
    WriterFixture fixture;
    fixture.guard.onCrash(fixture.request, {{ServerId("p"), false}, {ServerId("q"), false}, {ServerId("r"), false}}, fixture.runtime.now());
    fixture.runtime.advance(milliseconds(1));
    REQUIRE(fixture.store.written.size() == 1);
    CHECK(fixture.store.written.front().key == "instances/a/crashes");
    CHECK(fixture.store.written.front().lease == 0);
    CHECK(readCrashReports(*fixture.store.written.front().value, fixture.runtime.wallNow()).value() == std::vector<CrashReport>{{fixture.request, 3, 0}});
    REQUIRE(fixture.pushed.size() == 1);
    CHECK(fixture.pushed.front() == std::vector<CrashReport>{{fixture.request, 3, 0}});
    SECTION("changes during the write are pushed soon and written after it")
    {
        fixture.guard.onCrash(fixture.request, {{ServerId("p"), true}}, fixture.runtime.now());
        fixture.runtime.advance(milliseconds(100));
        CHECK(fixture.pushed.size() == 2);
        CHECK(fixture.store.written.size() == 1);
        fixture.answer();
        fixture.runtime.advance(seconds(2));
        CHECK(fixture.store.written.size() == 2);
    }
    SECTION("a failed write is repeated")
    {
        fixture.answer(false);
        fixture.runtime.advance(seconds(2));
        CHECK(fixture.store.written.size() == 2);
    }
    SECTION("the reports are written again after the store has lost them")
    {
        fixture.answer();
        fixture.writer.rewrite();
        fixture.runtime.advance(seconds(2));
        CHECK(fixture.store.written.size() == 2);
    }
}

TEST_CASE("A request that crashed two servers is reported unless one of them shows soon that it runs", "[crashreports]")
{
    WriterFixture fixture;
    fixture.guard.onCrash(fixture.request, {{ServerId("p"), false}}, fixture.runtime.now());
    fixture.guard.onCrash(fixture.request, {{ServerId("q"), true}}, fixture.runtime.now());
    fixture.runtime.advance(milliseconds(100));
    CHECK(fixture.store.written.empty());
    SECTION("both stay away")
    {
        fixture.runtime.advance(milliseconds(300));
        CHECK(fixture.store.written.size() == 1);
        CHECK(fixture.pushed.size() == 1);
    }
    SECTION("both answer")
    {
        fixture.guard.onServerAnswered(ServerId("p"), fixture.runtime.now());
        fixture.guard.onServerAnswered(ServerId("q"), fixture.runtime.now());
        fixture.runtime.advance(seconds(5));
        CHECK(fixture.store.written.empty());
    }
}

TEST_CASE("A broken connection alone costs no call to the store", "[crashreports]")
{
    WriterFixture fixture;
    for (std::uint64_t request = 1; request < 100; ++request) {
        fixture.guard.onCrash(RequestFingerprint(request), {{ServerId("p"), false}}, fixture.runtime.now());
        fixture.runtime.advance(milliseconds(100));
        fixture.guard.onAnswered(RequestFingerprint(request));
    }
    fixture.runtime.advance(seconds(5));
    CHECK(fixture.store.written.empty());
    SECTION("one that no answer follows is reported after a while")
    {
        fixture.guard.onCrash(fixture.request, {{ServerId("p"), false}}, fixture.runtime.now());
        fixture.runtime.advance(seconds(3));
        CHECK(fixture.store.written.size() == 1);
        CHECK(fixture.pushed.empty());
    }
}

TEST_CASE("Crash reports of another writer that cannot be read are refused", "[crashreports]")
{
    const WallTime now{std::chrono::hours(1000)};
    const std::string begin = "{\"atMs\":" + std::to_string(now.time_since_epoch() / milliseconds(1)) + ",\"reports\":[";
    for (const char *value : {"", "{", "7", "{}", "[]", "{\"atMs\":\"now\",\"reports\":[]}"}) {
        INFO(value);
        CHECK_FALSE(readCrashReports(value, now));
    }
    for (const char *report : {"7", "{\"request\":\"zz\"}", R"({"request":"7","crashes":"many","alone":1})", R"({"request":"fffffffffffffffff"})"}) {
        INFO(report);
        CHECK_FALSE(readCrashReports(begin + report + "]}", now));
    }
    std::vector<CrashReport> many;
    for (std::uint64_t request = 0; request < 1000; ++request) {
        many.push_back({RequestFingerprint(request), 1, 1});
    }
    CHECK(readCrashReports(writeCrashReports(many, now), now)->size() == CrashGuard::MaxShared);
}

TEST_CASE("Crash reports of a time that no clock shows are refused and overflow no duration", "[crashreports][overflow]")
{
    const WallTime now{std::chrono::hours(24)};
    for (const char *at : {"9223372036854775807", "-9223372036854775808", "9223372036854775", "-1"}) {
        INFO(at);
        CHECK_FALSE(readCrashReports(std::string(R"({"atMs":)") + at + R"(,"reports":[]})", now));
    }
}

TEST_CASE("Crash reports of long ago, which a starting instance finds in the store, make no request guilty", "[crashreports]")
{
    const WallTime now{std::chrono::hours(1000)};
    const std::vector<CrashReport> reports{{RequestFingerprint(7), 2, 2}};
    const std::string written = writeCrashReports(reports, now);
    CHECK(readCrashReports(written, now + seconds(30)).value() == reports);
    // Clocks may differ.
    CHECK(readCrashReports(written, now - seconds(5)).value() == reports);
    CHECK(readCrashReports(written, now + CrashGuard::GuiltyTime).value().empty());
}
