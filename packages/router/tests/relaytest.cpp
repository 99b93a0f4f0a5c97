#include <burdock/router/relaycodec.h>
#include <burdock/router/relayedstore.h>
#include <burdock/router/relayservice.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

#include "../../../tests/manualclient.h"
#include "recordedresponder.h"
#include <optional>
#include <unistd.h>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct RelayServiceFixture
{
    ManualRuntime runtime;
    TimePoint confirmed = runtime.now();
    RelayService service{runtime, [this] { return confirmed; }};

    std::shared_ptr<RecordedResponder> poll(const std::string &after, const std::string &waitMs = "1000")
    {
        HttpServerRequest incoming;
        incoming.query = {{"prefix", "servers/"}, {"after", after}, {"waitMs", waitMs}};
        const auto answer = std::make_shared<RecordedResponder>();
        service.serve(incoming, answer);
        return answer;
    }
};

/// A store that records its watches and counts its range reads.
class FakeStore final : public Store
{
public:
    void range(const std::string &, bool, std::int64_t, Callback<StoreRange> done) override
    {
        ++ranges;
        lastRange = std::move(done);
    }
    void commit(StoreTransaction, Callback<StoreCommit>) override
    {
    }
    void grantLease(std::int64_t, Callback<std::int64_t>) override
    {
    }
    void keepLeaseAlive(std::int64_t, Callback<std::int64_t> done) override
    {
        done(std::int64_t{3});
    }
    void revokeLease(std::int64_t, Callback<std::int64_t>) override
    {
    }
    std::uint64_t
    watch(const std::string &, bool, std::int64_t from, std::function<void(const StoreEntry &)> onChanged, std::function<void(const Failure &)> ended) override
    {
        watches[++lastId_] = {from, std::move(onChanged), std::move(ended), nullptr};
        return lastId_;
    }
    void setAnswerHandler(std::uint64_t watch, const AnswerHandler &onAnswered) override
    {
        watches.at(watch).onAnswered = onAnswered;
    }
    void unwatch(std::uint64_t watch) override
    {
        watches.erase(watch);
    }

    struct Watch
    {
        std::int64_t from = 0;
        std::function<void(const StoreEntry &)> onChanged;
        std::function<void(const Failure &)> ended;
        AnswerHandler onAnswered;
    };
    std::map<std::uint64_t, Watch> watches;
    Callback<StoreRange> lastRange;
    int ranges = 0;

private:
    std::uint64_t lastId_ = 0;
};

struct RelayedStoreFixture
{
    RelayedStoreFixture()
    {
        setRegion({});
    }

    /// Sets the instances of the region; those that are named follow the emptied data centres.
    void setRegion(const std::string &following)
    {
        std::vector<InstanceRecord> region;
        for (const char *id : {"a", "b", "c", "d", "e"}) {
            const Address peers{"10.0.0.1", static_cast<std::uint16_t>(9000 + id[0])};
            region.push_back({InstanceId(id), peers, peers, Region("home"), DataCentre("a"), true, 1, false});
            region.back().followsEmptied = following.find(id) != std::string::npos;
        }
        relays.setInstances(region);
    }

    void watch(std::int64_t from)
    {
        // Skips the time after the start in which a watch waits for relays.
        runtime.advance(seconds(2));
        store.watch(
            "servers/",
            true,
            from,
            [this](const StoreEntry &entry) { received.push_back(entry.key); },
            [this](const Failure &failure) { ended = failure.code; });
    }

    ManualRuntime runtime;
    ManualClient client;
    FakeStore direct;
    RelayChoice relays{InstanceId("outsider")};
    DecisionLog log{runtime, STDERR_FILENO, "outsider"};
    RelayedStore store{runtime, client, direct, relays, "instances/", log, Duration{0}, "emptied/"};
    std::vector<std::string> received;
    Errc ended = Errc::Ok;
};

const StoreEntry Change{"servers/p1", "v", 12, 0, false};

} // namespace

