#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Burdock
{

/// The name closest to `word` by edit distance; nothing where none is near enough to be meant.
std::optional<std::string> nearestName(std::string_view word, const std::vector<std::string> &names);

/// `; did you mean 'NAME'?` or nothing, to end a message with.
std::string nearestNameHint(std::string_view word, const std::vector<std::string> &names);

} // namespace Burdock
