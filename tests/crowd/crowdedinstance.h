#pragma once

#include "crowdbounds.h"
#include "routertestbed.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>

namespace Burdock
{

/// The memory and the descriptors of a crowded instance's machine, as its settings name them.
constexpr int CrowdedMemoryMb = 48;
constexpr std::size_t CrowdedDescriptors = 1000;
/// The limit on bodies of RouterTestbed::config().
constexpr std::size_t CrowdedBodyBytes = 262144;
/// How far before its end a body stops.
constexpr std::size_t MissingBytes = 44;
/// Most of a crowd stop short of their end; so many times fewer do not.
constexpr std::size_t StoppedPerWhole = 10;

inline const std::string CrowdHead = "Host: shop.example\r\nAttempt-Id: crowd\r\nTimeout-Remaining: 3000\r\n";

inline std::string postHead(const std::string &target = "/one/crowd")
{
    return "POST " + target + " HTTP/1.1\r\n" + CrowdHead;
}

/// So many requests without a body, one after the other.
inline std::shared_ptr<const std::string> pipelined(const std::string &target, std::size_t count)
{
    std::string requests;
    for (std::size_t index = 0; index < count; ++index) {
        requests.append("GET ").append(target).append(" HTTP/1.1\r\n").append(CrowdHead).append("\r\n");
    }
    return std::make_shared<const std::string>(requests);
}

inline std::shared_ptr<const std::string> stoppedHead()
{
    constexpr std::size_t HeadBytes = 16000;
    return std::make_shared<const std::string>(postHead() + "X-Long: " + std::string(HeadBytes, 'h'));
}

/// The settings and servers of a crowded instance, before anything is started.
struct CrowdedTerms
{
    std::vector<std::string> shards{};
    /// The records that each shard answers with.
    int shardRecords = 3;
    /// The work of each server of a shard and of the service `one`.
    int shardWorkMs = 3;
    int oneWorkMs = 3;
    /// The work of the last shard, for which the parts of the others wait, unless it is zero.
    int lastShardWorkMs = 0;
    /// The time limit and the target of all routes.
    int timeoutMs = 2000;
    int targetMs = 400;
    /// The memory of each instance's machine, in megabytes.
    int memoryMb = CrowdedMemoryMb;
    /// The second one can be asked for help.
    std::vector<std::string> instances{"i1"};
};

/// One instance on a small machine, or several, with servers that have short and long answers.
class CrowdedInstance
{
public:
    explicit CrowdedInstance(const CrowdedTerms &terms = {})
        : memoryMb_(static_cast<std::size_t>(terms.memoryMb))
    {
        constexpr int LongRecords = 60000;
        constexpr int ServerConnections = 100;
        // Freed blocks of the sanitized build are not what is measured.
        setenv("ASAN_OPTIONS", "abort_on_error=1:quarantine_size_mb=1", 1);
        config_ = RouterTestbed::config(1, terms.shards);
        nlohmann::json longRoute = config_["routes"][0];
        longRoute.update({{"name", "r-long"}, {"prefix", "/long/"}, {"service", "long"}});
        config_["routes"].push_back(longRoute);
        for (nlohmann::json &route : config_["routes"]) {
            route.update({{"timeoutMs", terms.timeoutMs}, {"targetLatencyMs", terms.targetMs}});
        }
        config_["services"].push_back({{"name", "long"}, {"healthPath", "/health"}});
        for (nlohmann::json &service : config_["services"]) {
            service["maxConnections"] = ServerConnections;
        }
        bed_.control("POST", "/fake/config", config_);
        addServer("s-one", "one", 0, terms.oneWorkMs);
        addServer("s-long", "long", LongRecords, 3);
        for (const std::string &shard : terms.shards) {
            const bool isSlow = terms.lastShardWorkMs > 0 && shard == terms.shards.back();
            addServer("s-" + shard, shard, terms.shardRecords, isSlow ? terms.lastShardWorkMs : terms.shardWorkMs);
        }
        bed_.setMemory(terms.memoryMb);
        for (const std::string &id : terms.instances) {
            bed_.startInstance(id);
        }
        for (const std::string &id : terms.instances) {
            REQUIRE(bed_.waitUntilReady(id));
        }
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

    /// The configuration in force.
    nlohmann::json &config()
    {
        return config_;
    }

    /// Lets the crowd act, and checks what the instance holds meanwhile.
    void press(const Address &address)
    {
        checkUsage(crowd_.press(bed_.process("i1").pid(), address), memoryMb_, CrowdedDescriptors);
        REQUIRE(bed_.process("i1").isRunning());
    }

    /// Checks that an ordinary request is served while the crowd's connections are still open.
    void checkServed()
    {
        // A refusal may ask to come back later.
        CHECK(bed_.eventually([this] { return isServed(); }, std::chrono::seconds(60)));
    }

    /// Lets the crowd act and checks the instance meanwhile and afterwards.
    void check(const Address &address)
    {
        press(address);
        checkServed();
    }

private:
    /// Adds a server that takes on what a crowd sends.
    void addServer(const std::string &id, const std::string &service, int records, int workMs)
    {
        constexpr int Slots = 80;
        bed_.control(
            "POST", "/fake/server", {{"id", id}, {"service", service}, {"records", records}, {"workMs", workMs}, {"slots", Slots}, {"zone", "zone-a"}});
    }

    bool isServed()
    {
        const auto response = bed_.sendRequest("i1", "/one/ordinary", "ordinary-" + std::to_string(++requests_));
        return response && response->status == 200;
    }

    const std::size_t memoryMb_;
    RouterTestbed bed_;
    nlohmann::json config_;
    Crowd crowd_;
    int requests_ = 0;
};

} // namespace Burdock