TEST_CASE("A relay answers polls at once or when a change arrives", "[relay]")
{
    RelayServiceFixture fixture;
    fixture.service.onListed("servers/", {{"servers/p0", "v", 7, 0, false}}, 10);
    SECTION("a change after the given revision is returned at once")
    {
        fixture.service.onChanged("servers/", Change);
        const auto answer = fixture.poll("10");
        fixture.runtime.advance(Duration{0});
        REQUIRE(answer->status == 200);
        CHECK(readChanges(answer->body)->front() == Change);
    }
    SECTION("a poll waits for a change under its prefix")
    {
        const auto answer = fixture.poll("10");
        CHECK(answer->status == 0);
        fixture.service.onChanged("instances/", {"instances/a", "v", 11, 0, false});
        CHECK(answer->status == 0);
        fixture.service.onChanged("servers/", Change);
        fixture.runtime.advance(Duration{0});
        CHECK(answer->status == 200);
        fixture.runtime.advance(seconds(2));
    }
    SECTION("a poll without changes ends with an empty answer")
    {
        const auto answer = fixture.poll("10");
        fixture.runtime.advance(milliseconds(1000));
        CHECK(answer->status == 200);
        CHECK(readChanges(answer->body)->empty());
    }
    SECTION("a poll for changes that are no longer kept gets status 410")
    {
        CHECK(fixture.poll("9")->status == 410);
    }
    SECTION("invalid parameters get status 400")
    {
        CHECK(fixture.poll("x")->status == 400);
        CHECK(fixture.poll("-3")->status == 400);
        CHECK(fixture.poll("10", "")->status == 400);
    }
    SECTION("a poll is removed when its client disconnects")
    {
        const auto answer = fixture.poll("10");
        answer->onClientGone();
        fixture.service.onChanged("servers/", Change);
        fixture.runtime.advance(seconds(2));
        CHECK(answer->status == 0);
    }
}

TEST_CASE("A wait or an age near the greatest number overflows no duration", "[relay][overflow]")
{
    SECTION("the wait of a poll")
    {
        RelayServiceFixture fixture;
        fixture.service.onListed("servers/", {}, 10);
        const auto answer = fixture.poll("10", "9223372036854775807");
        CHECK(answer->status == 0);
        fixture.runtime.advance(seconds(1));
        CHECK(answer->status == 0);
    }
    SECTION("the age that a relay states")
    {
        const std::string age = GENERATE("9223372036854775807", "-9223372036854775808", "9223372036854775", "-9223372036854775");
        RelayedStoreFixture fixture;
        fixture.watch(10);
        REQUIRE(fixture.client.calls.size() == 1);
        const TimePoint before = fixture.store.completeUntil();
        fixture.client.answer(HttpResponse{200, {{RelayService::AgeHeader, age}}, writeChanges({Change})});
        CHECK(fixture.received == std::vector<std::string>{"servers/p1"});
        CHECK(fixture.store.completeUntil() == before);
    }
}

TEST_CASE("A relay hands on all changes of one revision, also to a poll that waits", "[relay][samerevision]")
{
    RelayServiceFixture fixture;
    fixture.service.onListed("servers/", {{"servers/p0", "v", 7, 0, false}, {"servers/p1", "v", 8, 0, false}}, 10);
    const auto answer = fixture.poll("10");
    fixture.service.onChanged("servers/", {"servers/p0", "", 12, 0, true});
    fixture.service.onChanged("servers/", {"servers/p1", "", 12, 0, true});
    fixture.runtime.advance(Duration{0});
    REQUIRE(answer->status == 200);
    CHECK(readChanges(answer->body)->size() == 2);
}

TEST_CASE("A relay with stale data answers polls with status 503", "[relay]")
{
    RelayServiceFixture fixture;
    fixture.service.onListed("servers/", {{"servers/p0", "v", 7, 0, false}}, 10);
    const auto waiting = fixture.poll("10", "5000");
    fixture.runtime.advance(milliseconds(1700));
    fixture.service.endStalePolls();
    CHECK(waiting->status == 0);
    fixture.runtime.advance(milliseconds(200));
    fixture.service.endStalePolls();
    CHECK(waiting->status == 503);
    CHECK(fixture.poll("10")->status == 503);
    fixture.confirmed = fixture.runtime.now();
    CHECK(fixture.poll("10")->status == 0);
}

TEST_CASE("A watch uses the relay while the relay answers", "[relay]")
{
    RelayedStoreFixture fixture;
    fixture.watch(10);
    REQUIRE(fixture.client.calls.size() == 1);
    CHECK(fixture.direct.watches.empty());
    CHECK(fixture.client.calls.begin()->second.first.path.find("after=10") != std::string::npos);
    fixture.client.answer(HttpResponse{200, {}, writeChanges({Change})});
    CHECK(fixture.received == std::vector<std::string>{"servers/p1"});
    REQUIRE(fixture.client.calls.size() == 1);
    CHECK(fixture.client.calls.begin()->second.first.path.find("after=12") != std::string::npos);
}

