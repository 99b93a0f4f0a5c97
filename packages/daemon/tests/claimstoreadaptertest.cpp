#include <burdock/daemon/claimstoreadapter.h>
#include <burdock/fakes/fakefleet.h>
#include <burdock/store/factories.h>
#include <burdock/wire/factories.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

using namespace Burdock;

namespace
{

const CommandName Invoice("invoice");

/// The adapter with the real HTTP client and a fake store on the loopback interface.
struct Fixture
{
    EventLoop loop;
    std::unique_ptr<HttpClient> client = makeHttpClient(loop, ConnectionLimits{4, 4, 0});
    FakeFleet fleet{loop, loop.base(), FleetFile{}};
    FakeAddresses addresses = fleet.listen({{"127.0.0.1", 0}, {"127.0.0.1", 0}, {"127.0.0.1", 0}}).value();
    std::unique_ptr<Store> store = makeEtcdStore(loop, *client, addresses.store, std::chrono::milliseconds(300));
    ClaimStoreAdapter adapter{*store};

    template<class T, class Start>
    Result<T> await(Start start)
    {
        std::optional<Result<T>> result;
        start([&result](Result<T> given) { result = std::move(given); });
        REQUIRE(loop.runUntil([&] { return result.has_value(); }, std::chrono::seconds(20)));
        return *result;
    }

    Result<ClaimCommit> commit(const ClaimTransaction &transaction)
    {
        return await<ClaimCommit>([&](auto done) { adapter.commit(transaction, done); });
    }

    Result<ClaimFloor> raiseFloor(const ClaimFloor &found, std::uint64_t bucket)
    {
        return await<ClaimFloor>([&](auto done) { adapter.raiseFloor(found, bucket, done); });
    }

    std::size_t storedClaims()
    {
        return fleet.store().state().range(KeySpan{"burdock/claims/invoice/b/", "burdock/claims/invoice/b0"}, 0).entries.size();
    }
};

ClaimWrite write(std::uint64_t bucket, const std::string &key, std::int64_t expected, ClaimState state = ClaimState::Claimed)
{
    return {ClaimKey{Invoice, bucket, key}, expected, ClaimRecord{InstanceId("i1"), 3, UINT64_MAX, state, state == ClaimState::Ran ? "paid \"17\"" : ""}};
}

} // namespace

TEST_CASE("ClaimStoreAdapter stores claims and floors in transactions", "[claims][store]")
{
    Fixture fixture;
    const ClaimFloor unset{Invoice, 0, 0};
    const auto first = fixture.commit({{unset}, {write(7, "7-a", 0), write(7, "7-b", 0)}});
    REQUIRE(first);
    REQUIRE(first->succeeded);

    SECTION("a key that is already claimed fails the whole transaction, which returns the conflicting records")
    {
        const auto second = fixture.commit({{unset}, {write(7, "7-c", 0), write(7, "7-a", 0)}});
        REQUIRE(second);
        CHECK_FALSE(second->succeeded);
        REQUIRE(second->claims.size() == 1);
        CHECK(second->claims[0] == StoredClaim{ClaimKey{Invoice, 7, "7-a"}, first->revision, write(7, "7-a", 0).record});
        CHECK(second->floors == std::vector<ClaimFloor>{unset});
        CHECK(fixture.storedClaims() == 2);
    }
    SECTION("an outcome replaces the claim record only at the expected revision")
    {
        CHECK(fixture.commit({{unset}, {write(7, "7-a", first->revision, ClaimState::Ran)}})->succeeded);
        const auto again = fixture.commit({{unset}, {write(7, "7-a", first->revision, ClaimState::Released)}});
        CHECK(again->claims.at(0).record.state == ClaimState::Ran);
        CHECK(again->claims.at(0).record.outcome == "paid \"17\"");
    }
    SECTION("raising a floor deletes the claims below it and fails transactions with the old floor")
    {
        fixture.commit({{unset}, {write(9, "9-a", 0)}});
        const auto floor = fixture.raiseFloor(unset, 8);
        REQUIRE(floor);
        CHECK(floor->bucket == 8);
        CHECK(fixture.storedClaims() == 1);
        const auto stale = fixture.commit({{unset}, {write(7, "7-a", 0)}});
        CHECK_FALSE(stale->succeeded);
        CHECK(stale->floors.at(0) == *floor);
        CHECK(fixture.commit({{*floor}, {write(9, "9-b", 0)}})->succeeded);
        // A second sweeper with an outdated floor gets the current one and changes nothing.
        CHECK(fixture.raiseFloor(unset, 12) == floor);
        CHECK(fixture.storedClaims() == 2);
    }
    SECTION("a malformed record counts as claimed and a malformed floor as the highest")
    {
        const std::string key = claimStoreKey(ClaimKey{Invoice, 7, "7-x"});
        fixture.await<StoreCommit>([&](auto done) { fixture.store->commit(StoreTransaction{{}, {StoreWrite{key, "garbage", 0, {}}}, {}}, done); });
        const auto conflict = fixture.commit({{unset}, {write(7, "7-x", 0)}});
        REQUIRE(conflict->claims.size() == 1);
        CHECK(conflict->claims[0].record.state == ClaimState::Claimed);
        fixture.await<StoreCommit>([&](auto done) {
            fixture.store->commit(StoreTransaction{{}, {StoreWrite{claimFloorStoreKey(Invoice), "?", 0, {}}}, {}}, done);
        });
        CHECK(fixture.commit({{unset}, {write(7, "7-y", 0)}})->floors.at(0).bucket == UINT64_MAX);
    }
    SECTION("a lost store reply gives MayHaveRun, and the transaction may have been applied")
    {
        fixture.fleet.storePort().gate.setFaults(changeFaults(TransportFaults{}, nlohmann::json{{"delivery", "dropped"}}).value());
        const auto lost = fixture.commit({{unset}, {write(7, "7-z", 0)}});
        REQUIRE_FALSE(lost);
        CHECK(lost.error().verdict == Verdict::MayHaveRun);
        CHECK(fixture.storedClaims() == 3);
    }
}
