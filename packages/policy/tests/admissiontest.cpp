#include <burdock/policy/admission.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

struct AdmissionFixture
{
    /// Sends so many requests a second for a while; the holders serve at most `served` of them a second.
    int admitted(const AdmissionKey &key, int sent, int served, Duration delay, int seconds = 10)
    {
        int all = 0;
        for (int i = 0; i < sent * seconds; ++i) {
            runtime.advance(Duration(1s) / sent);
            const auto refusal = admission.refusal(key, 200ms);
            if (!refusal) {
                ++all;
                tokens += std::min(1.0, static_cast<double>(served) / sent) * 2;
                const bool serve = tokens >= 1 || served >= sent;
                tokens -= serve ? 1 : 0;
                tokens = std::min(tokens, 1.0);
                admission.ended(key, {serve ? 51U : 0U, serve ? 0U : 51U, delay});
            }
        }
        return all;
    }

    ManualRuntime runtime;
    Admission admission{runtime, 1};
    double tokens = 0;
    const AdmissionKey heavy{CallerId("heavy"), Rank::Batch, "parts"};
    const AdmissionKey light{CallerId("light"), Rank::Batch, "parts"};
};

} // namespace

TEST_CASE_METHOD(AdmissionFixture, "All are admitted while queues are short", "[admission]")
{
    CHECK(admitted(heavy, 100, 10, 50ms) == 1000);
}

TEST_CASE_METHOD(AdmissionFixture, "Under long queues a caller is held to about twice what it is served", "[admission]")
{
    const int sent = admitted(heavy, 1000, 0, 1s);
    CHECK(sent < 1000);
    CHECK(sent > 0);
    CHECK(admission.refused()[rankIndex(Rank::Batch)] == 10000U - static_cast<unsigned>(sent));

    SECTION("one that is served in full is not refused meanwhile")
    {
        CHECK(admitted(light, 20, 20, 1s) == 200);
    }
    SECTION("the refusal is true and says when to come back")
    {
        std::optional<Failure> refusal;
        for (int i = 0; i < 100 && !refusal; ++i) {
            refusal = admission.refusal(heavy, 200ms);
        }
        REQUIRE(refusal);
        CHECK(refusal->code == Errc::Overloaded);
        CHECK(refusal->verdict == Verdict::NotRun);
        CHECK(refusal->retryAfter >= 1s);
        CHECK(refusal->retryAfter <= 1500ms);
    }
    SECTION("service returns with the first report of a short queue")
    {
        runtime.advance(1s);
        CHECK_FALSE(admission.refusal(heavy, 200ms));
        admission.ended(heavy, {51, 0, 0ms});
        CHECK(admitted(heavy, 100, 100, 0ms, 1) == 100);
    }
}
