#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Burdock
{

/// Reads a body in chunks from the raw bytes of a connection, and accepts nothing that is malformed. Extensions of chunks and
/// trailers are skipped.
class ChunkedBodyReader
{
public:
    enum class Status {
        /// The body needs more bytes.
        Incomplete,
        Complete,
        Malformed,
        /// The body, the line with a chunk's size or the trailers exceed their limit.
        TooLarge,
    };

    /// The limits are in bytes; `lineLimit` holds for each line with a size and for all trailers together.
    ChunkedBodyReader(std::size_t lineLimit, std::size_t bodyLimit);

    /// Expects a new body.
    void reset();

    /// Takes bytes up to the end of the body at most, removes them from `bytes` and appends the content to `body`.
    Status read(std::string_view &bytes, std::string &body);

private:
    enum class Part { Size, Content, ContentEnd, Trailers };

    void readContent(std::string_view &bytes, std::string &body);
    void readLine(std::string_view &bytes);
    Status endLine(std::string_view line);
    Status readSize(std::string_view line);

    const std::size_t lineLimit_;
    const std::size_t bodyLimit_;
    Part part_ = Part::Size;
    Status status_ = Status::Incomplete;
    /// The bytes of a line that has not ended yet.
    std::string line_;
    std::size_t trailerBytes_ = 0;
    /// The bytes of the chunk that have not been read yet.
    std::uint64_t left_ = 0;
    std::uint64_t total_ = 0;
};

} // namespace Burdock
