#include <burdock/routing/partmerge.h>

#include <algorithm>

namespace Burdock
{

std::string greatestRecords(const std::vector<std::string_view> &parts, std::uint32_t limit)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts) {
        for (std::size_t offset = 0; offset + RecordBytes <= part.size(); offset += RecordBytes) {
            records.push_back(part.substr(offset, RecordBytes));
        }
    }
    const std::size_t count = std::min<std::size_t>(limit, records.size());
    // std::string_view compares its characters as unsigned bytes.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count), records.end(), std::greater<>());
    std::string merged;
    merged.reserve(count * RecordBytes);
    for (std::size_t offset = 0; offset < count; ++offset) {
        merged.append(records[offset]);
    }
    return merged;
}

} // namespace Burdock
