#pragma once

#include <burdock/declarations/declarationset.h>
#include <burdock/declarations/fault.h>
#include <burdock/values/failure.h>

#include <cstddef>
#include <string>
#include <vector>

namespace Burdock
{

/// The maximum size of a declaration file, in bytes. The store limits values to 1 MB; owners must split larger files.
constexpr std::size_t MaxDeclarationFileBytes = std::size_t{512} * 1024;

/// The maximum length of a file name, in bytes.
constexpr std::size_t MaxDeclarationNameBytes = 200;

/// The reason why a file of this name and size cannot be published; empty if it can.
std::string declarationFileFault(const std::string &name, std::size_t bytes);

/// Reads all `*.toml` files below a folder, except hidden files and folders. BadRequest if one cannot be read or published.
Result<DeclarationSet> collectDeclarations(const std::string &folder);

/// Reads several folders into one set; BadRequest with both folders if two of them contain a file of the same name.
Result<DeclarationSet> collectDeclarations(const std::vector<std::string> &folders);

} // namespace Burdock
