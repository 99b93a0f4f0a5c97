#include "parsedfile.h"

#include "shardpattern.h"
#include "tablereader.h"

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <utility>

namespace Burdock
{

namespace
{

/// Parses the sections of one file.
class FileParser
{
public:
    FileParser(std::string file, DeclarationFaults &faults)
        : file_(std::move(file))
        , faults_(faults)
    {
    }

    ParsedFile parse(const toml::table &root)
    {
        TableReader reader(root, file_, "this file", faults_);
        if (reader.has("team")) {
            reader.text("team", Need::Required);
            reader.eachTable("rule", [this](const toml::table &table) { parseRule(table); });
        } else if (reader.has("rule")) {
            reader.text("team", Need::Required);
            reader.eachTable("rule", [this](const toml::table &table) { parseRule(table); });
        } else {
            reader.eachNamedTable("fleet", [this](const std::string &name, const toml::table &table) { parseFleet(name, table); });
            reader.eachNamedTable("index", [this](const std::string &name, const toml::table &table) { parseIndex(name, table); });
            reader.eachNamedTable("command", [this](const std::string &name, const toml::table &table) { parseCommand(name, table); });
        }
        reader.reportUnknownKeys();
        return std::move(parsed_);
    }

private:
    void parseRule(const toml::table &table);
    void parseFleet(const std::string &name, const toml::table &table);
    void parseRankFloors(const std::string &fleet, const toml::table &table, PerRank<double> &fractions);
    void parseIndex(const std::string &name, const toml::table &table);
    std::vector<Shard> parseShardPattern(TableReader &reader);
    std::vector<Shard> parseShards(const std::string &index, TableReader &reader);
    void checkKeyRanges(const std::string &index, TableReader &reader, std::vector<Shard> shards);
    void parseCommand(const std::string &name, const toml::table &table);

