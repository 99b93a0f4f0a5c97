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

    /// `file:line:column`, the format that editors recognise.
    std::string toString() const;
};

/// An error in the declarations.
struct DeclarationFault
{
    SourceLocation location;
    std::string message;
    /// The location of the conflicting declaration, if there is one.
    std::optional<SourceLocation> otherLocation;

    auto fields() const
    {
        return std::tie(location, message, otherLocation);
    }

    /// `file:line:column: message`, followed by the other location if there is one.
    std::string toString() const;
};

/// All faults of one check, sorted by location.
using DeclarationFaults = std::vector<DeclarationFault>;

} // namespace Burdock
