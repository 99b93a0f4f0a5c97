#include "memorystore.h"

#include <burdock/declarations/publisher.h>
#include <burdock/declarations/setdiff.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

#include <random>

using namespace Burdock;

namespace
{

constexpr Duration PublishTimeout = std::chrono::seconds(10);

std::string fleetText(const std::string &name, int slots)
{
    return "[fleet." + name + "]\nslots = \"" + std::to_string(slots) + " slots\"\nconnections = \"40 connections\"\nconnection-cost = \"6ms\"\n";
}

/// A set of two files, of which only the first depends on `slots`.
DeclarationSet setWith(int slots)
{
    return DeclarationSet({{"a.toml", DeclarationFile(fleetText("a", slots))}, {"b.toml", DeclarationFile(fleetText("b", 5))}});
}

struct PublishFixture
{
    ManualRuntime runtime;
    MemoryStore store{runtime};
    Publisher publisher{runtime, store, PublishTimeout};
    ConfigReader reader{store};

    PublishRequest request(const DeclarationSet &set, std::uint64_t base, const std::string &id)
    {
        return {set, base, id, "operator", "a test"};
    }

    Result<PublishReport> publish(const DeclarationSet &set, std::uint64_t base, const std::string &id)
    {
        std::optional<Result<PublishReport>> report;
        publisher.publish(request(set, base, id), [&](Result<PublishReport> result) { report = std::move(result); });
        runtime.advance(PublishTimeout + std::chrono::seconds(5));
        REQUIRE(report);
        return *report;
    }

    std::vector<AuditRecord> audit(std::uint64_t last)
    {
        std::vector<AuditRecord> records;
        reader.readAudit(1, last, [&](Result<std::vector<AuditRecord>> read) { records = read.value(); });
        runtime.advance(std::chrono::seconds(1));
        return records;
    }

    StoredHead head()
    {
        StoredHead head;
        reader.readHead([&](Result<StoredHead> read) { head = read.value(); });
        runtime.advance(std::chrono::seconds(1));
        return head;
    }
};

} // namespace

TEST_CASE("A publish writes head, changed files and audit record in one transaction", "[publish]")
{
    PublishFixture fixture;
    REQUIRE(fixture.publish(setWith(5), 0, "first") == PublishReport{PublishOutcome::Accepted, 1, diffText({}, setWith(5))});
    const auto filesBefore = fixture.store.entries().size();
    const auto second = fixture.publish(setWith(6), 1, "second");
    REQUIRE(second);
    CHECK(second->version == 2);
    CHECK(second->diff == "--- a.toml\n+++ a.toml\n@@ line 2 @@\n [fleet.a]\n-slots = \"5 slots\"\n+slots = \"6 slots\"\n connections = \"40 connections\"\n");
    CHECK(fixture.store.entries().size() == filesBefore + 2);
    CHECK(fixture.store.writes == 2);
    const auto records = fixture.audit(2);
    REQUIRE(records.size() == 2);
    CHECK(records[1] == AuditRecord{2, 1, "second", "operator", records[1].when, "a test", second->diff});
    CHECK(records[1].when.size() == std::string("1970-01-01T00:00:00Z").size());

    SECTION("the same files again write nothing")
    {
        CHECK(fixture.publish(setWith(6), 2, "third")->outcome == PublishOutcome::Unchanged);
        CHECK(fixture.store.writes == 2);
    }
    SECTION("an older base is a conflict with the diff against the store, and writes nothing")
    {
        const auto conflict = fixture.publish(setWith(9), 1, "third");
        CHECK(conflict == PublishReport{PublishOutcome::Conflict, 2, diffText(setWith(6), setWith(9))});
        CHECK(fixture.store.writes == 2);
    }
    SECTION("the published files are read back")
    {
        std::optional<DeclarationSet> read;
        fixture.reader.readFiles(fixture.head().head, {}, [&](Result<DeclarationSet> set) { read = set.value(); });
        fixture.runtime.advance(std::chrono::seconds(1));
        CHECK(read == setWith(6));
    }
}

