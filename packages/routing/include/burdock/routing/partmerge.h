#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Burdock
{

/// The size of a record in bytes; records are compared byte by byte.
constexpr std::size_t RecordBytes = 16;

/// The greatest `limit` records of all parts, greatest first, one after the other. Equal records all count; what is left of a
/// part after its last whole record is no record.
std::string greatestRecords(const std::vector<std::string_view> &parts, std::uint32_t limit);

} // namespace Burdock
