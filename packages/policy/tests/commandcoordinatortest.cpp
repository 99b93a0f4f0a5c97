#include "claimworld.h"

#include <catch2/catch.hpp>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

struct CommandFixture
{
    ClaimWorld world{1};
    CommandDeclaration &invoice = world.configuration->commands.at(CommandName("invoice"));

    /// Submits a command, runs the simulation for one second and returns the failure; code Ok if it succeeded.
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

TEST_CASE("An invalid command is refused before a claim or dispatch", "[command]")
{
    CommandFixture fixture;
    const std::string key = fixture.world.makeKey(0s, "a");
    CommandRequest request = fixture.request(key);
    Errc expected = Errc::Ok;
    SECTION("not declared")
    {
        request.command = CommandName("recall");
        expected = Errc::NotFound;
    }
    SECTION("not allowed")
    {
        request.caller = CallerId("stranger");
        expected = Errc::NotAllowed;
    }
    SECTION("no key")
    {
        request.key.clear();
        expected = Errc::BadRequest;
    }
    SECTION("a key without a timestamp")
    {
        request.key = "order-17";
        expected = Errc::BadRequest;
    }
    SECTION("a key from the future")
    {
        request.key = fixture.world.makeKey(-10min, "a");
        expected = Errc::BadRequest;
    }
    SECTION("a past deadline")
    {
        request.deadline = 0s;
        expected = Errc::DeadlineExceeded;
    }
    const std::uint64_t calls = fixture.world.store.calls;
    const Failure failure = fixture.failureOf(request);
    CHECK(errcName(failure.code) == errcName(expected));
    CHECK(failure.verdict == Verdict::NotRun);
    CHECK(fixture.world.store.calls <= calls + 1); // one call of the claim sweeper
    CHECK(fixture.world.runsOf(key) == 0);
}

TEST_CASE("An unrepeatable command is retried on another server only after a NotRun verdict", "[command]")
{
    struct Case
    {
        ServerBehaviour first;
        std::uint32_t runs;
        Errc code;
        Verdict verdict;
    };
    const auto &testCase = GENERATE(values<Case>({
        {ServerBehaviour::Runs, 1, Errc::Ok, Verdict::Ran},
        {ServerBehaviour::Refuses, 1, Errc::Ok, Verdict::Ran},
        {ServerBehaviour::RunsReplyLost, 1, Errc::ConnectionLost, Verdict::MayHaveRun},
        {ServerBehaviour::RequestLost, 0, Errc::ConnectionLost, Verdict::MayHaveRun},
    }));
    CommandFixture fixture;
    int sent = 0;
    fixture.world.serverBehaviour = [&] { return sent++ == 0 ? testCase.first : ServerBehaviour::Runs; };
    const std::string key = fixture.world.makeKey(0s, "a");
    const Failure failure = fixture.failureOf(fixture.request(key));
    CHECK(errcName(failure.code) == errcName(testCase.code));
    CHECK(failure.verdict == testCase.verdict);
    CHECK(fixture.world.runsOf(key) == testCase.runs);
    CHECK(sent == (testCase.first == ServerBehaviour::Refuses ? 2 : 1));
    CHECK(fixture.world.coordinator(0).running() == 0);
}

TEST_CASE("A repeatable command is retried without a claim", "[command]")
{
    CommandFixture fixture;
    fixture.invoice.unrepeatable = false;
    fixture.world.run(20ms);
    int sent = 0;
    SECTION("until a server answers")
    {
        fixture.world.serverBehaviour = [&] { return sent++ == 0 ? ServerBehaviour::RequestLost : ServerBehaviour::Runs; };
        CHECK(fixture.failureOf(fixture.request("")).code == Errc::Ok);
        CHECK(sent == 2);
    }
    SECTION("and the verdict is MayHaveRun if the first server may have run it and the last refused")
    {
        fixture.world.serverBehaviour = [&] { return sent++ == 0 ? ServerBehaviour::RunsReplyLost : ServerBehaviour::Refuses; };
        CHECK(fixture.failureOf(fixture.request("")).verdict == Verdict::MayHaveRun);
    }
    CHECK(fixture.world.store.claims.empty());
}

TEST_CASE("A command without an available server is refused as NotRun", "[command]")
{
    CommandFixture fixture;
    fixture.invoice.servers.clear();
    const Failure failure = fixture.failureOf(fixture.request(fixture.world.makeKey(0s, "a")));
    CHECK(failure.code == Errc::Unavailable);
    CHECK(failure.verdict == Verdict::NotRun);
}
