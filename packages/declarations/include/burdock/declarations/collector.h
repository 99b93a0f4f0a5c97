#pragma once

#include <burdock/declarations/declarationset.h>
#include <burdock/declarations/fault.h>
#include <burdock/values/failure.h>

#include <cstddef>
#include <string>
#include <vector>

namespace Burdock
{

/// The largest declaration file, in bytes. The store's values end at 1 MB; what is larger is split by its owners.
constexpr std::size_t MaxDeclarationFileBytes = std::size_t{512} * 1024;

/// The longest file name, in bytes.
constexpr std::size_t MaxDeclarationNameBytes = 200;

/// Why a file of this name and size cannot be published; empty where it can.
std::string declarationFileFault(const std::string &name, std::size_t bytes);

/// Reads all `*.toml` files below a folder. Hidden files and folders are left out.
Result<DeclarationSet> collectDeclarations(const std::string &folder);

/// Reads several folders into one set; a name that two of them hold is refused, with both places.
Result<DeclarationSet> collectDeclarations(const std::vector<std::string> &folders);

} // namespace Burdock
