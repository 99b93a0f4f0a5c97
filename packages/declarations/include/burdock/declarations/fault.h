#pragma once

#include <burdock/values/comparison.h>

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Burdock
{

/// A place in a declaration file. Lines and columns count from 1.
struct SourcePlace
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
    SourcePlace place;
    std::string message;
    /// Where the other side of a conflict stands.
    std::optional<SourcePlace> other;

    auto fields() const
    {
        return std::tie(place, message, other);
    }

    /// `file:line:column: message`, followed by the other place where there is one.
    std::string toString() const;
};

/// All faults of one check, in the order of their places.
using DeclarationFaults = std::vector<DeclarationFault>;

} // namespace Burdock
