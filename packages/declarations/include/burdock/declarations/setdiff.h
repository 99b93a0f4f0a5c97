#pragma once

#include <burdock/declarations/declarationset.h>

#include <cstddef>
#include <string>

namespace Burdock
{

/// The longest diff that an audit record keeps, in bytes.
constexpr std::size_t MaxDiffBytes = std::size_t{64} * 1024;

/// What turns one set into the other: each changed file with its removed and added lines, and a line of
/// context round them. Ends with a note where it would be longer than MaxDiffBytes.
std::string diffText(const DeclarationSet &from, const DeclarationSet &to);

} // namespace Burdock
