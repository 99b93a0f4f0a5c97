#include "routertestbed.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <sstream>

using namespace Burdock;
using nlohmann::json;

namespace
{

/// Returns the fields of the last line of a log that tells an event; throws if there is none or a line is no JSON.
json lastLineOf(const std::string &log, const std::string &event)
{
    json found;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        const json fields = json::parse(line);
        if (fields.at("event") == event) {
            found = fields;
        }
    }
    return found;
}

} // namespace

TEST_CASE("An instance that is ended by a signal of its own faults logs which one and where, and keeps its exit status", "[router][ended]")
{
    // The sanitizers would end the process with a status of their own.
    setenv("ASAN_OPTIONS", "handle_segv=0:handle_sigbus=0:handle_sigfpe=0:handle_sigill=0:handle_abort=0", 1);
    const auto [number, name] = GENERATE(std::make_pair(SIGSEGV, "SIGSEGV"),
                                         std::make_pair(SIGABRT, "SIGABRT"),
                                         std::make_pair(SIGBUS, "SIGBUS"),
                                         std::make_pair(SIGFPE, "SIGFPE"),
                                         std::make_pair(SIGILL, "SIGILL"));
    INFO(name);
    RouterTestbed bed;
    bed.control("POST", "/fake/config", RouterTestbed::config(1, {}));
    bed.startInstance("i1");
    REQUIRE(bed.waitUntilReady("i1"));
    // Its line still waits when the signal comes.
    CHECK(bed.sendRequest("i1", "/none", "latest"));
    bed.process("i1").signal(number);
    constexpr int SignalExitBase = 128;
    CHECK(bed.process("i1").wait() == SignalExitBase + number);
    CHECK(bed.takeFaultyEnds() == std::vector<std::string>{"i1 exited with code " + std::to_string(SignalExitBase + number)});
    const json line = lastLineOf(bed.log("i1"), "ended");
    INFO(line.dump());
    REQUIRE(line.is_object());
    const json latest = lastLineOf(bed.log("i1"), "request.answered");
    INFO(latest.dump());
    REQUIRE(latest.is_object());
    CHECK(latest.value("request", "") == "latest");
    CHECK(line.at("instance") == "i1");
    CHECK(line.at("signal") == number);
    CHECK(line.at("name") == name);
    CHECK(line.at("sent") == 1);
    CHECK(line.at("exception").get<std::string>().empty());
    const bool inProgram =
        std::any_of(line.at("stack").begin(), line.at("stack").end(), [](const json &frame) { return frame.get<std::string>().rfind("program+0x", 0) == 0; });
    CHECK(inProgram);
}
