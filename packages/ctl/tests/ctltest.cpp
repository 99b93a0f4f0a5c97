#include "../../declarations/tests/memorystore.h"
#include <burdock/ctl/subcommand.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace Burdock;

namespace
{

/// An HTTP client that answers from `replies`, by address and path.
class FakeHttp final : public HttpClient
{
public:
    explicit FakeHttp(Runtime &runtime)
        : runtime_(runtime)
    {
    }

    std::map<std::string, HttpResponse> replies;
    std::vector<HttpRequest> sent;

    HttpCallId send(HttpRequest request, Callback done) override
    {
        sent.push_back(request);
        const auto found = replies.find(request.address.toString() + request.path);
        Result<HttpResponse> result = notRun(Errc::Unavailable, "refused");
        if (found != replies.end()) {
            result = found->second;
        }
        runtime_.schedule(Duration{100}, [done, result] { done(result); });
        return sent.size();
    }
    void cancel(HttpCallId) override
    {
    }
    void closeIdle() override
    {
    }
    void failUnsent(const Address &) override
    {
    }

    void setLimits(const Address &, const ConnectionLimits &) override
    {
    }
    std::uint32_t openConnections(const Address &) const override
    {
        return 0;
    }

private:
    Runtime &runtime_;
};

class FakeList final : public InstanceListSource
{
public:
    InstanceList list;

    void follow(std::function<void(const InstanceList &)> changed) override
    {
        if (list.version != 0) {
            changed(list);
        }
    }
    void stop() override
    {
    }
};

/// Links to instances that accept and report every offered version, except for `unresponsive`.
class FakeLinks final : public PeerLinks
{
public:
    explicit FakeLinks(Runtime &runtime)
        : runtime_(runtime)
    {
    }

    std::map<InstanceId, ConfigOffer> pushed;
    InstanceId unresponsive;

    Result<Address> listen(const Address &address) override
    {
        return address;
    }
    void setHandlers(MessageHandler onMessage, LostHandler) override
    {
        onMessage_ = std::move(onMessage);
    }
    void setPeer(const InstanceId &, const Address &) override
    {
    }
    void removePeer(const InstanceId &) override
    {
    }
    bool send(const InstanceId &peer, PeerMessage message) override
    {
        if (peer == unresponsive) {
            return true;
        }
        if (const auto *offer = std::get_if<ConfigOffer>(&message)) {
            pushed[peer] = *offer;
        } else if (const auto *fetch = std::get_if<ConfigFetch>(&message)) {
            const ConfigOffer answer{fetch->number, pushed[peer].version, {}, {}, true};
            runtime_.schedule(Duration{100}, [this, peer, answer] { onMessage_(peer, answer); });
        }
        return true;
    }
    std::uint32_t openLinks() const override
    {
        return 0;
    }
    const PeerLinkCounters &counters() const override
    {
        return counters_;
    }

private:
    Runtime &runtime_;
    MessageHandler onMessage_;
    PeerLinkCounters counters_;
};

class FakeContext final : public ToolContext
{
public:
    ManualRuntime clock;
    MemoryStore memory{clock};
    FakeHttp client{clock};
    FakeList instances;
    FakeLinks peers{clock};
    std::ostringstream output;
    std::ostringstream errors;

    Runtime &runtime() override
    {
        return clock;
    }
    Store &store() override
    {
        return memory;
    }
    InstanceListSource &instanceList() override
    {
        return instances;
    }
    HttpClient &http() override
    {
        return client;
    }
    PeerLinks &links() override
    {
        return peers;
    }
    bool waitFor(const std::function<bool()> &condition, Duration limit) override
    {
        const TimePoint end = clock.now() + limit;
        while (!condition() && clock.now() < end) {
            clock.advance(std::chrono::milliseconds(1));
        }
        return condition();
    }
    std::ostream &out() override
    {
        return output;
    }
    std::ostream &err() override
    {
        return errors;
    }
    void progress(const std::string &) override
    {
    }

    /// Runs a command line; `output` and `errors` hold what this run printed.
    ExitCode run(std::vector<std::string> words)
    {
        output.str("");
        errors.str("");
        const auto &all = subcommands();
        const auto found = std::find_if(all.begin(), all.end(), [&](const Subcommand &subcommand) { return subcommand.name == words[0]; });
        REQUIRE(found != all.end());
        std::vector<char *> argv;
        for (std::string &word : words) {
            argv.push_back(word.data());
        }
        argv.push_back(nullptr);
        const auto values = optionsOf(*found).read(static_cast<int>(words.size()), argv.data());
        REQUIRE(values);
        return found->run(*this, *values);
    }

