#include <burdock/router/routingfeed.h>
#include <burdock/store/storehistory.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

#include "../../routing/tests/manualstore.h"
#include "recordedresponder.h"

#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Json = nlohmann::json;

namespace
{

/// A dialect whose configuration is its version and the keys of one workspace, and whose entries are small JSON objects.
class TestDialect final : public Dialect
{
public:
    const HeaderNames &headers() const override
    {
        return headers_;
    }
    std::string configKey() const override
    {
        return "config";
    }
    std::string serversPrefix() const override
    {
        return "servers/";
    }
    std::string instancesPrefix() const override
    {
        return "instances/";
    }
    std::string emptiedPrefix() const override
    {
        return "emptied/";
    }
    Result<RoutingConfig> readConfig(const std::string &value) const override
    {
        RoutingConfig config;
        std::istringstream words(value);
        words >> config.version;
        config.needsKeys = true;
        config.workspaces = {Workspace{"yard", {std::istream_iterator<std::string>(words), {}}, {}, {}, {}}};
        return config;
    }
    Result<ServerEntry> readServer(const std::string &key, const std::string &value) const override
    {
        const Json read = Json::parse(value);
        ServerEntry entry{serverIdFromKey(key), ServiceName("parts"), Address{"10.0.0.1", 80}, DataCentre("a"), read.at("draining"), 4, Duration{0}, 1};
        entry.sequence = read.at("sequence");
        return entry;
    }
    ServerId serverIdFromKey(const std::string &key) const override
    {
        return ServerId(key.substr(serversPrefix().size()));
    }
    DataCentre dataCentreFromKey(const std::string &key) const override
    {
        return DataCentre(key.substr(emptiedPrefix().size()));
    }
    std::string readinessPath() const override
    {
        return "/ready";
    }
    std::string directoryPath() const override
    {
        return "/directory";
    }
    std::string regionParameter() const override
    {
        return "region";
    }
    HttpServerResponse directoryAnswer(const std::vector<Address> &, std::chrono::seconds) const override
    {
        return {};
    }

private:
    HeaderNames headers_;
};

const StoreEntry EmptiedA{"emptied/a", "", 1, 0, false};

/// A feed on a store whose calls the test answers. The listings come in the order instances, configuration, emptied data centres if
/// these are followed, servers.
struct FeedFixture
{
    explicit FeedFixture(bool followsEmptied = false, const std::vector<StoreEntry> &firstEmptied = {})
        : empties(followsEmptied)
        , listedEmptied(firstEmptied)
    {
        feed.start();
        list(1, "7", {server("p1", 1), server("p2", 1)});
    }

    static StoreEntry server(const std::string &id, int sequence, bool draining = false)
    {
        return {"servers/" + id, Json{{"sequence", sequence}, {"draining", draining}}.dump(), 1, 0, false};
    }

    void list(std::int64_t history, const std::string &config, const std::vector<StoreEntry> &entries)
    {
        const std::int64_t listed = StoreHistory::combine(history, 20);
        store.reply(store.ranges, Result<StoreRange>(StoreRange{{}, listed}));
        store.reply(store.ranges, Result<StoreRange>(StoreRange{{{"config", config, listed, 0, false}}, listed}));
        if (empties) {
            store.reply(store.ranges, Result<StoreRange>(StoreRange{listedEmptied, listed}));
        }
        store.reply(store.ranges, Result<StoreRange>(StoreRange{entries, listed}));
    }

    /// Ends all watches as a store does that was restored, and answers the listings that follow.
    void restore(std::int64_t history, const std::string &config, const std::vector<StoreEntry> &entries)
    {
        std::vector<ManualStore::Watch> watches;
        // In the order in which the listings were answered.
        for (const char *key : {"instances/", "config", "emptied/", "servers/"}) {
            for (const auto &[id, watch] : store.watches) {
                if (watch.key == key) {
                    watches.push_back(watch);
                }
            }
        }
        store.watches.clear();
        for (const ManualStore::Watch &watch : watches) {
            watch.ended(Failure{Errc::WrongVersion, Verdict::NotRun, "the store was restored", Duration{0}});
        }
        list(history, config, entries);
    }

    void change(const StoreEntry &entry, std::int64_t history)
    {
        for (const auto &[id, watch] : store.watches) {
            if (entry.key.compare(0, watch.key.size(), watch.key) == 0) {
                StoreEntry changed = entry;
                changed.modRevision = StoreHistory::combine(history, ++revision);
                const auto handler = watch.changed;
                return handler(changed);
            }
        }
    }

    std::size_t usableServers() const
    {
        return servers.servers(ServiceName("parts")).size();
    }

    /// What another instance would be served under a prefix.
    std::string served(const std::string &prefix)
    {
        const auto responder = std::make_shared<RecordedResponder>();
        HttpServerRequest request;
        request.path = RelayService::EntriesPath;
        request.query["prefix"] = prefix;
        relay.serve(request, responder);
        return responder->body;
    }