TEST_CASE("A watch switches to another relay or the store when its relay fails, and continues from its revision", "[relay]")
{
    RelayedStoreFixture fixture;
    fixture.watch(10);
    fixture.client.answer(HttpResponse{200, {}, writeChanges({Change})});
    const Address first = fixture.client.calls.begin()->second.first.address;
    SECTION("the relay does not answer")
    {
        fixture.client.answer(mayHaveRun(Errc::DeadlineExceeded, "no answer"));
    }
    SECTION("the relay has stale data")
    {
        fixture.client.answer(HttpResponse{503, {}, ""});
    }
    SECTION("the relay's answer is malformed")
    {
        fixture.client.answer(HttpResponse{200, {}, "nonsense"});
    }
    REQUIRE(fixture.client.calls.size() == 1);
    CHECK(fixture.client.calls.begin()->second.first.address != first);
    fixture.client.answer(HttpResponse{503, {}, ""});
    REQUIRE(fixture.direct.watches.size() == 1);
    CHECK(fixture.direct.watches.begin()->second.from == 12);
    fixture.direct.watches.begin()->second.onChanged({"servers/p2", "v", 15, 0, false});
    CHECK(fixture.received.back() == "servers/p2");
    // The watch later switches back to a relay.
    fixture.runtime.advance(seconds(7));
    CHECK(fixture.direct.watches.empty());
    REQUIRE(fixture.client.calls.size() == 1);
    CHECK(fixture.client.calls.begin()->second.first.path.find("after=15") != std::string::npos);
}

TEST_CASE("A watch ends if its relay no longer has the changes, so that the caller lists again", "[relay]")
{
    RelayedStoreFixture fixture;
    fixture.watch(10);
    fixture.client.answer(HttpResponse{410, {}, ""});
    CHECK(fixture.ended == Errc::WrongVersion);
    CHECK(fixture.direct.watches.empty());
    fixture.store.range("servers/", true, 0, [](const Result<StoreRange> &) {});
    CHECK(fixture.client.calls.size() == 1);
}

TEST_CASE("A listing is read from the relay, or from the store if the relay cannot serve it", "[relay]")
{
    RelayedStoreFixture fixture;
    std::optional<Result<StoreRange>> onListed;
    fixture.store.range("servers/", true, 0, [&onListed](Result<StoreRange> range) { onListed = std::move(range); });
    REQUIRE(fixture.client.calls.size() == 1);
    CHECK(fixture.direct.ranges == 0);
    SECTION("the relay has the listing")
    {
        fixture.client.answer(HttpResponse{200, {}, writeRange({{Change}, 12})});
        REQUIRE(onListed);
        CHECK((*onListed)->revision == 12);
        CHECK((*onListed)->entries == std::vector<StoreEntry>{Change});
    }
    SECTION("the relay has stale data")
    {
        fixture.client.answer(HttpResponse{503, {}, ""});
        CHECK(fixture.direct.ranges == 1);
    }
    SECTION("the relay does not answer")
    {
        fixture.client.answer(mayHaveRun(Errc::DeadlineExceeded, "no answer"));
        CHECK(fixture.direct.ranges == 1);
    }
    SECTION("the relay's answer is malformed")
    {
        fixture.client.answer(HttpResponse{200, {}, "nonsense"});
        CHECK(fixture.direct.ranges == 1);
    }
}

TEST_CASE("Emptied data centres are read from relays that follow them, and from the store while there are only others", "[relay][emptied][builds]")
{
    RelayedStoreFixture fixture;
    fixture.runtime.advance(seconds(2));
    bool listed = false;
    const auto list = [&] { fixture.store.range("emptied/", true, 0, [&listed](const Result<StoreRange> &range) { listed = range.has_value(); }); };
    const auto watch = [&] {
        fixture.store.watch(
            "emptied/", true, 10, [](const StoreEntry &) {}, [](const Failure &) {});
    };
    SECTION("all relays are of an earlier build")
    {
        list();
        CHECK(fixture.direct.ranges == 1);
        fixture.direct.lastRange(StoreRange{{}, 10});
        CHECK(listed);
        watch();
        CHECK(fixture.direct.watches.size() == 1);
        CHECK(fixture.client.calls.empty());
        // Other data still come from them.
        fixture.watch(10);
        CHECK(fixture.client.calls.size() == 1);
        CHECK(fixture.direct.watches.size() == 1);
    }
    SECTION("a relay is replaced by one that follows them")
    {
        watch();
        REQUIRE(fixture.direct.watches.size() == 1);
        fixture.setRegion("abcde");
        fixture.runtime.advance(seconds(2));
        CHECK(fixture.direct.watches.empty());
        REQUIRE(fixture.client.calls.size() == 1);
        CHECK(fixture.client.calls.begin()->second.first.path.find("emptied") != std::string::npos);
    }
    SECTION("one of two relays follows them")
    {
        const auto preferred = fixture.relays.relay(fixture.runtime.now());
        const std::string first(1, static_cast<char>(preferred->port - 9000));
        std::string others = "abcde";
        others.erase(others.find(first), 1);
        fixture.setRegion(others);
        const auto relay = fixture.relays.relayOfEmptied(fixture.runtime.now());
        REQUIRE(relay);
        CHECK_FALSE(*relay == *preferred);
        list();
        CHECK(fixture.direct.ranges == 0);
        REQUIRE(fixture.client.calls.size() == 1);
        CHECK(fixture.client.calls.begin()->second.first.address == *relay);
    }
}

