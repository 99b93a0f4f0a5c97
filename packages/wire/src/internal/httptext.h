#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace Burdock
{

/// The text with ASCII letters in lower case.
std::string lowerCase(std::string text);

/// The head of an HTTP/1.1 answer up to its empty line. Without `bodyBytes` the answer states no length. Headers that
/// would break the head are left out; where none is given and `labelled` holds, the content type is JSON.
std::string answerHead(int status, const std::map<std::string, std::string> &headers, std::optional<std::size_t> bodyBytes, bool close, bool labelled = true);

/// The JSON error body that docs/INTERFACES.md describes, for a request that was refused before it reached the
/// handler: verdict `notRun`. Status 413 or 400.
std::string refusalBody(int status);

} // namespace Burdock
