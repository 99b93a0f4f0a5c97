#include "crowdedinstance.h"

#include <algorithm>
#include <csignal>

using namespace Burdock;

namespace
{

constexpr std::size_t HeadPieceBytes = 1;

/// The crowds of all kinds, smaller than each would be alone.
void connectAll(CrowdedInstance &instance)
{
    Crowd &crowd = instance.crowd();
    crowd.connect(instance.clients(), 60, {pipelined("/long/crowd", 4), 65536, 0});
    crowd.connect(instance.clients(), 80, {bodyThatStops(postHead(), CrowdedBodyBytes, MissingBytes)});
    crowd.connect(instance.clients(), 40, {bodyInChunks(postHead(), CrowdedBodyBytes, 1, false)});
    crowd.connect(instance.clients(), 40, {bodyInChunks(postHead(), 1, 100000, false)});
    crowd.connect(instance.clients(), 40, {stoppedHead(), HeadPieceBytes});
}

/// Requests of which each names things that none has named before.
std::shared_ptr<const std::string> newNames(std::size_t client, std::size_t count)
{
    std::string requests;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string name = "n" + std::to_string(client) + "x" + std::to_string(index) + "x" + std::string(60, 'n');
        // Every other request is on a route.
        const bool isRouted = index % 2 == 0;
        requests.append("GET ").append(isRouted ? "/one/" : "/").append(name).append("?").append(name).append("=1 HTTP/1.1\r\nHost: ");
        requests.append(isRouted ? std::string("shop.example") : name).append("\r\nAttempt-Id: ").append(name);
        requests.append("\r\nTimeout-Remaining: 3000\r\nKey: ").append(name).append("\r\nTenant: ").append(name);
        requests.append("\r\nX-").append(name).append(": ").append(name).append("\r\n\r\n");
    }
    return std::make_shared<const std::string>(requests);
}

} // namespace

TEST_CASE("An instance stays within its memory and descriptors while a crowd that is closed connects again", "[crowd][router]")
{
    CrowdedInstance instance;
    CrowdClient stopped{bodyThatStops(postHead(), CrowdedBodyBytes, MissingBytes)};
    stopped.reconnects = true;
    instance.crowd().connect(instance.clients(), 200, stopped);
    CrowdClient malformed{std::make_shared<const std::string>("NONSENSE\r\n\r\n")};
    malformed.reconnects = true;
    instance.crowd().connect(instance.clients(), 50, malformed);
    instance.check(instance.clients());
}

TEST_CASE("An instance serves ordinary clients beside more connections than it has descriptors for", "[crowd][router]")
{
    CrowdedInstance instance;
    CrowdClient stopped{bodyThatStops(postHead(), CrowdedBodyBytes, MissingBytes), 4096};
    stopped.reconnects = true;
    instance.crowd().connect(instance.clients(), 800, stopped);
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while many heads arrive byte by byte and do not end", "[crowd][router]")
{
    CrowdedInstance instance;
    instance.crowd().connect(instance.clients(), 500, {stoppedHead(), HeadPieceBytes});
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while each request names what none has named before", "[crowd][router]")
{
    constexpr std::size_t Clients = 40;
    constexpr std::size_t Requests = 500;
    CrowdedInstance instance;
    for (std::size_t client = 0; client < Clients; ++client) {
        instance.crowd().connect(instance.clients(), 1, {newNames(client, Requests)});
    }
    const auto before = instance.bed().call(instance.bed().peers("i1"), "GET", "/metrics");
    instance.check(instance.clients());
    const auto after = instance.bed().call(instance.bed().peers("i1"), "GET", "/metrics");
    REQUIRE(before);
    REQUIRE(after);
    const auto lines = [](const std::string &text) { return std::count(text.begin(), text.end(), '\n'); };
    // Outcomes that were seen for the first time.
    constexpr std::ptrdiff_t NewSeries = 60;
    CHECK(lines(after->body) < lines(before->body) + NewSeries);
}

TEST_CASE("An instance that stops ends by itself while crowds keep their connections open", "[crowd][router]")
{
    CrowdedInstance instance;
    connectAll(instance);
    instance.press(instance.clients());
    instance.bed().process("i1").signal(SIGTERM);
    CHECK(instance.bed().eventually([&instance] { return !instance.bed().process("i1").isRunning(); }, std::chrono::seconds(60)));
    CHECK(instance.bed().takeFaultyEnds().empty());
}

TEST_CASE("An instance stays within its memory while crowds press and what it depends on changes", "[crowd][router]")
{
    CrowdedInstance instance;
    const std::string change = GENERATE("a server leaves", "the store is away", "the configuration changes", "the settings are read again");
    INFO(change);
    connectAll(instance);
    if (change == "a server leaves") {
        instance.bed().addServer("s-next", "one");
        instance.bed().control("POST", "/fake/state", {{"id", "s-one"}, {"state", "draining"}});
    } else if (change == "the store is away") {
        instance.bed().control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", "refuse"}}}});
    } else if (change == "the configuration changes") {
        instance.config()["version"] = 2;
        instance.config()["limits"]["maxBodyBytes"] = 2 * CrowdedBodyBytes;
        instance.bed().control("POST", "/fake/config", instance.config());
    } else {
        instance.bed().process("i1").signal(SIGHUP);
    }
    instance.check(instance.clients());
}
