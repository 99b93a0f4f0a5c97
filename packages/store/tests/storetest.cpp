#include <catch2/catch.hpp>

#include "contractfixture.h"

using namespace Burdock;
using Json = nlohmann::json;

namespace
{

const Duration StoreTimeout = std::chrono::milliseconds(200);

struct StoreFixture : ContractFixture
{
    explicit StoreFixture(Duration timeout = StoreTimeout)
        : store(makeEtcdStore(loop, *client, addresses.store, timeout))
    {
    }

    std::unique_ptr<Store> store;

    Result<StoreCommit> commit(const StoreTransaction &transaction)
    {
        return await<StoreCommit>([&](auto done) { store->commit(transaction, done); });
    }

    Result<StoreCommit> create(const std::string &key, const std::string &value, std::int64_t lease = 0)
    {
        return commit(StoreTransaction{{StoreCondition{key, 0}}, {StoreWrite{key, value, lease}}, {key}});
    }

    Result<StoreRange> read(const std::string &key, bool prefix = false)
    {
        return await<StoreRange>([&](auto done) { store->range(key, prefix, 0, done); });
    }

    bool stored(const std::string &key)
    {
        return fleet.store().state().range(KeySpan{key, {}}, 0).count == 1;
    }
};

} // namespace

TEST_CASE("A compare-and-swap succeeds for one of two writers", "[platform][store]")
{
    StoreFixture fixture;
    const std::string value("a\0b\xff", 4);
    const auto first = fixture.create("k", value);
    REQUIRE(first);
    CHECK(first->succeeded);

    SECTION("a failed condition returns the current value in the same transaction")
    {
        const auto second = fixture.create("k", "other");
        REQUIRE(second);
        CHECK_FALSE(second->succeeded);
        REQUIRE(second->current.size() == 1);
        CHECK(second->current[0].value == value);
        CHECK(second->current[0].modRevision == first->revision);
    }
    SECTION("a write conditioned on an outdated revision fails")
    {
        const StoreTransaction change{{StoreCondition{"k", first->revision}}, {StoreWrite{"k", "new", 0}, StoreWrite{"l", "", 0}}, {}};
        CHECK(fixture.commit(change)->succeeded);
        CHECK_FALSE(fixture.commit(change)->succeeded);
        CHECK(fixture.read("k")->entries.at(0).value == "new");
    }
    SECTION("a write without a value deletes the key")
    {
        CHECK(fixture.commit(StoreTransaction{{}, {StoreWrite{"k", std::nullopt, 0}}, {}})->succeeded);
        CHECK(fixture.read("k")->entries.empty());
    }
    SECTION("a prefix read returns only the keys with that prefix")
    {
        fixture.create("k/1", "1");
        fixture.create("k0", "2");
        CHECK(fixture.read("k/", true)->entries.size() == 1);
        CHECK(fixture.read("k", true)->entries.size() == 3);
    }
}

TEST_CASE("The verdict of a failed write says whether it may have taken effect", "[platform][store][faults]")
{
    struct Case
    {
        const char *name;
        Json fault;
        Errc code;
        Verdict verdict;
        bool stored;
    };
    const auto &each = GENERATE(values<Case>({
        {"the port is closed", {{"outage", "refuse"}}, Errc::Unavailable, Verdict::NotRun, false},
        {"the store hangs", {{"outage", "hang"}}, Errc::DeadlineExceeded, Verdict::MayHaveRun, false},
        {"the reply is lost after the effect", {{"delivery", "dropped"}}, Errc::ConnectionLost, Verdict::MayHaveRun, true},
        {"the reply comes too late", {{"replyDelayMs", 400}}, Errc::DeadlineExceeded, Verdict::MayHaveRun, true},
        {"the store answers 500", {{"error", 500}}, Errc::Unavailable, Verdict::MayHaveRun, false},
    }));
    INFO(each.name);
    StoreFixture fixture;
    fixture.storeFaults(each.fault);
    const auto result = fixture.create("k", "v");
    REQUIRE_FALSE(result);
    CHECK(errcName(result.error().code) == errcName(each.code));
    CHECK(result.error().verdict == each.verdict);
    CHECK(fixture.stored("k") == each.stored);

    // A failed read has no effect.
    const auto reading = fixture.read("k");
    REQUIRE_FALSE(reading);
    CHECK(reading.error().verdict == Verdict::NotRun);

    fixture.storeFaults(Json::object());
    CHECK(fixture.read("k")->entries.size() == (each.stored ? 1 : 0));
}

