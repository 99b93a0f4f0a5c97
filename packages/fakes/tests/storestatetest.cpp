#include <burdock/fakes/storestate.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

using namespace Burdock;

namespace
{

Operation put(std::string key, std::string value, std::int64_t lease = 0)
{
    Operation operation;
    operation.kind = Operation::Kind::Put;
    operation.span.key = std::move(key);
    operation.value = std::move(value);
    operation.lease = lease;
    return operation;
}

Operation read(std::string key)
{
    Operation operation;
    operation.span.key = std::move(key);
    return operation;
}

Compare compare(std::string key, Compare::Target target, std::int64_t number, std::string value = {})
{
    Compare result;
    result.key = std::move(key);
    result.target = target;
    result.number = number;
    result.value = std::move(value);
    return result;
}

} // namespace

TEST_CASE("A transaction is atomic", "[fakes][store]")
{
    ManualRuntime runtime;
    StoreState state(runtime);
    REQUIRE(state.transact({compare("a", Compare::Target::Create, 0)}, {put("a", "1"), put("b", "1")}, {}).succeeded);
    CHECK(state.revision() == 2);

    SECTION("a failing condition runs the other branch")
    {
        const auto result = state.transact({compare("a", Compare::Target::Create, 0)}, {put("c", "1")}, {read("a")});
        CHECK_FALSE(result.succeeded);
        CHECK(result.responses.at(0).range.entries.at(0).value == "1");
        CHECK(state.range(KeySpan{"c", {}}, 0).count == 0);
        CHECK(state.revision() == 2);
    }
    SECTION("every condition target is evaluated")
    {
        state.transact({}, {put("a", "2")}, {});
        CHECK(state.transact({compare("a", Compare::Target::Mod, 3)}, {}, {}).succeeded);
        CHECK(state.transact({compare("a", Compare::Target::Create, 2)}, {}, {}).succeeded);
        CHECK(state.transact({compare("a", Compare::Target::Version, 2)}, {}, {}).succeeded);
        CHECK(state.transact({compare("a", Compare::Target::Value, 0, "2")}, {}, {}).succeeded);
        CHECK_FALSE(state.transact({compare("a", Compare::Target::Mod, 2)}, {}, {}).succeeded);
        CHECK_FALSE(state.transact({compare("x", Compare::Target::Value, 0, "")}, {}, {}).succeeded);
    }
    SECTION("transactions that etcd refuses are refused with its error messages")
    {
        const std::string large(StoreState::MaxValueBytes + 1, 'x');
        CHECK(state.transact({}, {put("a", large)}, {}).error == "etcdserver: request is too large");
        CHECK(state.transact({}, {put("a", "1"), put("a", "2")}, {}).error == "etcdserver: duplicate key given in txn request");
        CHECK(state.transact({}, {put("a", "1", 77)}, {}).error == "etcdserver: requested lease not found");
        CHECK(state.transact({}, std::vector<Operation>(StoreState::MaxOperations + 1, read("a")), {}).error
              == "etcdserver: too many operations in txn request");
        CHECK(state.range(KeySpan{"a", {}}, 0).entries.at(0).value == "1");
    }
}

TEST_CASE("A range returns keys of a prefix up to its limit", "[fakes][store]")
{
    ManualRuntime runtime;
    StoreState state(runtime);
    state.transact({}, {put("p/1", "1"), put("p/2", "2"), put("p/3", "3"), put("q", "4")}, {});
    const auto result = state.range(KeySpan{"p/", "p0"}, 2);
    CHECK(result.count == 3);
    CHECK(result.entries.size() == 2);
    CHECK(result.more);
    CHECK(state.range(KeySpan{"p/2", std::string(1, '\0')}, 0).count == 3);
}

TEST_CASE("The keys of a lease are deleted when it expires", "[fakes][store]")
{
    ManualRuntime runtime;
    StoreState state(runtime);
    const auto lease = state.grantLease(0, 10);
    REQUIRE(lease);
    state.transact({}, {put("a", "1", *lease)}, {});
    runtime.advance(std::chrono::seconds(8));
    CHECK(state.keepLeaseAlive(*lease) == 10);
    runtime.advance(std::chrono::seconds(8));
    CHECK(state.range(KeySpan{"a", {}}, 0).count == 1);
    runtime.advance(std::chrono::seconds(2));
    CHECK(state.range(KeySpan{"a", {}}, 0).count == 0);
    CHECK(state.keepLeaseAlive(*lease) == 0);
    CHECK_FALSE(state.revokeLease(*lease));
}

TEST_CASE("The history returns every change since a revision until it is compacted", "[fakes][store]")
{
    ManualRuntime runtime;
    StoreState state(runtime);
    std::vector<std::int64_t> revisions;
    state.addListener([&](std::int64_t revision, const auto &) { revisions.push_back(revision); });
    state.transact({}, {put("a", "1"), put("b", "1")}, {});
    state.transact({}, {put("a", "2")}, {});
    CHECK(revisions == std::vector<std::int64_t>{2, 3});
    REQUIRE(state.history(KeySpan{"a", {}}, 2));
    CHECK(state.history(KeySpan{"a", {}}, 2)->size() == 2);
    CHECK(state.history(KeySpan{"a", {}}, 3)->size() == 1);
    state.compact();
    CHECK_FALSE(state.history(KeySpan{"a", {}}, 3));
    CHECK(state.history(KeySpan{"a", {}}, state.oldestRevision())->empty());

    SECTION("revisions older than HistoryRevisions are compacted automatically")
    {
        for (std::int64_t number = 0; number <= StoreState::HistoryRevisions; ++number) {
            state.transact({}, {put("a", std::to_string(number))}, {});
        }
        CHECK_FALSE(state.history(KeySpan{"a", {}}, 4));
    }
}