TEST_CASE("A publish with faults or without id, publisher or reason is refused without a store call", "[publish]")
{
    PublishFixture fixture;
    const DeclarationSet faulty({{"a.toml", DeclarationFile("[fleet.a]\n")}});
    const PublishRequest requests[] = {
        fixture.request(faulty, 0, "id"), fixture.request(setWith(5), 0, ""), {setWith(5), 0, "id", "", "why"}, {setWith(5), 0, "id", "who", ""}};
    for (const PublishRequest &request : requests) {
        std::optional<Result<PublishReport>> report;
        fixture.publisher.publish(request, [&](Result<PublishReport> result) { report = std::move(result); });
        REQUIRE(report);
        CHECK(report->error().code == Errc::BadRequest);
        CHECK(report->error().verdict == Verdict::NotRun);
    }
    CHECK(fixture.store.reads + fixture.store.writes == 0);
}

TEST_CASE("After a lost reply the outcome is read from the store", "[publish][faults]")
{
    struct FaultCase
    {
        const char *name;
        std::deque<CallFault> faults;
    };
    const FaultCase cases[] = {
        {"refused", {CallFault::Refused}},
        {"request lost", {CallFault::LostRequest}},
        {"reply lost", {CallFault::LostReply}},
        {"effect after the timeout", {CallFault::LateEffect}},
        {"lost, then reply lost", {CallFault::LostRequest, CallFault::LostReply}},
        {"late effect, and the second attempt lost", {CallFault::LateEffect, CallFault::LostRequest}},
    };
    for (const FaultCase &faultCase : cases) {
        INFO(faultCase.name);
        PublishFixture fixture;
        REQUIRE(fixture.publish(setWith(5), 0, "first"));
        fixture.store.commitFaults = faultCase.faults;
        const auto report = fixture.publish(setWith(6), 1, "second");
        REQUIRE(report);
        CHECK(report->outcome == PublishOutcome::Accepted);
        CHECK(report->version == 2);
        CHECK(fixture.head().head.version == 2);
        CHECK(fixture.audit(9).size() == 2);
    }
}

TEST_CASE("After a lost reply the outcome is found even if another publish followed", "[publish][faults]")
{
    PublishFixture fixture;
    REQUIRE(fixture.publish(setWith(5), 0, "first"));
    fixture.store.commitFaults = {CallFault::LostReply};
    std::optional<Result<PublishReport>> ours;
    fixture.publisher.publish(fixture.request(setWith(6), 1, "ours"), [&](Result<PublishReport> result) { ours = std::move(result); });
    fixture.runtime.advance(std::chrono::milliseconds(50));
    REQUIRE_FALSE(ours);
    Publisher other(fixture.runtime, fixture.store, PublishTimeout);
    std::optional<Result<PublishReport>> theirs;
    other.publish(fixture.request(setWith(7), 2, "theirs"), [&](Result<PublishReport> result) { theirs = std::move(result); });
    fixture.runtime.advance(std::chrono::seconds(20));
    REQUIRE(theirs);
    CHECK((*theirs)->version == 3);
    REQUIRE(ours);
    CHECK((*ours)->outcome == PublishOutcome::Accepted);
    CHECK((*ours)->version == 2);
    CHECK(fixture.audit(9).size() == 3);

    SECTION("repeating the publish id later returns the same version and writes nothing")
    {
        const auto writes = fixture.store.writes;
        CHECK(fixture.publish(setWith(6), 1, "ours")->version == 2);
        CHECK(fixture.store.writes == writes);
    }
}

TEST_CASE("A publish during an outage returns the correct verdict", "[publish][faults]")
{
    PublishFixture fixture;
    REQUIRE(fixture.publish(setWith(5), 0, "first"));
    SECTION("before the commit: not run")
    {
        fixture.store.beginOutage();
        CHECK(fixture.publish(setWith(6), 1, "second").error().verdict == Verdict::NotRun);
    }
    SECTION("right after the commit: may have run, and repeating the id later returns the outcome")
    {
        fixture.store.commitFaults = {CallFault::LostReply};
        fixture.store.onApplied = [&] { fixture.store.outage = true; };
        CHECK(fixture.publish(setWith(6), 1, "second").error().verdict == Verdict::MayHaveRun);
        fixture.store.outage = false;
        CHECK(fixture.publish(setWith(6), 1, "second")->outcome == PublishOutcome::Accepted);
    }
}