TEST_CASE("A relay's listing includes later changes", "[relay]")
{
    RelayServiceFixture fixture;
    HttpServerRequest incoming;
    incoming.path = RelayService::EntriesPath;
    incoming.query = {{"prefix", "servers/"}};
    const auto requestEntries = [&] {
        const auto answer = std::make_shared<RecordedResponder>();
        fixture.service.serve(incoming, answer);
        return answer;
    };
    CHECK(requestEntries()->status == 503);
    fixture.service.onListed("servers/", {{"servers/p0", "v", 7, 0, false}}, 10);
    fixture.service.onChanged("servers/", Change);
    fixture.service.onChanged("servers/", {"servers/p0", "", 15, 0, true});
    const auto answer = requestEntries();
    REQUIRE(answer->status == 200);
    const auto range = readRange(answer->body);
    REQUIRE(range);
    CHECK(range->revision == 15);
    CHECK(range->entries == std::vector<StoreEntry>{Change});
    fixture.runtime.advance(seconds(2));
    CHECK(requestEntries()->status == 503);
}

TEST_CASE("Just after the start a watch waits for relays before it uses the store", "[relay][start]")
{
    RelayedStoreFixture fixture;
    fixture.relays.setInstances({});
    fixture.store.watch(
        "servers/", true, 10, [](const StoreEntry &) {}, [](const Failure &) {});
    fixture.store.watch(
        "instances/", true, 10, [](const StoreEntry &) {}, [](const Failure &) {});
    CHECK(fixture.direct.watches.empty());
    fixture.runtime.advance(milliseconds(500));
    CHECK(fixture.direct.watches.size() == 1);
    fixture.runtime.advance(milliseconds(600));
    CHECK(fixture.direct.watches.size() == 2);
}

TEST_CASE("A watch at the store ends when the store ends it", "[relay]")
{
    RelayedStoreFixture fixture;
    fixture.relays.setInstances({});
    fixture.watch(10);
    REQUIRE(fixture.direct.watches.size() == 1);
    auto node = fixture.direct.watches.extract(fixture.direct.watches.begin());
    node.mapped().ended(Failure{Errc::WrongVersion, Verdict::NotRun, "compacted", Duration{0}});
    CHECK(fixture.ended == Errc::WrongVersion);
    fixture.runtime.advance(seconds(10));
    CHECK(fixture.client.calls.empty());
}

TEST_CASE("A watch tells that a relay answers, also without a change", "[relay]")
{
    RelayedStoreFixture fixture;
    int answers = 0;
    fixture.runtime.advance(seconds(2));
    const std::uint64_t watch = fixture.store.watch(
        "servers/", true, 10, [](const StoreEntry &) {}, [](const Failure &) {});
    fixture.store.setAnswerHandler(watch, [&answers](TimePoint) { ++answers; });
    fixture.client.answer(HttpResponse{503, {}, ""});
    CHECK(answers == 0);
    fixture.client.answer(HttpResponse{200, {}, writeChanges({})});
    CHECK(answers == 1);
}

TEST_CASE("The age of relayed data adds up, and data that are too old for their depth are not served", "[relay][age]")
{
    RelayedStoreFixture fixture;
    fixture.runtime.advance(seconds(2));
    fixture.store.watch(
        "servers/", true, 10, [](const StoreEntry &) {}, [](const Failure &) {});
    CHECK(fixture.store.completeUntil() == TimePoint{});
    // The answer waits at the relay, or is on its way, for 250 ms, which does not make the data fresher.
    const TimePoint sent = fixture.runtime.now();
    fixture.runtime.advance(milliseconds(250));
    fixture.client.answer(HttpResponse{200, {{RelayService::AgeHeader, "700"}}, writeChanges({})});
    const TimePoint complete = sent - milliseconds(700);
    CHECK(fixture.store.completeUntil() == complete);

    RelayService service(
        fixture.runtime, [&fixture] { return fixture.store.completeUntil(); }, [] { return 1; });
    service.onListed("servers/", {}, 10);
    const auto poll = [&service] {
        HttpServerRequest incoming;
        incoming.query = {{"prefix", "servers/"}, {"after", "10"}, {"waitMs", "0"}};
        const auto answer = std::make_shared<RecordedResponder>();
        service.serve(incoming, answer);
        return answer;
    };
    const auto fresh = poll();
    fixture.runtime.advance(Duration{0});
    CHECK(fresh->status == 200);
    fixture.runtime.advance(milliseconds(2500));
    const auto stale = poll();
    fixture.runtime.advance(Duration{0});
    CHECK(stale->status == 503);
}

