#include "internal/chunkedbody.h"

#include <algorithm>
#include <charconv>

namespace Burdock
{

namespace
{

constexpr std::string_view LineEnd = "\r\n";
constexpr int Hexadecimal = 16;

bool isHexDigit(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f') || (character >= 'A' && character <= 'F');
}

bool hasControlCharacter(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char letter) { return (letter < ' ' && letter != '\t') || letter == 0x7f; });
}

} // namespace

ChunkedBodyReader::ChunkedBodyReader(std::size_t lineLimit, std::size_t bodyLimit)
    : lineLimit_(lineLimit)
    , bodyLimit_(bodyLimit)
{
}

void ChunkedBodyReader::reset()
{
    part_ = Part::Size;
    status_ = Status::Incomplete;
    line_.clear();
    trailerBytes_ = 0;
    left_ = 0;
    total_ = 0;
}

ChunkedBodyReader::Status ChunkedBodyReader::read(std::string_view &bytes, std::string &body)
{
    while (status_ == Status::Incomplete && !bytes.empty()) {
        if (part_ == Part::Content) {
            readContent(bytes, body);
        } else {
            readLine(bytes);
        }
    }
    return status_;
}

void ChunkedBodyReader::readContent(std::string_view &bytes, std::string &body)
{
    const auto length = static_cast<std::size_t>(std::min<std::uint64_t>(left_, bytes.size()));
    body += bytes.substr(0, length);
    bytes.remove_prefix(length);
    left_ -= length;
    if (left_ == 0) {
        part_ = Part::ContentEnd;
    }
}

void ChunkedBodyReader::readLine(std::string_view &bytes)
{
    const std::size_t end = bytes.find('\n');
    const bool isWhole = end != std::string_view::npos;
    const std::string_view piece = bytes.substr(0, isWhole ? end + 1 : end);
    bytes.remove_prefix(piece.size());
    line_ += piece;
    trailerBytes_ += part_ == Part::Trailers ? piece.size() : 0;
    if (std::max(line_.size(), trailerBytes_) > lineLimit_) {
        status_ = Status::TooLarge;
    } else if (isWhole) {
        const std::string_view line = line_;
        const bool isEnded = line.size() >= LineEnd.size() && line.substr(line.size() - LineEnd.size()) == LineEnd;
        status_ = isEnded ? endLine(line.substr(0, line.size() - LineEnd.size())) : Status::Malformed;
        line_.clear();
    }
}

ChunkedBodyReader::Status ChunkedBodyReader::endLine(std::string_view line)
{
    if (hasControlCharacter(line)) {
        return Status::Malformed;
    }
    switch (part_) {
    case Part::Size:
        return readSize(line);
    case Part::ContentEnd:
        part_ = Part::Size;
        return line.empty() ? Status::Incomplete : Status::Malformed;
    default:
        return line.empty() ? Status::Complete : Status::Incomplete;
    }
}

ChunkedBodyReader::Status ChunkedBodyReader::readSize(std::string_view line)
{
    const auto digitsEnd = std::find_if_not(line.begin(), line.end(), isHexDigit);
    const std::string_view digits = line.substr(0, static_cast<std::size_t>(digitsEnd - line.begin()));
    const std::string_view rest = line.substr(digits.size());
    const std::size_t extension = rest.find_first_not_of(" \t");
    if (digits.empty() || (!rest.empty() && (extension == std::string_view::npos || rest[extension] != ';'))) {
        return Status::Malformed;
    }
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), left_, Hexadecimal);
    if (error != std::errc() || left_ > bodyLimit_ - total_) {
        return Status::TooLarge;
    }
    total_ += left_;
    part_ = left_ == 0 ? Part::Trailers : Part::Content;
    return Status::Incomplete;
}

} // namespace Burdock