TEST_CASE("A truncated store reply is detected before the timeout", "[platform][store][faults]")
{
    StoreFixture fixture;
    fixture.storeFaults(Json{{"delivery", "truncated"}});
    const auto result = fixture.create("k", "v");
    REQUIRE_FALSE(result);
    CHECK(errcName(result.error().code) == errcName(Errc::ConnectionLost));
    CHECK(result.error().verdict == Verdict::MayHaveRun);
    CHECK(fixture.stored("k"));
}

TEST_CASE("A request that the store rejects has the verdict NotRun", "[platform][store]")
{
    // Sending 1 MB can exceed the short timeout on a busy machine.
    StoreFixture fixture(HangGuard);
    SECTION("a value over 1 MB, before any byte is sent")
    {
        const auto result = fixture.create("k", std::string(MaxStoreValueBytes + 1, 'x'));
        REQUIRE_FALSE(result);
        CHECK(result.error().code == Errc::TooLarge);
        CHECK(fixture.fleet.store().counters().writes == 0);
    }
    SECTION("too many operations")
    {
        const auto result = fixture.commit(StoreTransaction{std::vector<StoreCondition>(MaxStoreOperations + 1, StoreCondition{"k", 0}), {}, {}});
        CHECK(result.error().code == Errc::TooLarge);
    }
    SECTION("an expired lease")
    {
        const auto result = fixture.create("k", "v", 77);
        REQUIRE_FALSE(result);
        CHECK(result.error().code == Errc::NotFound);
        CHECK(result.error().verdict == Verdict::NotRun);
    }
    CHECK_FALSE(fixture.stored("k"));
    const auto largest = fixture.create("k", std::string(MaxStoreValueBytes, 'x'));
    REQUIRE(largest);
    CHECK(largest->succeeded);
}

TEST_CASE("A lease can be renewed, and revoking it deletes its keys", "[platform][store]")
{
    StoreFixture fixture;
    const auto lease = fixture.await<std::int64_t>([&](auto done) { fixture.store->grantLease(30, done); });
    REQUIRE(lease);
    fixture.create("k", "v", *lease);
    CHECK(fixture.await<std::int64_t>([&](auto done) { fixture.store->keepLeaseAlive(*lease, done); }) == 30);
    CHECK(fixture.await<std::int64_t>([&](auto done) { fixture.store->revokeLease(*lease, done); }) == *lease);
    CHECK_FALSE(fixture.stored("k"));
    const auto gone = fixture.await<std::int64_t>([&](auto done) { fixture.store->keepLeaseAlive(*lease, done); });
    REQUIRE_FALSE(gone);
    CHECK(gone.error().code == Errc::NotFound);
}

TEST_CASE("A watch reports every change after its revision in order until it ends", "[platform][store]")
{
    StoreFixture fixture;
    std::vector<StoreEntry> changes;
    std::vector<Failure> ends;
    const auto watch = [&](std::int64_t from) {
        return fixture.store->watch(
            "k", true, from, [&](const StoreEntry &entry) { changes.push_back(entry); }, [&](const Failure &end) { ends.push_back(end); });
    };
    const auto until = [&](const auto &condition) { REQUIRE(fixture.loop.runUntil(condition, HangGuard)); };
    const std::int64_t first = fixture.create("k1", "1")->revision;
    fixture.create("k2", "2");

    SECTION("earlier changes are reported first, then new ones, and none after unwatch")
    {
        const auto id = watch(first);
        fixture.storeFaults(Json{{"delivery", "split"}});
        fixture.create("other", "x");
        fixture.commit(StoreTransaction{{}, {StoreWrite{"k1", std::nullopt, 0}}, {}});
        until([&] { return changes.size() == 2; });
        CHECK(changes[0].key == "k2");
        CHECK(changes[1].key == "k1");
        CHECK(changes[1].deleted);
        fixture.store->unwatch(id);
        fixture.create("k3", "3");
        CHECK(changes.size() == 2);
        CHECK(ends.empty());
    }
    SECTION("the end is reported once, whatever the cause")
    {
        watch(first);
        until([&] { return changes.size() == 1; });
        SECTION("by the store")
        {
            fixture.fleet.store().breakWatches();
        }
        SECTION("by an outage")
        {
            fixture.storeFaults(Json{{"outage", "refuse"}});
        }
        until([&] { return !ends.empty(); });
        CHECK(ends.size() == 1);
    }
    SECTION("a watch from a compacted revision ends with WrongVersion")
    {
        fixture.fleet.store().state().compact();
        watch(first - 1);
        until([&] { return !ends.empty(); });
        CHECK(ends[0].code == Errc::WrongVersion);
    }
    SECTION("a watch that the store does not confirm ends with DeadlineExceeded")
    {
        fixture.storeFaults(Json{{"outage", "hang"}});
        watch(first);
        until([&] { return !ends.empty(); });
        CHECK(ends[0].code == Errc::DeadlineExceeded);
    }
}