    const bool empties;
    /// The emptied data centres of the next listing.
    std::vector<StoreEntry> listedEmptied;
    ManualRuntime runtime;
    ManualStore store;
    TestDialect dialect;
    ServerTable servers{[](const ServerEntry &, bool) {}};
    InstanceTable instances{1};
    EmptiedDataCentres emptied;
    RelayService relay{runtime, [this] { return runtime.now(); }};
    DecisionLog log{runtime, STDERR_FILENO, "test"};
    std::vector<std::int64_t> versions;
    std::shared_ptr<const RouteTable> routes;
    std::vector<std::int64_t> histories;
    std::int64_t revision = 30;
    RoutingFeed feed{runtime,
                     store,
                     dialect,
                     servers,
                     instances,
                     empties ? &emptied : nullptr,
                     relay,
                     log,
                     {[this](const std::shared_ptr<const RouteTable> &given) {
                          routes = given;
                          versions.push_back(routes->config().version);
                      },
                      [] {},
                      [] {},
                      [this](std::int64_t history) { histories.push_back(history); }}};
};

} // namespace

TEST_CASE("After a restoration of the store the confirmed routes stay, also for those that are served by this instance", "[feed][restored]")
{
    FeedFixture fixture;
    fixture.restore(2, "5", {FeedFixture::server("p1", 1), FeedFixture::server("p2", 1)});
    CHECK(fixture.feed.version() == 7);
    CHECK(fixture.versions == std::vector<std::int64_t>{7});
    CHECK(fixture.histories == std::vector<std::int64_t>{2});
    CHECK(fixture.served("config").find('7') != std::string::npos);
    SECTION("and a version that is confirmed afterwards comes into force")
    {
        fixture.change({"config", "9", 0, 0, false}, 2);
        CHECK(fixture.feed.version() == 9);
    }
}

TEST_CASE("After a restoration of the store a server that had left stays away until it writes again", "[feed][restored]")
{
    FeedFixture fixture;
    SECTION("its entry had been removed")
    {
        StoreEntry removed = FeedFixture::server("p2", 1);
        removed.deleted = true;
        fixture.change(removed, 1);
    }
    SECTION("it had reported draining")
    {
        fixture.change(FeedFixture::server("p2", 2, true), 1);
    }
    REQUIRE(fixture.usableServers() == 1);
    fixture.restore(2, "7", {FeedFixture::server("p1", 1), FeedFixture::server("p2", 1)});
    CHECK(fixture.usableServers() == 1);
    CHECK(fixture.served("servers/").find("p2") == std::string::npos);
    fixture.change(FeedFixture::server("p2", 3), 2);
    CHECK(fixture.usableServers() == 2);
}

TEST_CASE("After a restoration of the store servers that the copy lacks are kept until they have had time to write again", "[feed][restored]")
{
    FeedFixture fixture;
    fixture.restore(2, "7", {});
    CHECK(fixture.usableServers() == 2);
    fixture.runtime.advance(seconds(2));
    fixture.change(FeedFixture::server("p1", 2), 2);
    CHECK(fixture.usableServers() == 1);
    fixture.runtime.advance(milliseconds(300));
    CHECK(fixture.usableServers() == 1);
    CHECK(fixture.servers.servers(ServiceName("parts")).front()->id == ServerId("p1"));
}

TEST_CASE("Servers are read only once it is known which data centres are emptied", "[feed][emptied]")
{
    FeedFixture fixture(true, {EmptiedA});
    ManualStore store;
    EmptiedDataCentres emptied;
    ServerTable servers{[](const ServerEntry &, bool) {}};
    RoutingFeed feed{fixture.runtime,
                     store,
                     fixture.dialect,
                     servers,
                     fixture.instances,
                     &emptied,
                     fixture.relay,
                     fixture.log,
                     {[](const std::shared_ptr<const RouteTable> &) {}, [] {}, [] {}, [](std::int64_t) {}}};
    feed.start();
    const std::int64_t listed = StoreHistory::combine(1, 20);
    store.reply(store.ranges, Result<StoreRange>(StoreRange{{}, listed}));
    store.reply(store.ranges, Result<StoreRange>(StoreRange{{{"config", "7", listed, 0, false}}, listed}));
    SECTION("the store cannot be reached")
    {
        store.reply(store.ranges, Result<StoreRange>(notRun(Errc::Unavailable, "the store is away")));
        CHECK(store.ranges.empty());
        fixture.runtime.advance(seconds(1));
    }
    REQUIRE(store.ranges.size() == 1);
    store.reply(store.ranges, Result<StoreRange>(StoreRange{{EmptiedA}, listed}));
    CHECK(emptied.contains(DataCentre("a")));
    CHECK_FALSE(feed.hasRoutesAndServers());
    REQUIRE(store.ranges.size() == 1);
    store.reply(store.ranges, Result<StoreRange>(StoreRange{{FeedFixture::server("p1", 1)}, listed}));
    CHECK(feed.hasRoutesAndServers());
}

