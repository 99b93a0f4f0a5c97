#pragma once

#include <burdock/declarations/declarationset.h>
#include <burdock/declarations/fault.h>
#include <burdock/values/configuration.h>

#include <cstdint>
#include <tl/expected.hpp>

namespace Burdock
{

/// Parses and checks all files together. Gives the configuration of that version, or every fault at once;
/// only a file with a syntax error tells no more than its first one.
tl::expected<Configuration, DeclarationFaults> checkDeclarations(const DeclarationSet &set, std::uint64_t version);

} // namespace Burdock
