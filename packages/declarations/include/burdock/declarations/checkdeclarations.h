#pragma once

#include <burdock/declarations/declarationset.h>
#include <burdock/declarations/fault.h>
#include <burdock/values/configuration.h>

#include <cstdint>
#include <tl/expected.hpp>

namespace Burdock
{

/// Parses and checks all files together. Returns the configuration with this version, or all faults. Of a file with
/// syntax errors only the first one is reported.
tl::expected<Configuration, DeclarationFaults> checkDeclarations(const DeclarationSet &set, std::uint64_t version);

} // namespace Burdock
