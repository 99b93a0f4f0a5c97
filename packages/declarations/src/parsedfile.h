#pragma once

#include <burdock/declarations/fault.h>
#include <burdock/values/configuration.h>

#include <string>
#include <vector>

namespace Burdock
{

/// One rule of a team's file, with the places that faults are reported at.
struct ParsedRule
{
    CallerRule rule;
    std::string target;
    bool isCommand = false;
    SourceLocation location;
    SourceLocation targetLocation;
};

/// A declaration of an operators' file, with the places that faults are reported at.
template<class T>
struct Parsed
{
    T declaration;
    SourceLocation location;
    SourceLocation fleetLocation;
    SourceLocation serversLocation;
};

/// What one file says, before it is checked against the others. Fields with faults keep their defaults.
struct ParsedFile
{
    std::vector<ParsedRule> rules;
    std::vector<Parsed<FleetDeclaration>> fleets;
    std::vector<Parsed<IndexDeclaration>> indexes;
    std::vector<Parsed<CommandDeclaration>> commands;
};

/// Parses one file and adds what is wrong with it to `faults`.
ParsedFile parseDeclarationFile(const std::string &name, const std::string &text, DeclarationFaults &faults);

} // namespace Burdock