    nlohmann::json json() const
    {
        return nlohmann::json::parse(output.str());
    }
};

/// A temporary folder with one file, removed by the destructor.
class Folder
{
public:
    explicit Folder(const std::string &text)
        : path_(std::filesystem::temp_directory_path() / ("burdockctl-test-" + std::to_string(++count) + "-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(path_);
        write(text);
    }
    ~Folder()
    {
        std::error_code error;
        std::filesystem::remove_all(path_, error);
    }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    void write(const std::string &text) const
    {
        std::ofstream(path_ / "fleets.toml") << text;
    }
    std::string path() const
    {
        return path_.string();
    }

private:
    static inline int count = 0;
    std::filesystem::path path_;
};

constexpr auto Fleet = "[fleet.desk]\nslots = \"5 slots\"\nconnections = \"40 connections\"\nconnection-cost = \"6ms\"\n";

} // namespace

TEST_CASE("check reports every fault and exits with code 1", "[ctl]")
{
    FakeContext context;
    const Folder folder("[fleet.desk]\nslot = \"5 slots\"\n");
    CHECK(context.run({"check", folder.path()}) == ExitCode::ProblemsFound);
    CHECK(context.output.str().find("fleets.toml:2:1: the fleet 'desk' has no key 'slot'; did you mean 'slots'?") != std::string::npos);
    CHECK(context.run({"check", "--json", folder.path()}) == ExitCode::ProblemsFound);
    CHECK(context.json()["faults"].size() == 4);
    CHECK(context.json()["faults"][0]["line"] == 1);
    folder.write(Fleet);
    CHECK(context.run({"check", folder.path()}) == ExitCode::Ok);
}

TEST_CASE("collect refuses a file name that two folders contain", "[ctl]")
{
    FakeContext context;
    const Folder one(Fleet);
    const Folder other(Fleet);
    CHECK(context.run({"collect", one.path()}) == ExitCode::Ok);
    CHECK(context.run({"collect", one.path(), other.path()}) == ExitCode::NotRun);
    CHECK(context.errors.str().find(other.path()) != std::string::npos);
}

TEST_CASE("publish, diff, history and show use the configuration in the store", "[ctl]")
{
    FakeContext context;
    const Folder folder(Fleet);
    CHECK(context.run({"publish", "--why", "first", "--who", "ana", folder.path()}) == ExitCode::Usage);
    CHECK(context.run({"publish", "--base", "0", "--who", "ana", folder.path()}) == ExitCode::Usage);
    REQUIRE(context.run({"publish", "--base", "0", "--why", "first", "--who", "ana", "--json", folder.path()}) == ExitCode::Ok);
    CHECK(context.json()["version"] == 1);
    CHECK(context.run({"diff", folder.path()}) == ExitCode::Ok);
    folder.write(std::string(Fleet) + "rank-floors = { urgent = \"50%\" }\n");
    CHECK(context.run({"diff", folder.path()}) == ExitCode::ProblemsFound);
    CHECK(context.output.str().find("+rank-floors") != std::string::npos);

    SECTION("a stale base exits with code 3 and prints the diff")
    {
        CHECK(context.run({"publish", "--base", "0", "--why", "second", "--who", "ana", folder.path()}) == ExitCode::Conflict);
        CHECK(context.output.str().find("+rank-floors") != std::string::npos);
    }
    SECTION("a set with faults is not published")
    {
        folder.write("[fleet.desk]\n");
        CHECK(context.run({"publish", "--base", "1", "--why", "second", "--who", "ana", folder.path()}) == ExitCode::ProblemsFound);
        CHECK(context.memory.writes == 1);
    }
    SECTION("the audit trail shows publisher, reason and diff")
    {
        CHECK(context.run({"publish", "--base", "current", "--why", "second", "--who", "ben", folder.path()}) == ExitCode::Ok);
        CHECK(context.run({"history", "--json", "--limit", "1"}) == ExitCode::Ok);
        REQUIRE(context.json()["records"].size() == 1);
        CHECK(context.json()["records"][0]["who"] == "ben");
        CHECK(context.json()["records"][0]["diff"].get<std::string>().find("+rank-floors") != std::string::npos);
        CHECK(context.run({"show", "fleets.toml"}) == ExitCode::Ok);
        CHECK(context.output.str().find("rank-floors") != std::string::npos);
        CHECK(context.run({"show", "absent.toml"}) == ExitCode::NotRun);
    }
    SECTION("an outage exits with code 4, a lost reply in an outage with code 5 and the flags for a repetition")
    {
        context.memory.commitFaults = {CallFault::LostReply};
        context.memory.onApplied = [&] { context.memory.outage = true; };
        const std::vector<std::string> words{
            "publish", "--base", "1", "--why", "second", "--who", "ana", "--publish-id", "x1", "--timeout-ms", "3000", folder.path()};
        CHECK(context.run(words) == ExitCode::MayHaveRun);
        CHECK(context.errors.str().find("--base 1 --publish-id x1") != std::string::npos);
        CHECK(context.run({"show", "--timeout-ms", "3000"}) == ExitCode::NotRun);
        context.memory.outage = false;
        CHECK(context.run(words) == ExitCode::Ok);
        CHECK(context.memory.writes == 2);
    }
}

TEST_CASE("publish sends the new version to two instances of each data centre", "[ctl]")
{
    FakeContext context;
    context.instances.list.version = 1;
    for (int i = 0; i < 6; ++i) {
        const Place place{Region("r"), DataCentre(i % 2 == 0 ? "a" : "b")};
        context.instances.list.instances.push_back({InstanceId("i" + std::to_string(i)), place, {}, {}, i == 0});
    }
    context.peers.unresponsive = InstanceId("i1");
    const Folder folder(Fleet);
    REQUIRE(context.run({"publish", "--base", "0", "--why", "first", "--who", "ana", folder.path()}) == ExitCode::Ok);
    CHECK(context.errors.str().find("in force on 3 of 4 instances") == 0);
    CHECK(context.peers.pushed.size() == 3);
    CHECK(context.peers.pushed.count(InstanceId("i0")) == 0);
    const ConfigOffer &offer = context.peers.pushed.at(InstanceId("i2"));
    CHECK(ConfigHead::parse(offer.head)->version == 1);
    CHECK(offer.files.size() == 1);

    SECTION("a version that was not accepted is not sent")
    {
        context.peers.pushed.clear();
        folder.write(std::string(Fleet) + "#");
        CHECK(context.run({"publish", "--base", "0", "--why", "second", "--who", "ana", folder.path()}) == ExitCode::Conflict);
        context.memory.outage = true;
        CHECK(context.run({"publish", "--base", "1", "--why", "second", "--who", "ana", "--timeout-ms", "2000", folder.path()}) == ExitCode::NotRun);
        CHECK(context.peers.pushed.empty());
    }
}

TEST_CASE("status shows each instance's version and exits with code 1 if one is behind or does not answer", "[ctl]")
{
    FakeContext context;
    for (const int port : {1, 2}) {
        const Address address{"127.0.0.1", static_cast<std::uint16_t>(port)};
        context.instances.list.instances.push_back({InstanceId("i" + std::to_string(port)), {}, address, address, false});
        context.client.replies[address.toString() + "/v1/status"] = {
            200, {}, R"({"configuration":{"version":7,"inForceSince":"2026-03-04T05:06:07Z","state":"current"}})"};
    }
    CHECK(context.run({"status", "--timeout-ms", "50"}) == ExitCode::NotRun);
    context.instances.list.version = 1;
    CHECK(context.run({"status"}) == ExitCode::Ok);
    CHECK(context.output.str().find("2026-03-04T05:06:07Z") != std::string::npos);
    context.client.replies["127.0.0.1:2/v1/status"].body = R"({"configuration":{"version":6}})";
    CHECK(context.run({"status"}) == ExitCode::ProblemsFound);
    context.client.replies.erase("127.0.0.1:2/v1/status");
    CHECK(context.run({"status", "--json"}) == ExitCode::ProblemsFound);
    CHECK(context.json()["instances"][1]["answered"] == false);
}

TEST_CASE("ask sends the request to the first entry and returns its verdict", "[ctl]")
{
    FakeContext context;
    context.client.replies["127.0.0.1:1/v1/entries"] = {200, {}, R"({"entries":[{"address":"127.0.0.1:2","instance":"i2"}],"maxAgeSeconds":5})"};
    context.client.replies["127.0.0.1:2/v1/query"] = {
        200, {}, R"({"requestId":"r","coverage":{"fraction":1.0,"missing":[]},"hits":[{"id":"a","score":2.5,"body":"b"}],"tookMs":12.5})"};
    context.client.replies["127.0.0.1:2/v1/command"] = {502, {}, R"({"error":{"code":"connectionLost","message":"lost","verdict":"mayHaveRun"}})"};
    const auto ask = [&](const std::string &kind, const std::string &name) {
        return context.run({"ask", "--instance", "127.0.0.1:1", "--caller", "desk", "--key", "k1", kind, name, "text"});
    };
    CHECK(ask("query", "parts") == ExitCode::Ok);
    CHECK(context.output.str().find("2.5  a  b") == 0);
    CHECK(context.output.str().find("took 12.5 ms") != std::string::npos);
    CHECK(ask("command", "invoice") == ExitCode::MayHaveRun);
    CHECK(context.client.sent.back().headers.at("Idempotency-Key") == "k1");
    CHECK(nlohmann::json::parse(context.client.sent.back().body) == nlohmann::json{{"command", "invoice"}, {"payload", "text"}});
    CHECK(ask("question", "parts") == ExitCode::Usage);
    context.client.replies["127.0.0.1:1/v1/entries"].body = "not json";
    CHECK(ask("query", "parts") == ExitCode::NotRun);
}

TEST_CASE("Every subcommand has a help text with its flags and variables", "[ctl]")
{
    for (const Subcommand &subcommand : subcommands()) {
        INFO(subcommand.name);
        CHECK(toolHelp().find(subcommand.summary) != std::string::npos);
        CHECK(optionsOf(subcommand).help().find("BURDOCK_STORE_ADDRESS") != std::string::npos);
    }
}
