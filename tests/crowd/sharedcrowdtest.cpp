#include "crowdedinstance.h"

#include <csignal>

using namespace Burdock;

namespace
{

/// The shards of a route whose requests go to many servers at once.
const std::vector<std::string> ManyShards{"p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8", "p9", "p10", "p11"};

CrowdedTerms manyShards()
{
    CrowdedTerms terms;
    terms.shards = ManyShards;
    return terms;
}

/// Parts of so many records that are held until the last shard answers.
CrowdedTerms waitingParts(int records)
{
    CrowdedTerms terms = manyShards();
    terms.shardRecords = records;
    terms.timeoutMs = 10000;
    terms.targetMs = 9000;
    terms.lastShardWorkMs = 6000;
    return terms;
}

std::shared_ptr<const std::string> wholeBody(const std::string &target)
{
    return bodyThatStops(postHead(target), CrowdedBodyBytes, 0);
}

/// A request for a long answer, from a client that waits for longer than the others.
std::shared_ptr<const std::string> patientRequest(const std::string &target)
{
    return std::make_shared<const std::string>("GET " + target + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: crowd\r\nTimeout-Remaining: 10000\r\n\r\n");
}

/// Two instances, of which the first can reach no server and passes on what it gets.
class CutOffInstance : public CrowdedInstance
{
public:
    CutOffInstance()
        : CrowdedInstance(twoInstances())
    {
        REQUIRE(bed().eventually([this] { return known("i1") == 2 && known("i2") == 2; }));
        bed().cut({"i1"}, "hang");
        REQUIRE(bed().eventually([this] {
            bed().sendRequest("i1", "/all/before", "before");
            return bed().log("i1").find("servers.unreachable") != std::string::npos;
        }));
    }

    /// Checks what the instance has held at most that was passed the requests.
    void checkHelper()
    {
        checkUsage(usageOf(bed().process("i2").pid(), bed().peers("i2")), CrowdedMemoryMb, CrowdedDescriptors);
        REQUIRE(bed().process("i2").isRunning());
    }

private:
    static CrowdedTerms twoInstances()
    {
        CrowdedTerms terms = manyShards();
        terms.instances = {"i1", "i2"};
        return terms;
    }

    std::size_t known(const std::string &instance)
    {
        const auto answer = bed().call(bed().directory(instance), "GET", "/burdocklanding/resolve?name=shop.example&region=region-a&zone=zone-a");
        return answer && answer->status == 200 ? nlohmann::json::parse(answer->body).at("addrs").size() : 0;
    }
};

} // namespace

TEST_CASE("An instance stays within its memory while many whole bodies go to all shards of a route", "[crowd][router]")
{
    CrowdedTerms terms = manyShards();
    terms.shardWorkMs = 300;
    CrowdedInstance instance(terms);
    instance.crowd().connect(instance.clients(), 60, {wholeBody("/all/crowd")});
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while many bodies for all shards of a route stop just short of their end", "[crowd][router]")
{
    CrowdedInstance instance(manyShards());
    instance.crowd().connect(instance.clients(), 300, {bodyThatStops(postHead("/all/crowd"), CrowdedBodyBytes, MissingBytes)});
    instance.crowd().connect(instance.clients(), 30, {wholeBody("/all/crowd")});
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while many chunked bodies go to all shards of a route", "[crowd][router]")
{
    CrowdedTerms terms = manyShards();
    terms.shardWorkMs = 300;
    CrowdedInstance instance(terms);
    instance.crowd().connect(instance.clients(), 40, {bodyInChunks(postHead("/all/crowd"), CrowdedBodyBytes, 1, true)});
    instance.crowd().connect(instance.clients(), 40, {bodyInChunks(postHead("/all/crowd"), 1, 100000, true)});
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while many long heads go to all shards of a route", "[crowd][router]")
{
    // Two lines, each below the limit on a line.
    constexpr std::size_t LineBytes = 7900;
    CrowdedTerms terms = waitingParts(3);
    terms.shardWorkMs = 5000;
    terms.memoryMb = 32;
    CrowdedInstance instance(terms);
    std::string request = "GET /all/crowd HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: crowd\r\nTimeout-Remaining: 10000\r\n";
    request += "X-First: " + std::string(LineBytes, 'a') + "\r\nX-Second: " + std::string(LineBytes, 'b') + "\r\n\r\n";
    instance.crowd().connect(instance.clients(), 300, {std::make_shared<const std::string>(std::move(request))});
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while many whole bodies go to a slow server", "[crowd][router]")
{
    CrowdedTerms terms;
    terms.oneWorkMs = 1500;
    terms.timeoutMs = 4000;
    CrowdedInstance instance(terms);
    instance.crowd().connect(instance.clients(), 300, {wholeBody("/one/crowd")});
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while long parts of gathered answers wait for the last one", "[crowd][router]")
{
    CrowdedInstance instance(waitingParts(20000));
    instance.crowd().connect(instance.clients(), 40, {patientRequest("/all/crowd")});
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while many parts of gathered answers wait that are not long", "[crowd][router]")
{
    CrowdedInstance instance(waitingParts(4000));
    instance.crowd().connect(instance.clients(), 70, {patientRequest("/all/crowd")});
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its descriptors while many requests go to all shards of a route", "[crowd][router]")
{
    CrowdedInstance instance(waitingParts(3));
    instance.crowd().connect(instance.clients(), 150, {patientRequest("/all/crowd")});
    instance.check(instance.clients());
}

TEST_CASE("An instance stays within its memory while clients do not read long answers that another instance got for it", "[crowd][router]")
{
    CutOffInstance instance;
    instance.crowd().connect(instance.clients(), 150, {pipelined("/long/crowd", 4), 65536, 0});
    instance.check(instance.clients());
    instance.checkHelper();
}

TEST_CASE("An instance stays within its memory while it passes many bodies on", "[crowd][router]")
{
    CutOffInstance instance;
    instance.crowd().connect(instance.clients(), 300, {bodyThatStops(postHead(), CrowdedBodyBytes, MissingBytes)});
    instance.crowd().connect(instance.clients(), 60, {wholeBody("/one/crowd")});
    instance.check(instance.clients());
    instance.checkHelper();
}

TEST_CASE("An instance stays within its memory while the instance to which it passes many bodies on does not read", "[crowd][router]")
{
    CutOffInstance instance;
    instance.bed().process("i2").signal(SIGSTOP);
    instance.crowd().connect(instance.clients(), 120, {wholeBody("/one/crowd")});
    instance.press(instance.clients());
    instance.bed().process("i2").signal(SIGCONT);
    instance.bed().heal();
    instance.checkServed();
    instance.checkHelper();
}

TEST_CASE("An instance stays within its memory while the servers do not read many bodies", "[crowd][router]")
{
    CrowdedInstance instance(manyShards());
    instance.bed().platform().signal(SIGSTOP);
    instance.crowd().connect(instance.clients(), 60, {wholeBody("/all/crowd")});
    instance.crowd().connect(instance.clients(), 60, {wholeBody("/one/crowd")});
    instance.press(instance.clients());
    instance.bed().platform().signal(SIGCONT);
    instance.checkServed();
}
