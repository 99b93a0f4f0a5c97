#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace Burdock
{

/// Converts the ASCII letters of the text to lower case.
std::string lowerCase(std::string text);

/// Formats the head of an HTTP/1.1 response including its empty line. Without `bodyBytes` it has no Content-Length. Headers
/// that contain CR, LF or NUL are omitted. With `jsonByDefault`, a response without a content type is sent as JSON.
std::string
responseHead(int status, const std::map<std::string, std::string> &headers, std::optional<std::size_t> bodyBytes, bool close, bool jsonByDefault = true);

/// The bytes of a request's target and header fields, without what separates them.
std::size_t headBytes(const std::string &target, const std::map<std::string, std::string> &headers);

/// The JSON error body described in docs/INTERFACES.md, with the verdict `notRun`, for a request that was rejected before it
/// reached the handler. `status` is 413 or 400.
std::string errorBody(int status);

} // namespace Burdock
