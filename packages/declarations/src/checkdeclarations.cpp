#include <burdock/declarations/checkdeclarations.h>

#include <burdock/declarations/collector.h>
#include <burdock/declarations/nearestname.h>

#include "parsedfile.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace Burdock
{

namespace
{

template<class Key, class Value>
std::vector<std::string> namesOf(const std::map<Key, Value> &declared)
{
    std::vector<std::string> names;
    names.reserve(declared.size());
    for (const auto &[name, value] : declared) {
        names.push_back(name.text());
    }
    return names;
}

std::string locationKey(const std::vector<std::string> &words)
{
    std::string key;
    for (const std::string &word : words) {
        key.append(word).append(1, ' ');
    }
    return key;
}

/// Merges the files into one configuration and checks them against each other.
class Assembler
{
public:
    Assembler(Configuration &configuration, DeclarationFaults &faults)
        : configuration_(configuration)
        , faults_(faults)
    {
    }

    void assemble(const std::vector<ParsedFile> &files)
    {
        for (const ParsedFile &file : files) {
            add("fleet", file.fleets, configuration_.fleets);
            add("index", file.indexes, configuration_.indexes);
            add("command", file.commands, configuration_.commands);
        }
        for (const ParsedFile &file : files) {
            checkFleets(file);
            for (const ParsedRule &rule : file.rules) {
                addRule(rule);
            }
        }
    }

private:
    template<class Key, class Value>
    void add(const std::string &kind, const std::vector<Parsed<Value>> &parsed, std::map<Key, Value> &declared)
    {
        for (const Parsed<Value> &next : parsed) {
            const std::string &name = next.declaration.name.text();
            const auto [location, isNew] = locations_.emplace(locationKey({kind, name}), next.location);
            if (isNew) {
                declared.emplace(next.declaration.name, next.declaration);
            } else {
                std::string message = "the " + kind;
                message.append(" '").append(name).append("' is declared twice");
                faults_.push_back({next.location, std::move(message), location->second});
            }
        }
    }

    void checkFleets(const ParsedFile &file)
    {
        for (const auto &index : file.indexes) {
            checkFleet(index.declaration.fleet, index.fleetLocation);
            for (const Shard &shard : index.declaration.map.shards) {
                checkServers(shard.replicas, index.declaration.fleet, index.serversLocation);
            }
        }
        for (const auto &command : file.commands) {
            checkFleet(command.declaration.fleet, command.fleetLocation);
            checkServers(command.declaration.servers, command.declaration.fleet, command.serversLocation);
        }
    }

    void checkFleet(const FleetName &fleet, const SourceLocation &location)
    {
        if (!fleet.empty() && configuration_.fleets.count(fleet) == 0) {
            const std::string hint = nearestNameHint(fleet.text(), namesOf(configuration_.fleets));
            faults_.push_back({location, "there is no fleet '" + fleet.text() + "'" + hint, std::nullopt});
        }
    }

    void checkServers(const std::vector<ServerId> &servers, const FleetName &fleet, const SourceLocation &location)
    {
        for (const ServerId &server : servers) {
            const auto [known, isNew] = fleetOfServer_.emplace(server, std::pair(fleet, location));
            if (!isNew && known->second.first != fleet) {
                faults_.push_back(
                    {location,
                     "the server '" + server.text() + "' is in the fleet '" + fleet.text() + "' here and in '" + known->second.first.text() + "' elsewhere",
                     known->second.second});
            }
        }
    }

    void addRule(const ParsedRule &parsed)
    {
        if (parsed.target.empty()) {
            return;
        }
        if (parsed.isCommand) {
            addRule(parsed, "command", CommandName(parsed.target), configuration_.commands);
        } else {
            addRule(parsed, "index", IndexName(parsed.target), configuration_.indexes);
        }
    }

    template<class Key, class Value>
    void addRule(const ParsedRule &parsed, const std::string &kind, const Key &target, std::map<Key, Value> &declared)
    {
        const auto found = declared.find(target);
        if (found == declared.end()) {
            const std::string hint = nearestNameHint(target.text(), namesOf(declared));
            faults_.push_back({parsed.targetLocation, "there is no " + kind + " '" + target.text() + "'" + hint, std::nullopt});
            return;
        }
        const CallerId &caller = parsed.rule.caller;
        const auto [location, isNew] = locations_.emplace(locationKey({"rule", kind, target.text(), caller.text()}), parsed.location);
        if (isNew) {
            found->second.callers.emplace(caller, parsed.rule);
        } else {
            faults_.push_back(
                {parsed.location, "the caller '" + caller.text() + "' has two rules for the " + kind + " '" + target.text() + "'", location->second});
        }
    }

    Configuration &configuration_;
    DeclarationFaults &faults_;
    std::unordered_map<std::string, SourceLocation> locations_;
    std::unordered_map<ServerId, std::pair<FleetName, SourceLocation>> fleetOfServer_;
};

} // namespace

tl::expected<Configuration, DeclarationFaults> checkDeclarations(const DeclarationSet &set, std::uint64_t version)
{
    Configuration configuration;
    configuration.version = version;
    configuration.hash = set.hash();
    DeclarationFaults faults;
    std::vector<ParsedFile> files;
    for (const auto &[name, file] : set.files()) {
        const std::string fault = declarationFileFault(name, file.text().size());
        if (!fault.empty()) {
            faults.push_back({{name, 1, 1}, "this file " + fault, std::nullopt});
        }
        files.push_back(parseDeclarationFile(name, file.text(), faults));
    }
    Assembler(configuration, faults).assemble(files);
    if (!faults.empty()) {
        std::sort(faults.begin(), faults.end());
        faults.erase(std::unique(faults.begin(), faults.end()), faults.end());
        return tl::make_unexpected(std::move(faults));
    }
    return configuration;
}

} // namespace Burdock
