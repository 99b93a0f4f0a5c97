#include <burdock/declarations/checkdeclarations.h>
#include <burdock/declarations/collector.h>
#include <burdock/declarations/quantity.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Burdock;

namespace
{

constexpr auto Fleet = "[fleet.desk]\nslots = \"5 slots\"\nconnections = \"40 connections\"\nconnection-cost = \"6ms\"\n";
constexpr auto Index = "[index.parts]\nfleet = \"desk\"\ngeneration = 1\nshards = \"4 shards\"\nreplicas = \"2 replicas\"\nservers = \"p-{shard}-{replica}\"\n";
constexpr auto Command = "[command.invoice]\nfleet = \"desk\"\nservers = [\"p-0-0\"]\nunrepeatable = true\nclaim-window = \"1h\"\n";
constexpr auto Rule = "team = \"Desk\"\n[[rule]]\ncallers = [\"desk\"]\nindex = \"parts\"\nrank = \"urgent\"\nlongest-wait = \"80ms\"\n";

using Files = std::map<std::string, std::string>;

DeclarationSet setOf(const Files &texts)
{
    std::map<std::string, DeclarationFile> files;
    for (const auto &[name, text] : texts) {
        files.emplace(name, DeclarationFile(text));
    }
    return DeclarationSet(std::move(files));
}

Files validFiles()
{
    return {{"fleets.toml", Fleet}, {"indexes.toml", Index}, {"commands.toml", Command}, {"desk.toml", Rule}};
}

std::vector<std::string> faultsOf(const Files &files)
{
    const auto checked = checkDeclarations(setOf(files), 1);
    std::vector<std::string> texts;
    if (!checked) {
        std::transform(checked.error().begin(), checked.error().end(), std::back_inserter(texts), [](const auto &fault) { return fault.toString(); });
    }
    return texts;
}

struct FaultCase
{
    std::string file;
    std::string text;
    std::string expected;
};

} // namespace

TEST_CASE("Valid files are merged into one configuration", "[declarations]")
{
    const auto checked = checkDeclarations(setOf(validFiles()), 7);
    REQUIRE(checked);
    CHECK(checked->version == 7);
    CHECK(checked->hash == setOf(validFiles()).hash());
    const IndexDeclaration &index = checked->indexes.at(IndexName("parts"));
    CHECK(index.map.isComplete());
    CHECK(index.map.shards[3].replicas == std::vector{ServerId("p-3-0"), ServerId("p-3-1")});
    const CallerRule &rule = index.callers.at(CallerId("desk"));
    CHECK(rule == CallerRule{CallerId("desk"), Rank::Urgent, std::chrono::milliseconds(80), 1.0, false, 1});
    CHECK(checked->fleets.at(FleetName("desk")).connectionCost == std::chrono::milliseconds(6));
    CHECK(checked->commands.at(CommandName("invoice")).claimWindow == std::chrono::hours(1));
}

TEST_CASE("Each fault is reported with its file, line, column and the nearest valid name", "[declarations]")
{
    const std::string rule = Rule;
    const std::string fleet = Fleet;
    const FaultCase cases[] = {
        {"desk.toml", rule + "shar = \"2 shares\"\n", "desk.toml:7:1: this rule has no key 'shar'; did you mean 'share'?"},
        {"desk.toml", rule + "share = 2\n", "desk.toml:7:9: 'share' of this rule must be a count above zero with its unit, such as \"5 shares\""},
        {"desk.toml", rule + "least-coverage = \"60%\"\n", "desk.toml:7:18: 'least-coverage' below 100% has no effect without 'partial = true'"},
        {"desk.toml", rule + "partial = true\n", "desk.toml:2:1: this rule lacks 'least-coverage'"},
        {"desk.toml", rule + "command = \"invoice\"\n", "desk.toml:2:1: this rule must name either an 'index' or a 'command'"},
        {"desk.toml", rule.substr(0, rule.find("index")), "desk.toml:2:1: this rule must name either an 'index' or a 'command'"},
        {"desk.toml", rule + "[fleet.x]\n", "desk.toml:7:2: this file has no key 'fleet'"},
        {"desk.toml", rule.substr(rule.find("[[")), "desk.toml:1:1: this file lacks 'team'"},
        {"fleets.toml",
         fleet + "rank-floors = { urgent = \"60%\", batch = \"50%\" }\n",
         "fleets.toml:5:15: the rank floors of the fleet 'desk' are more than 100% together"},
        {"fleets.toml", "[fleet.dusk]" + fleet.substr(fleet.find('\n')), "there is no fleet 'desk'; did you mean 'dusk'?"},
        {"fleets.toml", fleet + "[fleet.desk]\n", "fleets.toml:5:1: "},
        {"x.toml", fleet, "x.toml:1:1: the fleet 'desk' is declared twice; the other place is fleets.toml:1:1"},
        {"x.toml", rule, "x.toml:2:1: the caller 'desk' has two rules for the index 'parts'; the other place is desk.toml:2:1"},
        {"x.toml",
         "[fleet.b]" + fleet.substr(fleet.find('\n')) + "[command.c]\nfleet = \"b\"\nservers = [\"p-0-1\"]\nunrepeatable = false\n",
         "x.toml:7:11: the server 'p-0-1' is in the fleet 'b' here and in 'desk' elsewhere; the other place is indexes.toml:6:11"},
        {"indexes.toml",
         "[index.parts]\nfleet = \"desk\"\ngeneration = 0\nshards = \"4 shards\"\nreplicas = \"2 replicas\"\nservers = \"p-{shard}\"\n",
         "indexes.toml:6:11: the pattern 'p-{shard}' gives two replicas of shard 0 the same server 'p-0'"},
        {"indexes.toml",
         "[index.parts]\nfleet = \"desk\"\ngeneration = 1\n[[index.parts.shard]]\nid = \"a\"\nbegin = 0\nend = 0x80000000\nservers = [\"s\"]\n",
         "the keys from 0x80000000 to 0x100000000 belong to no shard of the index 'parts'"},
        {"indexes.toml",
         "[index.parts]\nfleet = \"desk\"\ngeneration = 1\n[[index.parts.shard]]\nid = \"a\"\nbegin = 0\nend = 0x90000000\nservers = [\"s\"]\n"
         "[[index.parts.shard]]\nid = \"b\"\nbegin = 0x80000000\nend = 0x100000000\nservers = [\"s\"]\n",
         "the keys from 0x80000000 to 0x90000000 belong to two shards of the index 'parts', one of them 'b'"},
        {"commands.toml",
         "[command.invoice]\nfleet = \"desk\"\nservers = [\"p-0-0\"]\nunrepeatable = true\n",
         "commands.toml:1:1: the command 'invoice' lacks 'claim-window'"},
        {"commands.toml", "[command.invoice\n", "commands.toml:"},
        {"big.toml", "#" + std::string(MaxDeclarationFileBytes, 'x'), "big.toml:1:1: this file has 524289 bytes"},
    };
    for (const FaultCase &faultCase : cases) {
        INFO(faultCase.expected);
        Files files = validFiles();
        files[faultCase.file] = faultCase.text;
        const auto faults = faultsOf(files);
        CAPTURE(faults);
        CHECK(std::any_of(faults.begin(), faults.end(), [&](const std::string &text) { return text.find(faultCase.expected) != std::string::npos; }));
    }
}

