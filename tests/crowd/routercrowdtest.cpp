#include "crowdbounds.h"
#include "routertestbed.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace Burdock;

namespace
{

/// The memory and the descriptors of the instance's machine, as its settings name them.
constexpr int MemoryMb = 48;
constexpr std::size_t Descriptors = 1000;
/// The limit on bodies of RouterTestbed::config().
constexpr std::size_t BodyBytes = 262144;
constexpr std::size_t MissingBytes = 44;
constexpr int LongRecords = 60000;
/// Most of a crowd stop short of their end; so many times fewer do not.
constexpr std::size_t StoppedPerWhole = 10;

const std::string ClientHead = "Host: shop.example\r\nAttempt-Id: crowd\r\nTimeout-Remaining: 3000\r\n";

std::string postHead(const std::string &target = "/one/crowd")
{
    return "POST " + target + " HTTP/1.1\r\n" + ClientHead;
}

std::shared_ptr<const std::string> pipelined(const std::string &target, std::size_t count)
{
    std::string requests;
    for (std::size_t index = 0; index < count; ++index) {
        requests.append("GET ").append(target).append(" HTTP/1.1\r\n").append(ClientHead).append("\r\n");
    }
    return std::make_shared<const std::string>(requests);
}

std::shared_ptr<const std::string> stoppedHead()
{
    constexpr std::size_t HeadBytes = 16000;
    return std::make_shared<const std::string>(postHead() + "X-Long: " + std::string(HeadBytes, 'h'));
}

/// One instance on a small machine, and a server with short and one with long answers.
class CrowdedInstance
{
public:
    CrowdedInstance()
    {
        // Freed blocks of the sanitized build are not what is measured.
        setenv("ASAN_OPTIONS", "abort_on_error=1:quarantine_size_mb=1", 1);
        nlohmann::json config = RouterTestbed::config(1, {});
        nlohmann::json longRoute = config["routes"][0];
        longRoute.update({{"name", "r-long"}, {"prefix", "/long/"}, {"service", "long"}});
        config["routes"].push_back(longRoute);
        config["services"].push_back({{"name", "long"}, {"maxConnections", 40}, {"healthPath", "/health"}});
        bed_.control("POST", "/fake/config", config);
        bed_.addServer("s-one", "one");
        bed_.addServer("s-long", "long", LongRecords);
        bed_.setMemory(MemoryMb);
        bed_.startInstance("i1");
        REQUIRE(bed_.waitUntilReady("i1"));
        REQUIRE(bed_.eventually([this] { return isServed(); }));
    }

    Address clients() const
    {
        return bed_.clients("i1");
    }

    RouterTestbed &bed()
    {
        return bed_;
    }

    Crowd &crowd()
    {
        return crowd_;
    }

    /// Lets the crowd act and checks the instance meanwhile and afterwards, while the crowd's connections are still open.
    void check(const Address &address)
    {
        const ProcessUsage peak = crowd_.press(bed_.process("i1").pid(), address);
        checkUsage(peak, MemoryMb, Descriptors);
        REQUIRE(bed_.process("i1").isRunning());
        // A refusal may ask to come back later.
        CHECK(bed_.eventually([this] { return isServed(); }, std::chrono::seconds(60)));
    }

private:
    bool isServed()
    {
        const auto response = bed_.sendRequest("i1", "/one/ordinary", "ordinary-" + std::to_string(++requests_));
        return response && response->status == 200;
    }

    RouterTestbed bed_;
    Crowd crowd_;
    int requests_ = 0;
};

void connectReaders(CrowdedInstance &instance, std::size_t count, std::size_t readBytes)
{
    constexpr std::size_t Pipelined = 4;
    constexpr std::size_t PieceBytes = 65536;
    instance.crowd().connect(instance.clients(), count, {pipelined("/long/crowd", Pipelined), PieceBytes, readBytes});
}

void connectBodies(CrowdedInstance &instance, std::size_t count, std::size_t pieceBytes)
{
    constexpr std::size_t ReadBytes = 4096;
    instance.crowd().connect(instance.clients(), count, {bodyThatStops(postHead(), BodyBytes, MissingBytes), pieceBytes, ReadBytes});
    instance.crowd().connect(instance.clients(), count / StoppedPerWhole, {bodyThatStops(postHead(), BodyBytes, 0), pieceBytes, ReadBytes});
}

void connectChunks(CrowdedInstance &instance, std::size_t count, std::size_t chunkBytes, std::size_t chunks)
{
    constexpr std::size_t PieceBytes = 65536;
    constexpr std::size_t ReadBytes = 4096;
    instance.crowd().connect(instance.clients(), count, {bodyInChunks(postHead(), chunkBytes, chunks, false), PieceBytes, ReadBytes});
    instance.crowd().connect(instance.clients(), count / StoppedPerWhole, {bodyInChunks(postHead(), chunkBytes, chunks, true), PieceBytes, ReadBytes});
}

} // namespace

TEST_CASE("An instance stays within its memory while many clients do not read long answers that they asked for one after the other", "[crowd][router]")
{
    CrowdedInstance instance;
    connectReaders(instance, 150, 0);
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while many clients read long answers slowly", "[crowd][router]")
{
    CrowdedInstance instance;
    connectReaders(instance, 150, 16);
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while many large bodies stop just short of their end", "[crowd][router]")
{
    CrowdedInstance instance;
    connectBodies(instance, 300, BodyBytes);
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while many large bodies arrive piece by piece and stop just short of their end", "[crowd][router]")
{
    CrowdedInstance instance;
    connectBodies(instance, 300, 4096);
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while many bodies in one large chunk stop just short of their end", "[crowd][router]")
{
    CrowdedInstance instance;
    connectChunks(instance, 300, BodyBytes, 1);
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while many bodies in chunks of one byte stop just short of their end", "[crowd][router]")
{
    CrowdedInstance instance;
    connectChunks(instance, 500, 1, 100000);
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while clients stop in heads and bodies and others do not read", "[crowd][router]")
{
    CrowdedInstance instance;
    connectReaders(instance, 60, 0);
    connectBodies(instance, 120, 16384);
    connectChunks(instance, 60, BodyBytes, 1);
    connectChunks(instance, 60, 1, 100000);
    instance.crowd().connect(instance.clients(), 150, {stoppedHead()});
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while the crowds are at the listeners that are not for clients", "[crowd][router]")
{
    constexpr std::size_t InternalBodyBytes = 1048576;
    constexpr std::size_t Count = 150;
    constexpr std::size_t PieceBytes = 65536;
    CrowdedInstance instance;
    const std::string listener = GENERATE("peers", "readiness", "directory");
    INFO(listener);
    const Address address = listener == "peers" ? instance.bed().peers("i1")
        : listener == "readiness"               ? instance.bed().readiness("i1")
                                                : instance.bed().directory("i1");
    const std::string crowd = GENERATE("bodies", "large chunks", "small chunks", "metrics");
    INFO(crowd);
    const std::string head = postHead("/metrics");
    if (crowd == "bodies") {
        instance.crowd().connect(address, Count, {bodyThatStops(head, InternalBodyBytes, MissingBytes)});
    } else if (crowd == "large chunks") {
        instance.crowd().connect(address, Count, {bodyInChunks(head, InternalBodyBytes, 1, false)});
    } else if (crowd == "small chunks") {
        instance.crowd().connect(address, Count, {bodyInChunks(head, 1, 400000, false)});
    } else {
        instance.crowd().connect(address, Count, {pipelined("/metrics", 1000), PieceBytes, 0});
        instance.crowd().connect(address, 30, {stoppedHead()});
    }
    instance.check(address);
}
