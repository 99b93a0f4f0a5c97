#include "crowdeddaemon.h"

using namespace Burdock;

namespace
{

constexpr std::size_t BodyBytes = 1048576;
constexpr std::size_t MissingBytes = 44;
constexpr std::size_t PieceBytes = 65536;
const std::string PostHead = "POST /v1/query HTTP/1.1\r\nHost: i\r\nX-Caller: crowd\r\n";

std::shared_ptr<const std::string> pipelinedStatus(std::size_t count)
{
    std::string requests;
    for (std::size_t index = 0; index < count; ++index) {
        requests += "GET /metrics HTTP/1.1\r\nHost: i\r\n\r\n";
    }
    return std::make_shared<const std::string>(requests);
}

/// A proper query whose body is as long as the limit allows.
std::shared_ptr<const std::string> paddedQuery()
{
    const std::string query = R"({"index":"parts","query":"belt","limit":20})";
    return std::make_shared<const std::string>(PostHead + "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" + query
                                               + std::string(BodyBytes - query.size(), ' '));
}

/// A body of one letter over and over.
std::shared_ptr<const std::string> oddBody(char letter)
{
    return std::make_shared<const std::string>(PostHead + "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes, letter));
}

} // namespace

TEST_CASE("burdockd stays within its memory while crowds send whole requests, connect again or take their time", "[crowd][process]")
{
    CrowdedDaemon daemon;
    const Address address = daemon.callers();
    Crowd &crowd = daemon.crowd();
    const std::string kind = GENERATE("whole bodies", "bodies that connect again", "heads byte by byte", "odd bodies");
    INFO(kind);
    if (kind == "whole bodies") {
        crowd.connect(address, 400, {paddedQuery()});
    } else if (kind == "bodies that connect again") {
        CrowdClient client{bodyThatStops(PostHead, BodyBytes, MissingBytes)};
        client.reconnects = true;
        crowd.connect(address, 300, client);
    } else if (kind == "heads byte by byte") {
        crowd.connect(address, 500, {std::make_shared<const std::string>(PostHead + "X-Long: " + std::string(16000, 'h')), 1});
    } else {
        crowd.connect(address, 100, {oddBody('[')});
        crowd.connect(address, 100, {oddBody('0')});
        crowd.connect(address, 100, {oddBody('\xff')});
    }
    daemon.check(address);
}

TEST_CASE("burdockd stays within its memory while crowds stop in heads and bodies or do not read", "[crowd][process]")
{
    CrowdedDaemon daemon;
    const Address address = daemon.callers();
    Crowd &crowd = daemon.crowd();
    const std::string kind = GENERATE("bodies", "large chunks", "small chunks", "answers", "all");
    INFO(kind);
    const bool all = kind == "all";
    const auto count = [all](std::size_t alone) { return all ? alone / 2 : alone; };
    if (kind == "bodies" || all) {
        crowd.connect(address, count(400), {bodyThatStops(PostHead, BodyBytes, MissingBytes)});
    }
    if (kind == "large chunks" || all) {
        crowd.connect(address, count(400), {bodyInChunks(PostHead, BodyBytes, 1, false)});
    }
    if (kind == "small chunks" || all) {
        crowd.connect(address, count(400), {bodyInChunks(PostHead, 1, 700000, false)});
    }
    if (kind == "answers" || all) {
        crowd.connect(address, count(400), {pipelinedStatus(1000), PieceBytes, 0});
    }
    if (all) {
        crowd.connect(address, 100, {std::make_shared<const std::string>(PostHead + "X-Long: " + std::string(16000, 'h'))});
    }
    daemon.check(address);
}