TEST_CASE("A relay states the age that its data had when the poll arrived, negative after a wait", "[relay][age]")
{
    RelayServiceFixture fixture;
    fixture.service.onListed("servers/", {{"servers/p0", "v", 7, 0, false}}, 10);
    fixture.runtime.advance(milliseconds(300));
    const auto answer = fixture.poll("10");
    fixture.runtime.advance(milliseconds(500));
    SECTION("nothing was confirmed during the wait")
    {
        fixture.service.onChanged("servers/", Change);
        fixture.runtime.advance(Duration{0});
        REQUIRE(answer->status == 200);
        CHECK(answer->headers.at(RelayService::AgeHeader) == "300");
    }
    SECTION("the data were confirmed during the wait")
    {
        fixture.confirmed = fixture.runtime.now() - milliseconds(100);
        fixture.service.onChanged("servers/", Change);
        fixture.runtime.advance(Duration{0});
        REQUIRE(answer->status == 200);
        CHECK(answer->headers.at(RelayService::AgeHeader) == "-400");
    }
}

TEST_CASE("After an outage a relay's data count as fresh only once the store has answered the watch, not other calls", "[relay]")
{
    RelayedStoreFixture fixture;
    fixture.relays.setInstances({});
    fixture.watch(10);
    REQUIRE(fixture.direct.watches.size() == 1);
    const auto leaseRenewed = [&fixture] {
        std::optional<Result<std::int64_t>> renewal;
        fixture.store.keepLeaseAlive(7, [&renewal](Result<std::int64_t> given) { renewal = std::move(given); });
        REQUIRE(renewal);
    };
    const TimePoint answered = fixture.runtime.now();
    fixture.direct.watches.begin()->second.onAnswered(answered);
    CHECK(fixture.store.completeUntil() == answered);
    fixture.runtime.advance(seconds(1));
    leaseRenewed();
    CHECK(fixture.store.completeUntil() == answered);
    const auto ended = fixture.direct.watches.begin()->second.ended;
    fixture.direct.watches.clear();
    ended(Failure{Errc::Unavailable, Verdict::NotRun, "the store is away", Duration{0}});
    fixture.runtime.advance(seconds(5));
    leaseRenewed();
    CHECK(fixture.store.completeUntil() == answered);
    SECTION("the watch is started again")
    {
        fixture.watch(10);
        leaseRenewed();
        CHECK(fixture.store.completeUntil() == answered);
        fixture.direct.watches.begin()->second.onAnswered(fixture.runtime.now());
        CHECK(fixture.store.completeUntil() == fixture.runtime.now());
    }
    SECTION("or the keys are listed again")
    {
        fixture.store.range("servers/", true, 0, [](const Result<StoreRange> &) {});
        const TimePoint sent = fixture.runtime.now();
        fixture.runtime.advance(milliseconds(50));
        fixture.direct.lastRange(StoreRange{{}, 12});
        CHECK(fixture.store.completeUntil() == sent);
    }
}

TEST_CASE("The data are as old as those of the watch that was confirmed least recently, and nothing is known after a suspension", "[relay][age]")
{
    RelayedStoreFixture fixture;
    fixture.relays.setInstances({});
    fixture.watch(10);
    fixture.store.watch(
        "config", true, 10, [](const StoreEntry &) {}, [](const Failure &) {});
    REQUIRE(fixture.direct.watches.size() == 2);
    const TimePoint first = fixture.runtime.now();
    for (const auto &[id, watch] : fixture.direct.watches) {
        watch.onAnswered(first);
    }
    fixture.runtime.advance(seconds(1));
    fixture.direct.watches.begin()->second.onAnswered(fixture.runtime.now());
    CHECK(fixture.store.completeUntil() == first);
    fixture.store.forgetConfirmations();
    CHECK(fixture.store.completeUntil() == TimePoint{});
}