TEST_CASE("All faults of all files are reported at once", "[declarations]")
{
    Files files = validFiles();
    files["desk.toml"] = "team = \"Desk\"\n[[rule]]\ncallers = [\"desk\"]\nindex = \"part\"\nrank = \"urgnt\"\nlongest-wait = \"80\"\n";
    files["fleets.toml"] += "slot = 5\n";
    const auto faults = faultsOf(files);
    CAPTURE(faults);
    REQUIRE(faults.size() == 4);
    CHECK(faults[0] == "desk.toml:4:9: there is no index 'part'; did you mean 'parts'?");
    CHECK(faults[1] == "desk.toml:5:8: there is no rank 'urgnt'; ranks are urgent, interactive and batch; did you mean 'urgent'?");
    CHECK(faults[2].find("desk.toml:6:16: 'longest-wait' of this rule must be a duration") == 0);
    CHECK(faults[3] == "fleets.toml:5:1: the fleet 'desk' has no key 'slot'; did you mean 'slots'?");
}

TEST_CASE("Quantities are parsed only with their units", "[declarations]")
{
    CHECK(parseDuration("80ms") == Duration{80000});
    CHECK(parseDuration("7d") == Duration(std::chrono::hours(168)));
    for (const std::string text : {"", "80", "ms", "80 ms", "-1s", "1.5s", "99999999999s", "4000000000h"}) {
        CHECK_FALSE(parseDuration(text));
    }
    CHECK(parseCount("1 slot", "slot") == 1U);
    CHECK(parseCount("40 slots", "slot") == 40U);
    for (const std::string text : {"", "5", "5 ", "5slots", "5 connections", "-5 slots", "99999999999 slots"}) {
        CHECK_FALSE(parseCount(text, "slot"));
    }
    CHECK(parsePercentage("62.5%") == 0.625);
    for (const std::string text : {"", "60", "101%", "-1%", "nan%", "6 %"}) {
        CHECK_FALSE(parsePercentage(text));
    }
    CHECK(durationText(std::chrono::milliseconds(1500)) == "1500ms");
}

TEST_CASE("The examples of both deployments are valid and have the expected numbers of shards and replicas", "[declarations][examples]")
{
    struct Size
    {
        std::string folder;
        std::string index;
        std::size_t shards;
        std::size_t replicas;
    };
    const Size sizes[] = {
        {"pereyra-hermanos", "parts", 10, 3},
        {"pereyra-hermanos", "dealer-catalogue", 15, 3},
        {"pereyra-hermanos", "ledger", 13, 2},
        {"pereyra-hermanos", "technician", 6, 2},
        {"registry", "helmets", 10, 3},
        {"registry", "batches", 15, 3},
        {"registry", "recalls", 20, 2},
        {"registry", "inductions", 10, 2},
    };
    for (const Size &size : sizes) {
        INFO(size.folder << " " << size.index);
        const auto set = collectDeclarations(std::string(BURDOCK_EXAMPLES) + "/" + size.folder);
        REQUIRE(set);
        const auto checked = checkDeclarations(*set, 1);
        REQUIRE(checked);
        const ShardMap &map = checked->indexes.at(IndexName(size.index)).map;
        CHECK(map.isComplete());
        CHECK(map.shards.size() == size.shards);
        CHECK(map.shards.back().replicas.size() == size.replicas);
    }
    CHECK_FALSE(collectDeclarations(std::string(BURDOCK_EXAMPLES) + "/absent"));
}
