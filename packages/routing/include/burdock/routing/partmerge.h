#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Burdock
{

/// The size of a record in bytes; records are compared as unsigned bytes.
constexpr std::size_t RecordBytes = 16;

/// Returns the `limit` greatest records of all parts, concatenated in descending order. Duplicates are kept; an incomplete
/// record at the end of a part is ignored.
std::string greatestRecords(const std::vector<std::string_view> &parts, std::uint32_t limit);

} // namespace Burdock
