#pragma once

#include <burdock/declarations/fault.h>
#include <burdock/values/configuration.h>

#include <string>
#include <vector>

namespace Burdock
{

/// A rule of a team's file, with the locations at which faults are reported.
struct ParsedRule
{
    CallerRule rule;
    std::string target;
    bool isCommand = false;
    SourceLocation location;
    SourceLocation targetLocation;
};

/// A declaration of an operators' file, with the locations at which faults are reported.
template<class T>
struct Parsed
{
    T declaration;
    SourceLocation location;
    SourceLocation fleetLocation;
    SourceLocation serversLocation;
};

/// The content of one file before it is checked against other files. Fields with faults have their default values.
struct ParsedFile
{
    std::vector<ParsedRule> rules;
    std::vector<Parsed<FleetDeclaration>> fleets;
    std::vector<Parsed<IndexDeclaration>> indexes;
    std::vector<Parsed<CommandDeclaration>> commands;
};

/// Parses one file and appends its faults to `faults`.
ParsedFile parseDeclarationFile(const std::string &name, const std::string &text, DeclarationFaults &faults);

} // namespace Burdock