    std::string file_;
    DeclarationFaults &faults_;
    ParsedFile parsed_;
};

void FileParser::parseRule(const toml::table &table)
{
    TableReader reader(table, file_, "this rule", faults_);
    ParsedRule parsed;
    parsed.location = reader.location();
    parsed.isCommand = reader.has("command");
    if (parsed.isCommand == reader.has("index")) {
        reader.addFault("", "this rule must name either an 'index' or a 'command'");
    }
    const auto index = reader.name("index", Need::Optional);
    const auto command = reader.name("command", Need::Optional);
    parsed.target = (parsed.isCommand ? command : index).value_or("");
    parsed.targetLocation = reader.location(parsed.isCommand ? "command" : "index");
    const auto callers = reader.names("callers", Need::Required);
    parsed.rule.rank = reader.rank("rank", Need::Required).value_or(Rank::Batch);
    parsed.rule.longestWait = reader.duration("longest-wait", Need::Required).value_or(Duration{1});
    if (parsed.rule.longestWait == Duration{0}) {
        reader.addFault("longest-wait", "'longest-wait' must be above zero");
    }
    parsed.rule.share = reader.count("share", "share", Need::Optional).value_or(1);
    if (!parsed.isCommand) {
        parsed.rule.partialAllowed = reader.flag("partial", Need::Optional).value_or(false);
        const auto minCoverage = reader.percentage("least-coverage", parsed.rule.partialAllowed ? Need::Required : Need::Optional);
        parsed.rule.leastCoverage = minCoverage.value_or(1.0);
        if (!parsed.rule.partialAllowed && parsed.rule.leastCoverage < 1.0) {
            reader.addFault("least-coverage", "'least-coverage' below 100% has no effect without 'partial = true'");
        }
    }
    reader.reportUnknownKeys();
    for (const std::string &caller : callers.value_or(std::vector<std::string>())) {
        parsed.rule.caller = CallerId(caller);
        parsed_.rules.push_back(parsed);
    }
}

void FileParser::parseFleet(const std::string &name, const toml::table &table)
{
    TableReader reader(table, file_, "the fleet '" + name + "'", faults_);
    Parsed<FleetDeclaration> parsed;
    parsed.location = reader.location();
    parsed.declaration.name = FleetName(name);
    parsed.declaration.slots = reader.count("slots", "slot", Need::Required).value_or(1);
    parsed.declaration.connections = reader.count("connections", "connection", Need::Required).value_or(1);
    parsed.declaration.connectionCost = reader.duration("connection-cost", Need::Required).value_or(Duration{0});
    if (const toml::table *fractions = reader.table("rank-floors", Need::Optional)) {
        parseRankFloors(name, *fractions, parsed.declaration.rankFloors);
    }
    reader.reportUnknownKeys();
    parsed_.fleets.push_back(std::move(parsed));
}

void FileParser::parseRankFloors(const std::string &fleet, const toml::table &table, PerRank<double> &fractions)
{
    constexpr double RoundingMargin = 1e-9;
    TableReader reader(table, file_, "'rank-floors' of the fleet '" + fleet + "'", faults_);
    for (const Rank rank : AllRanks) {
        fractions[rankIndex(rank)] = reader.percentage(rankName(rank), Need::Optional).value_or(0.0);
    }
    reader.reportUnknownKeys();
    if (std::accumulate(fractions.begin(), fractions.end(), 0.0) > 1.0 + RoundingMargin) {
        reader.addFault("", "the rank floors of the fleet '" + fleet + "' are more than 100% together");
    }
}

void FileParser::parseIndex(const std::string &name, const toml::table &table)
{
    TableReader reader(table, file_, "the index '" + name + "'", faults_);
    Parsed<IndexDeclaration> parsed;
    parsed.location = reader.location();
    parsed.declaration.name = IndexName(name);
    parsed.declaration.fleet = FleetName(reader.name("fleet", Need::Required).value_or(""));
    parsed.fleetLocation = reader.location("fleet");
    const auto generation = reader.integer("generation", Need::Required);
    if (generation && *generation < 1) {
        reader.addFault("generation", "'generation' starts at 1 and rises with each repartition");
    }
    parsed.declaration.map.generation = static_cast<std::uint64_t>(std::max<std::int64_t>(generation.value_or(1), 1));
    parsed.serversLocation = reader.location(reader.has("shard") ? "shard" : "servers");
    const std::size_t faultsBefore = faults_.size();
    parsed.declaration.map.shards = reader.has("shard") ? parseShards(name, reader) : parseShardPattern(reader);
    reader.reportUnknownKeys();
    if (faults_.size() == faultsBefore) {
        checkKeyRanges(name, reader, parsed.declaration.map.shards);
    }
    parsed_.indexes.push_back(std::move(parsed));
}

std::vector<Shard> FileParser::parseShardPattern(TableReader &reader)
{
    const auto shards = reader.count("shards", "shard", Need::Required);
    const auto replicas = reader.count("replicas", "replica", Need::Required);
    const auto servers = reader.text("servers", Need::Required);
    if (!shards || !replicas || !servers) {
        return {};
    }
    auto expanded = ShardPattern{*shards, *replicas, *servers}.expand();
    if (!expanded) {
        reader.addFault("servers", expanded.error());
        return {};
    }
    return std::move(*expanded);
}

std::vector<Shard> FileParser::parseShards(const std::string &index, TableReader &reader)
{
    std::vector<Shard> shards;
    reader.eachTable("shard", [&](const toml::table &table) {
        TableReader shard(table, file_, "a shard of the index '" + index + "'", faults_);
        const auto id = shard.name("id", Need::Required);
        const auto begin = shard.integer("begin", Need::Required);
        const auto end = shard.integer("end", Need::Required);
        const auto servers = shard.names("servers", Need::Required);
        shard.reportUnknownKeys();
        if (begin && end && (*begin < 0 || *end <= *begin || static_cast<std::uint64_t>(*end) > KeySpace)) {
            shard.addFault("begin", "'begin' and 'end' must rise, from 0 to at most 0x100000000");
            return;
        }
        if (!id || !begin || !end || !servers) {
            return;
        }
        if (std::any_of(shards.begin(), shards.end(), [&](const Shard &other) { return other.id.text() == *id; })) {
            shard.addFault("id", "the shard '" + *id + "' of the index '" + index + "' is declared twice");
        }
        Shard next{ShardId(*id), {static_cast<std::uint64_t>(*begin), static_cast<std::uint64_t>(*end)}, {}};
        for (const std::string &server : *servers) {
            next.replicas.emplace_back(server);
        }
        shards.push_back(std::move(next));
    });
    return shards;
}

std::string keyText(std::uint64_t key)
{
    char digits[32];
    std::snprintf(digits, sizeof digits, "0x%08llx", static_cast<unsigned long long>(key));
    return digits;
}

void FileParser::checkKeyRanges(const std::string &index, TableReader &reader, std::vector<Shard> shards)
{
    std::sort(shards.begin(), shards.end(), [](const Shard &a, const Shard &b) { return a.range < b.range; });
    shards.push_back(Shard{ShardId("the end"), {KeySpace, KeySpace}, {}});
    std::uint64_t next = 0;
    for (const Shard &shard : shards) {
        const auto &[begin, end] = shard.range;
        if (begin > next) {
            reader.addFault("shard", "the keys from " + keyText(next) + " to " + keyText(begin) + " belong to no shard of the index '" + index + "'");
        } else if (begin < next) {
            reader.addFault("shard",
                            "the keys from " + keyText(begin) + " to " + keyText(std::min(next, end)) + " belong to two shards of the index '" + index
                                + "', one of them '" + shard.id.text() + "'");
        }
        next = std::max(next, end);
    }
}

void FileParser::parseCommand(const std::string &name, const toml::table &table)
{
    TableReader reader(table, file_, "the command '" + name + "'", faults_);
    Parsed<CommandDeclaration> parsed;
    parsed.location = reader.location();
    parsed.declaration.name = CommandName(name);
    parsed.declaration.fleet = FleetName(reader.name("fleet", Need::Required).value_or(""));
    parsed.fleetLocation = reader.location("fleet");
    parsed.serversLocation = reader.location("servers");
    for (const std::string &server : reader.names("servers", Need::Required).value_or(std::vector<std::string>())) {
        parsed.declaration.servers.emplace_back(server);
    }
    parsed.declaration.unrepeatable = reader.flag("unrepeatable", Need::Required).value_or(true);
    const auto window = reader.duration("claim-window", parsed.declaration.unrepeatable ? Need::Required : Need::Optional);
    parsed.declaration.claimWindow = window.value_or(Duration{0});
    if (parsed.declaration.unrepeatable && window && *window == Duration{0}) {
        reader.addFault("claim-window", "'claim-window' must be above zero");
    }
    reader.reportUnknownKeys();
    parsed_.commands.push_back(std::move(parsed));
}

} // namespace

ParsedFile parseDeclarationFile(const std::string &name, const std::string &text, DeclarationFaults &faults)
{
    try {
        const toml::table root = toml::parse(text, name);
        return FileParser(name, faults).parse(root);
    } catch (const toml::parse_error &error) {
        const auto &begin = error.source().begin;
        faults.push_back({{name, std::max(begin.line, 1U), std::max(begin.column, 1U)}, std::string(error.description()), std::nullopt});
        return {};
    }
}

} // namespace Burdock
