#include "querystream.h"

#include <csignal>

using namespace Burdock;
using nlohmann::json;

namespace
{

/// Waits until 20 consecutive queries are answered with full coverage; returns false after 20 s.
bool returnsToFullCoverage(Deployment &deployment, const std::vector<std::string> &instances)
{
    constexpr int RequiredInARow = 20;
    int completeInARow = 0;
    return deployment.testbed.eventually([&] {
        const std::string &instance = instances[static_cast<std::size_t>(completeInARow) % instances.size()];
        const auto answer = deployment.testbed.query(instance, "parts-desk", "parts");
        const bool complete = answer && answer->status == 200 && json::parse(answer->body).at("coverage").at("missing").empty();
        completeInARow = complete ? completeInARow + 1 : 0;
        return completeInARow >= RequiredInARow;
    });
}

} // namespace

TEST_CASE("Answers stay correct and full coverage returns after an instance is killed or frozen under load", "[process][failure]")
{
    const int signal = GENERATE(SIGKILL, SIGSTOP);
    Deployment deployment;
    INFO("signal " << signal);
    QueryStream stream(deployment.testbed, deployment.check, "parts-desk", "parts", {"litoral-a", "capital-a"});
    stream.run(200, [&](int step) {
        if (step == 5) {
            deployment.testbed.process("norte-a").signal(signal);
        }
    });
    CHECK(stream.answeredCount() > 50);
    CHECK(returnsToFullCoverage(deployment, {"litoral-a", "capital-a"}));

    SECTION("a frozen instance is used again after it resumes")
    {
        deployment.testbed.process("norte-a").signal(SIGCONT);
        if (signal == SIGSTOP) {
            CHECK(deployment.testbed.process("norte-a").isRunning());
            CHECK(deployment.testbed.eventually([&] {
                const json status = deployment.testbed.status("litoral-a");
                for (const json &member : status.at("members")) {
                    if (member.at("id") == "norte-a") {
                        return member.at("state") == "ready";
                    }
                }
                return false;
            }));
            CHECK(returnsToFullCoverage(deployment, {"litoral-a", "capital-a", "norte-a"}));
        }
    }
}

TEST_CASE("The list of entries drops an instance that was killed", "[process][failure]")
{
    Deployment deployment;
    deployment.testbed.process("norte-a").signal(SIGKILL);
    CHECK(deployment.testbed.eventually([&] {
        const auto answer = deployment.testbed.call(deployment.testbed.callersAddress("litoral-a"), "GET", "/v1/entries", "");
        return answer && answer->body.text().find("norte-a") == std::string::npos;
    }));
}

TEST_CASE("Queries are answered during an outage of the store and the instance list", "[process][failure]")
{
    Deployment deployment;
    const auto outage = GENERATE("refuse", "hang");
    QueryStream stream = deployment.stream("parts-desk", "parts");
    stream.run(100, [&](int step) {
        if (step == 2) {
            deployment.testbed.control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", outage}}}});
            deployment.testbed.control("POST", "/fake/faults", {{"target", "instanceList"}, {"transport", {{"outage", outage}}}});
        }
    });
    CHECK(stream.answeredCount() == 100);
}
