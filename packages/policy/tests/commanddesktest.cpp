#include "claimworld.h"

#include <catch2/catch.hpp>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

struct Bench
{
    ClaimWorld world{1};
    CommandDeclaration &invoice = world.configuration->commands.at(CommandName("invoice"));

    /// The failure of a command, once the world has worked on it.
    Failure failureOf(const CommandRequest &request)
    {
        Result<CommandResult> result = CommandResult{};
        world.coordinator(0).submit(request, [&](Result<CommandResult> given) { result = std::move(given); });
        world.run(1s);
        return result ? Failure{Errc::Ok, Verdict::Ran, result->outcome, 0s} : result.error();
    }

    CommandRequest request(const std::string &key) const
    {
        return CommandRequest{CallerId("portal"), CommandName("invoice"), key, "1", std::nullopt};
    }
};

} // namespace

TEST_CASE("A command that may not run is refused before anything is claimed or sent", "[command]")
{
    Bench bench;
    const std::string key = bench.world.makeKey(0s, "a");
    CommandRequest request = bench.request(key);
    Errc wanted = Errc::Ok;
    SECTION("not declared")
    {
        request.command = CommandName("recall");
        wanted = Errc::NotFound;
    }
    SECTION("not allowed")
    {
        request.caller = CallerId("stranger");
        wanted = Errc::NotAllowed;
    }
    SECTION("no key")
    {
        request.key.clear();
        wanted = Errc::BadRequest;
    }
    SECTION("a key that does not tell its time")
    {
        request.key = "order-17";
        wanted = Errc::BadRequest;
    }
    SECTION("a key from the future")
    {
        request.key = bench.world.makeKey(-10min, "a");
        wanted = Errc::BadRequest;
    }
    SECTION("a past deadline")
    {
        request.deadline = 0s;
        wanted = Errc::DeadlineExceeded;
    }
    const std::uint64_t calls = bench.world.store.calls;
    const Failure failure = bench.failureOf(request);
    CHECK(errcName(failure.code) == errcName(wanted));
    CHECK(failure.verdict == Verdict::NotRun);
    CHECK(bench.world.store.calls <= calls + 1); // the sweeper's
    CHECK(bench.world.runsOf(key) == 0);
}

TEST_CASE("An unrepeatable command goes to another server only after a refusal as not run", "[command]")
{
    struct Case
    {
        ServerBehaviour first;
        std::uint32_t runs;
        Errc code;
        Verdict verdict;
    };
    const auto &each = GENERATE(values<Case>({
        {ServerBehaviour::Runs, 1, Errc::Ok, Verdict::Ran},
        {ServerBehaviour::Refuses, 1, Errc::Ok, Verdict::Ran},
        {ServerBehaviour::RunsReplyLost, 1, Errc::ConnectionLost, Verdict::MayHaveRun},
        {ServerBehaviour::RequestLost, 0, Errc::ConnectionLost, Verdict::MayHaveRun},
    }));
    Bench bench;
    int sent = 0;
    bench.world.serverBehaviour = [&] { return sent++ == 0 ? each.first : ServerBehaviour::Runs; };
    const std::string key = bench.world.makeKey(0s, "a");
    const Failure failure = bench.failureOf(bench.request(key));
    CHECK(errcName(failure.code) == errcName(each.code));
    CHECK(failure.verdict == each.verdict);
    CHECK(bench.world.runsOf(key) == each.runs);
    CHECK(sent == (each.first == ServerBehaviour::Refuses ? 2 : 1));
    CHECK(bench.world.coordinator(0).running() == 0);
}

TEST_CASE("A repeatable command needs no claim and is repeated", "[command]")
{
    Bench bench;
    bench.invoice.unrepeatable = false;
    bench.world.run(20ms);
    int sent = 0;
    SECTION("until a server answers")
    {
        bench.world.serverBehaviour = [&] { return sent++ == 0 ? ServerBehaviour::RequestLost : ServerBehaviour::Runs; };
        CHECK(bench.failureOf(bench.request("")).code == Errc::Ok);
        CHECK(sent == 2);
    }
    SECTION("and a refusal by the last server does not hide that the first may have run it")
    {
        bench.world.serverBehaviour = [&] { return sent++ == 0 ? ServerBehaviour::RunsReplyLost : ServerBehaviour::Refuses; };
        CHECK(bench.failureOf(bench.request("")).verdict == Verdict::MayHaveRun);
    }
    CHECK(bench.world.store.claims.empty());
}

TEST_CASE("A command without a server that may get new work is refused as not run", "[command]")
{
    Bench bench;
    bench.invoice.servers.clear();
    const Failure failure = bench.failureOf(bench.request(bench.world.makeKey(0s, "a")));
    CHECK(failure.code == Errc::Unavailable);
    CHECK(failure.verdict == Verdict::NotRun);
}
