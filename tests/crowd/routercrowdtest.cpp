#include "crowdedinstance.h"

using namespace Burdock;

namespace
{

void connectReaders(CrowdedInstance &instance, std::size_t count, std::size_t readBytes)
{
    constexpr std::size_t Pipelined = 4;
    constexpr std::size_t PieceBytes = 65536;
    instance.crowd().connect(instance.clients(), count, {pipelined("/long/crowd", Pipelined), PieceBytes, readBytes});
}

void connectBodies(CrowdedInstance &instance, std::size_t count, std::size_t pieceBytes)
{
    constexpr std::size_t ReadBytes = 4096;
    instance.crowd().connect(instance.clients(), count, {bodyThatStops(postHead(), CrowdedBodyBytes, MissingBytes), pieceBytes, ReadBytes});
    instance.crowd().connect(instance.clients(), count / StoppedPerWhole, {bodyThatStops(postHead(), CrowdedBodyBytes, 0), pieceBytes, ReadBytes});
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
    connectBodies(instance, 300, CrowdedBodyBytes);
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
    connectChunks(instance, 300, CrowdedBodyBytes, 1);
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
    connectChunks(instance, 60, CrowdedBodyBytes, 1);
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