TEST_CASE("Changes too large for one transaction write files first and the head last", "[publish]")
{
    PublishFixture fixture;
    std::map<std::string, DeclarationFile> files;
    for (int i = 0; i < 250; ++i) {
        const std::string name = "f" + std::to_string(i);
        files.emplace(name + ".toml", DeclarationFile(fleetText(name, 5) + "#" + std::string(9000, 'x') + "\n"));
    }
    const DeclarationSet large(std::move(files));
    std::uint64_t effects = 0;
    bool headBeforeFiles = false;
    fixture.store.onApplied = [&] {
        ++effects;
        headBeforeFiles = headBeforeFiles || (fixture.store.entries().count(ConfigHeadKey) != 0 && fixture.store.entries().size() < 252);
    };
    REQUIRE(fixture.publish(large, 0, "large")->outcome == PublishOutcome::Accepted);
    CHECK(effects == 3);
    CHECK_FALSE(headBeforeFiles);
}

TEST_CASE("Racing publishers: each accepted change has an audit record and each record an accepted change", "[publish][audit][generated]")
{
    constexpr int Rounds = 60;
    constexpr int Publishers = 4;
    const unsigned seed = 20260304;
    WARN("seed " << seed);
    std::mt19937 random(seed);
    for (int round = 0; round < Rounds; ++round) {
        INFO("round " << round);
        PublishFixture fixture;
        std::map<std::string, std::uint64_t> acceptedAs;
        std::map<std::string, PublishRequest> unsettled;
        std::map<std::string, std::string> hashOf;
        std::size_t completed = 0;
        for (int i = 0; i < Publishers; ++i) {
            const std::string id = "p" + std::to_string(i);
            const DeclarationSet set = setWith(10 + i);
            hashOf[id] = set.hash();
            fixture.store.commitFaults.push_back(static_cast<CallFault>(random() % 5));
            fixture.runtime.schedule(Duration(random() % 400000), [&, id, set] {
                const PublishRequest request = fixture.request(set, random() % 3, id);
                fixture.publisher.publish(request, [&, request](Result<PublishReport> report) {
                    ++completed;
                    if (report && report->outcome == PublishOutcome::Accepted) {
                        acceptedAs[request.publishId] = report->version;
                    } else if (!report && report.error().verdict != Verdict::NotRun) {
                        unsettled[request.publishId] = request;
                    }
                });
            });
        }
        if (random() % 2 == 0) {
            fixture.runtime.schedule(Duration(random() % 500000), [&] { fixture.store.outage = true; });
            fixture.runtime.schedule(Duration(600000 + random() % 3000000), [&] { fixture.store.outage = false; });
        }
        fixture.runtime.advance(std::chrono::seconds(30));
        REQUIRE(completed == Publishers);
        for (const auto &[id, request] : unsettled) {
            fixture.store.commitFaults.clear();
            const auto settled = fixture.publish(request.set, request.base, id);
            REQUIRE(settled);
            if (settled->outcome == PublishOutcome::Accepted) {
                acceptedAs[id] = settled->version;
            }
        }
        const ConfigHead head = fixture.head().head;
        const auto records = fixture.audit(head.version + 3);
        REQUIRE(records.size() == head.version);
        std::set<std::string> recorded;
        for (std::size_t i = 0; i < records.size(); ++i) {
            CHECK(records[i].version == i + 1);
            CHECK(records[i].base == i);
            CHECK(acceptedAs[records[i].publishId] == records[i].version);
            recorded.insert(records[i].publishId);
        }
        CHECK(recorded.size() == records.size());
        CHECK(std::count_if(acceptedAs.begin(), acceptedAs.end(), [](const auto &entry) { return entry.second != 0; })
              == static_cast<std::ptrdiff_t>(records.size()));
        if (head.version != 0) {
            CHECK(head.publishId == records.back().publishId);
            CHECK(head.hash == hashOf[head.publishId]);
            CHECK(std::all_of(head.files.begin(), head.files.end(), [&](const auto &file) {
                return fixture.store.entries().count(configFileKey(file.first, file.second)) == 1;
            }));
        }
    }
}

TEST_CASE("Malformed records in the store are refused", "[publish][hostile]")
{
    for (const std::string text : {"",
                                   "{}",
                                   "[]",
                                   "{\"version\":1}",
                                   "{\"version\":-1,\"publishId\":\"x\",\"hash\":\"\",\"files\":{}}",
                                   "{\"version\":1,\"publishId\":\"x\",\"hash\":\"0\",\"files\":{\"a\":\"b\"}}",
                                   "{\"version\":1,\"publishId\":7,\"hash\":\"0\",\"files\":3}"}) {
        INFO(text);
        CHECK(ConfigHead::parse(text).error().code == Errc::BadRequest);
        CHECK(AuditRecord::parse(text).error().code == Errc::BadRequest);
    }
}
