#pragma once

#include "crowd.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <memory>
#include <sstream>
#include <string>

namespace Burdock
{

#if defined(__SANITIZE_ADDRESS__)
/// The address sanitizer keeps shadow memory, red zones and freed blocks, which count as resident.
constexpr std::size_t SanitizerMemoryFactor = 6;
#else
constexpr std::size_t SanitizerMemoryFactor = 1;
#endif

constexpr std::size_t BytesPerMegabyte = std::size_t{1} << 20;

/// Checks that what a process held at most stays under both bounds.
inline void checkUsage(const ProcessUsage &peak, std::size_t memoryMb, std::size_t descriptors)
{
    INFO("resident " << peak.residentBytes / 1024 << " KiB, received and not read " << peak.unreadBytes / 1024 << " KiB, " << peak.descriptors
                     << " descriptors");
    CHECK(peak.residentBytes > 0);
    CHECK(peak.residentBytes + peak.unreadBytes < memoryMb * SanitizerMemoryFactor * BytesPerMegabyte);
    CHECK(peak.descriptors < descriptors);
    // The figures of a run that passes are wanted as well, to compare two builds.
    WARN("peak: resident " << peak.residentBytes / 1024 << " KiB, received and not read " << peak.unreadBytes / 1024 << " KiB, " << peak.descriptors
                           << " descriptors");
}

/// A request with a body of a stated length of which the last bytes are left out.
inline std::shared_ptr<const std::string> bodyThatStops(const std::string &head, std::size_t length, std::size_t missing)
{
    return std::make_shared<const std::string>(head + "Content-Length: " + std::to_string(length) + "\r\n\r\n" + std::string(length - missing, 'b'));
}

/// A request with a body in chunks of the size, without the last chunk unless `isEnded`.
inline std::shared_ptr<const std::string> bodyInChunks(const std::string &head, std::size_t chunkBytes, std::size_t chunks, bool isEnded)
{
    std::ostringstream text;
    text << std::hex << head << "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t index = 0; index < chunks; ++index) {
        text << chunkBytes << "\r\n" << std::string(chunkBytes, 'c') << "\r\n";
    }
    text << (isEnded ? "0\r\n\r\n" : "");
    return std::make_shared<const std::string>(text.str());
}

} // namespace Burdock
