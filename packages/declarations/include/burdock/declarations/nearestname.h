#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Burdock
{

/// The name closest to `word` by edit distance; nothing if none is similar enough to be the intended name.
std::optional<std::string> nearestName(std::string_view word, const std::vector<std::string> &names);

/// `; did you mean 'NAME'?` to append to a message; empty if no name is similar enough.
std::string nearestNameHint(std::string_view word, const std::vector<std::string> &names);

} // namespace Burdock
