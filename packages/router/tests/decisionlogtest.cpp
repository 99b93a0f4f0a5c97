#include <burdock/router/decisionlog.h>
#include <burdock/values/manualruntime.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace Burdock;
using nlohmann::json;

namespace
{

/// A pipe to which a log writes.
struct LogPipe
{
    explicit LogPipe(int flags = 0)
    {
        REQUIRE(pipe2(ends.data(), flags) == 0);
    }
    ~LogPipe()
    {
        close(ends[0]);
        close(ends[1]);
    }

    /// Reads the available output.
    std::string read()
    {
        std::array<char, 65536> piece{};
        const ssize_t count = ::read(ends[0], piece.data(), piece.size());
        return std::string(piece.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }

    std::array<int, 2> ends{};
    ManualRuntime runtime;
};

} // namespace

TEST_CASE("A log line is one line of valid JSON for any text", "[log]")
{
    LogPipe logPipe;
    DecisionLog log(logPipe.runtime, logPipe.ends[1], "front-1");
    log.write(DecisionPriority::Change, "config.inForce", {{"version", 7}, {"reason", "a \"quote\", a \\, a\nline and \x01\xff"}});
    logPipe.runtime.advance(std::chrono::milliseconds(200));
    const std::string text = logPipe.read();
    REQUIRE(std::count(text.begin(), text.end(), '\n') == 1);
    const json line = json::parse(text);
    CHECK(line.at("event") == "config.inForce");
    CHECK(line.at("instance") == "front-1");
    CHECK(line.at("version") == 7);
    CHECK(line.at("ms").is_number_integer());
}

TEST_CASE("If the reader stalls, routine lines are dropped first and the number of dropped lines is logged", "[log]")
{
    LogPipe logPipe;
    DecisionLog log(logPipe.runtime, logPipe.ends[1], "front-1");
    const std::string text(200, 'x');
    const auto routine = [&] { log.write(DecisionPriority::Routine, "request.answered", {{"reason", text}}); };
    for (int line = 0; line < 5000; ++line) {
        routine();
    }
    const std::uint64_t dropped = log.dropped();
    CHECK(dropped > 0);
    log.write(DecisionPriority::Change, "store.lost", {});
    CHECK(log.dropped() == dropped);
    std::string all;
    for (int turn = 0; turn < 100; ++turn) {
        logPipe.runtime.advance(std::chrono::milliseconds(100));
        all += logPipe.read();
        if (all.find("log.dropped") != std::string::npos) {
            break;
        }
    }
    CHECK(all.find("store.lost") != std::string::npos);
    CHECK(all.find("\"lines\":" + std::to_string(dropped)) != std::string::npos);
    std::istringstream lines(all.substr(0, all.rfind('\n')));
    for (std::string line; std::getline(lines, line);) {
        CHECK_NOTHROW(json::parse(line));
    }
}

TEST_CASE("Each write ends with a line, so that a last line of the process does not stand within another", "[log]")
{
    // With O_DIRECT each read returns what one write wrote.
    LogPipe logPipe(O_DIRECT);
    DecisionLog log(logPipe.runtime, logPipe.ends[1], "front-1");
    constexpr int Lines = 300;
    for (int number = 0; number < Lines; ++number) {
        log.write(DecisionPriority::Change, "server.changed", {{"server", std::string(static_cast<std::size_t>(number), 's')}});
    }
    log.flush();
    int read = 0;
    while (read < Lines) {
        const std::string piece = logPipe.read();
        REQUIRE_FALSE(piece.empty());
        CHECK(piece.back() == '\n');
        read += static_cast<int>(std::count(piece.begin(), piece.end(), '\n'));
        log.flush();
    }
    CHECK(read == Lines);
}