TEST_CASE("Data centres are emptied and used again as operators say, also for those that are served by this instance", "[feed][emptied]")
{
    FeedFixture fixture(true);
    CHECK_FALSE(fixture.emptied.any());
    fixture.change(EmptiedA, 1);
    CHECK(fixture.emptied.contains(DataCentre("a")));
    CHECK(fixture.served("emptied/").find("emptied/a") != std::string::npos);
    // The operator takes it back while the store is disturbed for another reason.
    fixture.restore(2, "7", {});
    StoreEntry taken = EmptiedA;
    taken.deleted = true;
    fixture.change(taken, 2);
    CHECK_FALSE(fixture.emptied.any());
    CHECK(fixture.served("emptied/").find("emptied/a") == std::string::npos);
}

TEST_CASE("After a restoration of the store a data centre that the copy does not list stays emptied until operators had time to say so again",
          "[feed][emptied][restored]")
{
    FeedFixture fixture(true, {EmptiedA});
    fixture.listedEmptied.clear();
    fixture.restore(2, "7", {FeedFixture::server("p1", 1)});
    CHECK(fixture.emptied.contains(DataCentre("a")));
    SECTION("they write it again")
    {
        fixture.change(EmptiedA, 2);
        fixture.runtime.advance(seconds(5));
        CHECK(fixture.emptied.contains(DataCentre("a")));
    }
    SECTION("they do not")
    {
        fixture.runtime.advance(seconds(5));
        CHECK_FALSE(fixture.emptied.any());
    }
}

TEST_CASE("Emptied data centres stay so while the store cannot be reached", "[feed][emptied]")
{
    FeedFixture fixture(true, {EmptiedA});
    for (auto &[id, watch] : std::map(fixture.store.watches)) {
        watch.ended(Failure{Errc::Unavailable, Verdict::NotRun, "the store is away", Duration{0}});
    }
    fixture.runtime.advance(seconds(30));
    CHECK(fixture.emptied.contains(DataCentre("a")));
}

TEST_CASE("An entry whose key is outside of the prefix that was asked for is left out and ends no process", "[feed]")
{
    FeedFixture fixture;
    const std::vector<std::string> keys{"", "x", "server", "config/other", "instances"};
    SECTION("in a listing")
    {
        std::vector<StoreEntry> entries{FeedFixture::server("p1", 1), FeedFixture::server("p2", 1)};
        for (const std::string &key : keys) {
            entries.push_back(FeedFixture::server("p3", 1));
            entries.back().key = key;
        }
        fixture.restore(2, "7", entries);
        CHECK(fixture.usableServers() == 2);
        CHECK(fixture.served("servers/").find("other") == std::string::npos);
    }
    SECTION("in a change")
    {
        const bool deleted = GENERATE(false, true);
        for (const auto &[id, watch] : std::map(fixture.store.watches)) {
            for (const std::string &key : keys) {
                if (watch.key != "config" || key != "config/other") {
                    StoreEntry entry = FeedFixture::server("p3", 1);
                    entry.key = key;
                    entry.deleted = deleted;
                    entry.modRevision = StoreHistory::combine(1, ++fixture.revision);
                    CHECK_NOTHROW(watch.changed(entry));
                }
            }
        }
        CHECK(fixture.usableServers() == 2);
    }
}

TEST_CASE("A key that was withdrawn stays withdrawn, whoever has older news", "[feed][workspaces]")
{
    FeedFixture fixture;
    const auto isKnown = [&fixture](const char *key) { return fixture.routes->workspaces().findByKey(key) != nullptr; };
    fixture.change({"config", "8 kept taken", 0, 0, false}, 1);
    REQUIRE(isKnown("taken"));
    fixture.change({"config", "9 kept", 0, 0, false}, 1);
    REQUIRE_FALSE(isKnown("taken"));
    SECTION("a relay tells the configuration before")
    {
        fixture.change({"config", "8 kept taken", 0, 0, false}, 1);
    }
    SECTION("a store that was restored from a copy lists the configuration before")
    {
        fixture.restore(2, "8 kept taken", {FeedFixture::server("p1", 1)});
    }
    SECTION("an instance that has heard less, such as one of another build, offers its configuration")
    {
        fixture.feed.offerConfig({"config", "8 kept taken", 0, 0, false});
    }
    SECTION("the store's entry is deleted")
    {
        fixture.change({"config", "", 0, 0, true}, 1);
    }
    SECTION("an older one without any key follows")
    {
        fixture.change({"config", "8", 0, 0, false}, 1);
    }
    SECTION("the machine was suspended, and the store is away")
    {
        fixture.feed.restart();
        fixture.runtime.advance(seconds(30));
    }
    CHECK_FALSE(isKnown("taken"));
    CHECK(isKnown("kept"));
    // What an instance that starts or listens to this one is told.
    CHECK(fixture.feed.configInForce()->value == "9 kept");
}

TEST_CASE("An instance that starts beside an older copy of the store takes the withdrawal from the others", "[feed][workspaces]")
{
    FeedFixture fixture;
    fixture.change({"config", "8 kept taken", 0, 0, false}, 1);
    REQUIRE(fixture.routes->workspaces().findByKey("taken") != nullptr);
    fixture.feed.offerConfig({"config", "9 kept", 0, 0, false});
    CHECK(fixture.routes->workspaces().findByKey("taken") == nullptr);
    CHECK(fixture.served("config").find("taken") == std::string::npos);
}
