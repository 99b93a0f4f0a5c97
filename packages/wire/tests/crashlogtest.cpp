#include <burdock/wire/crashlog.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <event2/event.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace Burdock;
using nlohmann::json;

namespace
{

struct Ending
{
    int signal = 0;
    std::string log;
};

/// Runs a function that ends its process in a child with a crash log; returns the signal and what was logged. The log's pipe holds
/// `before` when the child starts, and is read once the child has ended.
Ending endingOf(const std::function<void()> &fault, const std::string &instance = "i1", const std::string &before = {})
{
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    REQUIRE(write(ends[1], before.data(), before.size()) == static_cast<ssize_t>(before.size()));
    const pid_t child = fork();
    if (child == 0) {
        // The test framework and the sanitizers have handlers of their own.
        for (const int number : {SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL}) {
            std::signal(number, SIG_DFL);
        }
        CrashLog::install(ends[1], instance);
        [&fault]() noexcept { fault(); }();
        _exit(0);
    }
    close(ends[1]);
    Ending ending;
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    std::array<char, 4096> bytes{};
    for (ssize_t count = 0; (count = read(ends[0], bytes.data(), bytes.size())) > 0;) {
        ending.log.append(bytes.data(), static_cast<std::size_t>(count));
    }
    close(ends[0]);
    ending.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return ending;
}

char readProtectedPage()
{
    constexpr std::size_t PageBytes = 4096;
    const auto *page = static_cast<const volatile char *>(mmap(nullptr, PageBytes, PROT_NONE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0));
    return *page;
}

std::uint64_t recurse(std::uint64_t depth)
{
    constexpr std::size_t FrameBytes = 4096;
    volatile char frame[FrameBytes] = {};
    // Never reached; without it the compiler warns.
    if (depth == UINT64_MAX) {
        return 0;
    }
    return recurse(depth + 1) + static_cast<std::uint64_t>(frame[depth % FrameBytes]);
}

} // namespace

TEST_CASE("a fault of the process leaves a line with the signal, the address and the stack", "[crashlog]")
{
    const Ending ending = endingOf([] { readProtectedPage(); });
    INFO(ending.log);
    CHECK(ending.signal == SIGSEGV);
    const json line = json::parse(ending.log);
    CHECK(line.at("event") == "ended");
    CHECK(line.at("name") == "SIGSEGV");
    CHECK(line.at("sent") == 0);
    CHECK(line.at("address") != "0x0");
    CHECK(line.at("stack").size() > 3);
}

TEST_CASE("an overflow of the stack leaves a line too", "[crashlog]")
{
    const Ending ending = endingOf([] { recurse(0); });
    INFO(ending.log);
    CHECK(ending.signal == SIGSEGV);
    CHECK(json::parse(ending.log).at("signal") == SIGSEGV);
}

TEST_CASE("an uncaught exception leaves a line with its text, in valid JSON", "[crashlog]")
{
    const Ending ending = endingOf([] { throw std::runtime_error("a \"bad\"\n\\ value \xff" + std::string(2000, 'x')); }, "i\"1");
    INFO(ending.log);
    CHECK(ending.signal == SIGABRT);
    const json line = json::parse(ending.log);
    CHECK(line.at("instance") == "i?1");
    CHECK(line.at("name") == "SIGABRT");
    CHECK(line.at("exception").get<std::string>().rfind("a ?bad??? value ?xxx", 0) == 0);
}

TEST_CASE("an exception that is no std::exception leaves a line", "[crashlog]")
{
    const Ending ending = endingOf([] { throw 3; });
    CHECK(ending.signal == SIGABRT);
    CHECK(json::parse(ending.log).at("exception") == "an exception of another type");
}

TEST_CASE("a process whose log nobody reads ends all the same", "[crashlog]")
{
    constexpr int PipeBytes = 65536;
    const Ending ending = endingOf([] { std::abort(); }, "i1", std::string(PipeBytes, 'x'));
    CHECK(ending.signal == SIGABRT);
    CHECK(ending.log == std::string(PipeBytes, 'x'));
}

TEST_CASE("a fatal error of libevent leaves a line", "[crashlog]")
{
    const Ending ending = endingOf([] {
        // Allowed once.
        event_enable_debug_mode();
        event_enable_debug_mode();
    });
    INFO(ending.log);
    CHECK(ending.signal == SIGABRT);
    CHECK(json::parse(ending.log).at("exception").get<std::string>().find("libevent") != std::string::npos);
}
