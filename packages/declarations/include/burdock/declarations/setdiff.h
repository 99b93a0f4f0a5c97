#pragma once

#include <burdock/declarations/declarationset.h>

#include <cstddef>
#include <string>

namespace Burdock
{

/// The maximum size of a diff in an audit record, in bytes.
constexpr std::size_t MaxDiffBytes = std::size_t{64} * 1024;

/// The differences between two sets: for each changed file the removed and added lines, with one line of context
/// before and after them. A diff longer than MaxDiffBytes is cut off with a note.
std::string diffText(const DeclarationSet &from, const DeclarationSet &to);

} // namespace Burdock
