#include <burdock/policy/admission.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>
#include <deque>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

/// Simulates a server that answers requests in order at a fixed rate and reports its queue delay.
struct AdmissionFixture
{
    struct Result
    {
        int admitted = 0;
        int onTime = 0;
    };

    /// Sends `sent` requests per second for `span`, of which the caller's share of the server answers `served` per second.
    Result send(const AdmissionKey &key, int sent, int served, Duration span, Duration reportedDelay = Duration{0})
    {
        Result result;
        const TimePoint end = runtime.now() + span;
        while (runtime.now() < end) {
            runtime.advance(Duration(1s) / sent);
            report(std::max(reportedDelay, Duration(1s) / served * static_cast<int>(queue.size())));
            if (!admission.tryAdmit(key, LongestWait)) {
                ++result.admitted;
                queue.push_back(runtime.now());
            }
            tokens += static_cast<double>(served) / sent;
            for (; tokens >= 1 && !queue.empty(); tokens -= 1) {
                const bool late = runtime.now() - queue.front() > LongestWait;
                result.onTime += late ? 0 : 1;
                admission.onRequestFinished(key, {late ? 0U : 51U, late ? 51U : 0U, 0ms});
                queue.pop_front();
            }
            tokens = std::min(tokens, 1.0);
        }
        return result;
    }

    void report(Duration delay)
    {
        ServerReport report;
        report.queueDelay.fill(delay);
        admission.onServerReport(report);
    }

    static constexpr Duration LongestWait = 2s;
    ManualRuntime runtime;
    Admission admission{runtime, 1};
    std::deque<TimePoint> queue;
    double tokens = 0;
    const AdmissionKey heavy{CallerId("heavy"), Rank::Batch, "parts"};
    const AdmissionKey light{CallerId("light"), Rank::Batch, "parts"};
};

} // namespace

TEST_CASE_METHOD(AdmissionFixture, "Every request is admitted while queues are short", "[admission]")
{
    CHECK(send(heavy, 100, 100, 10s).admitted == 1000);
}

TEST_CASE_METHOD(AdmissionFixture, "Admitted requests are served in time under overload", "[admission]")
{
    const int times = GENERATE(2, 5, 20);
    INFO(times << " times the service rate");
    send(heavy, 20, 100, 5s);
    const Result flooded = send(heavy, 100 * times, 100, 20s);
    CHECK(flooded.onTime >= 1900);
    CHECK(flooded.admitted <= flooded.onTime + 150);
    CHECK(admission.refusedCounts()[rankIndex(Rank::Batch)] >= static_cast<std::uint64_t>(1900 * (times - 1)));

    SECTION("a caller below its fair share is not refused")
    {
        queue.clear();
        CHECK(send(light, 20, 20, 10s, 1s).admitted == 200);
    }
    SECTION("the failure is Overloaded and NotRun and has a retry delay")
    {
        std::optional<Failure> refusal;
        for (int i = 0; i < 20 && !refusal; ++i) {
            refusal = admission.tryAdmit(heavy, LongestWait);
        }
        REQUIRE(refusal);
        CHECK(refusal->code == Errc::Overloaded);
        CHECK(refusal->verdict == Verdict::NotRun);
        CHECK(refusal->retryAfter >= 500ms);
        CHECK(refusal->retryAfter <= 3s);
    }
    SECTION("requests are admitted again if recent reports show short queues or if there are none")
    {
        SECTION("short")
        {
            for (int i = 0; i < 50; ++i) {
                report(0ms);
            }
        }
        SECTION("none")
        {
            runtime.advance(1s);
        }
        CHECK_FALSE(admission.tryAdmit(heavy, LongestWait));
    }
}

TEST_CASE_METHOD(AdmissionFixture, "A caller that is never served keeps the minimum in-flight limit", "[admission]")
{
    report(10s);
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        admitted += admission.tryAdmit(heavy, LongestWait) ? 0 : 1;
    }
    CHECK(admitted == 16);
    admission.onRequestFinished(heavy, {0, 51, 10s});
    CHECK_FALSE(admission.tryAdmit(heavy, LongestWait));
}
