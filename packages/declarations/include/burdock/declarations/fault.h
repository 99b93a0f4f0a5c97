#pragma once

#include <burdock/values/comparison.h>

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Burdock
{

/// A location in a declaration file. Lines and columns count from 1.
struct SourceLocation
{
    std::string file;
    std::uint32_t line = 1;
    std::uint32_t column = 1;

    auto fields() const
    {
        return std::tie(file, line, column);
    }

    /// `file:line:column`, as editors read it.
    std::string toString() const;
};

/// One thing that is wrong with the declarations.
struct DeclarationFault
{
    SourceLocation location;
    std::string message;
    /// Where the other side of a conflict stands.
    std::optional<SourceLocation> otherLocation;

    auto fields() const
    {
        return std::tie(location, message, otherLocation);
    }

    /// `file:line:column: message`, followed by the other location where there is one.
    std::string toString() const;
};

/// All faults of one check, in the order of their places.
using DeclarationFaults = std::vector<DeclarationFault>;

} // namespace Burdock
