#include "internal/responsehead.h"

#include "internal/httptext.h"

#include <algorithm>

namespace Burdock
{

namespace
{

constexpr std::string_view Protocol = "HTTP/1.";
constexpr std::string_view LineEnd = "\r\n";
constexpr const char *Blank = " \t";
/// The lengths of "HTTP/1.1" and of "HTTP/1.1 200".
constexpr std::size_t VersionLength = 8;
constexpr std::size_t StatusEnd = 12;
constexpr int SwitchingProtocols = 101;
constexpr int MinInterim = 100;
constexpr int MinFinal = 200;
constexpr int MaxStatus = 599;
/// A number of this many digits fits into 64 bits.
constexpr std::size_t MaxLengthDigits = 18;

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isTokenCharacter(char character)
{
    constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
    return isDigit(character) || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || Others.find(character) != std::string_view::npos;
}

bool isTextCharacter(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

/// Whether the text is HTTP/1.x and a status of three digits, from its first byte on.
bool beginsStatusLine(std::string_view text)
{
    return text.size() >= StatusEnd && text.substr(0, Protocol.size()) == Protocol && isDigit(text[Protocol.size()]) && text[VersionLength] == ' '
        && std::all_of(text.begin() + VersionLength + 1, text.begin() + StatusEnd, isDigit);
}

/// Whether a reason phrase or a header value may have been written by a server in one piece.
bool isSoundText(std::string_view text)
{
    if (!std::all_of(text.begin(), text.end(), isTextCharacter)) {
        return false;
    }
    for (std::size_t at = text.find(Protocol); at != std::string_view::npos; at = text.find(Protocol, at + 1)) {
        if (beginsStatusLine(text.substr(at))) {
            return false;
        }
    }
    return true;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(Blank);
    return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(Blank) - first + 1);
}

/// Whether a comma-separated header value contains the item, which is in lower case.
bool listContains(std::string_view list, std::string_view item)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (lowerCase(std::string(trimmed(list.substr(0, comma)))) == item) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

} // namespace

ResponseHeadReader::ResponseHeadReader(std::size_t limit)
    : limit_(limit)
{
}

void ResponseHeadReader::reset()
{
    taken_ = 0;
    line_.clear();
    status_ = Status::Incomplete;
    hasStatusLine_ = false;
    isVersion10_ = false;
    head_ = {};
}

ResponseHeadReader::Status ResponseHeadReader::read(std::string_view &bytes)
{
    while (status_ == Status::Incomplete && !bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        const std::string_view piece = bytes.substr(0, end == std::string_view::npos ? end : end + 1);
        bytes.remove_prefix(piece.size());
        taken_ += piece.size();
        line_ += piece;
        const bool isWhole = end != std::string_view::npos;
        if (taken_ > limit_ || !hasValidStart() || (isWhole && !readLine(line_))) {
            status_ = Status::Malformed;
        }
        if (isWhole) {
            line_.clear();
        }
    }
    return status_;
}

bool ResponseHeadReader::hasValidStart() const
{
    // Only waits for the end of the line if it may become a status line.
    const std::size_t length = std::min(line_.size(), Protocol.size());
    return hasStatusLine_ || std::string_view(line_).substr(0, length) == Protocol.substr(0, length);
}

bool ResponseHeadReader::readLine(std::string_view line)
{
    if (line.size() < LineEnd.size() || line.substr(line.size() - LineEnd.size()) != LineEnd) {
        return false;
    }
    line.remove_suffix(LineEnd.size());
    if (!hasStatusLine_) {
        return readStatusLine(line);
    }
    return line.empty() ? endHead() : readHeader(line);
}

bool ResponseHeadReader::readStatusLine(std::string_view line)
{
    if (!beginsStatusLine(line)) {
        return false;
    }
    const char minorVersion = line[Protocol.size()];
    const std::string_view reason = line.substr(StatusEnd);
    if (minorVersion > '1' || (!reason.empty() && reason.front() != ' ') || !isSoundText(reason)) {
        return false;
    }
    isVersion10_ = minorVersion == '0';
    head_.status = std::stoi(std::string(line.substr(VersionLength + 1, StatusEnd - VersionLength - 1)));
    hasStatusLine_ = true;
    return isInterim() || (head_.status >= MinFinal && head_.status <= MaxStatus);
}

bool ResponseHeadReader::isInterim() const
{
    // Switching protocols is never asked for, so it ends the connection.
    return head_.status >= MinInterim && head_.status < MinFinal && head_.status != SwitchingProtocols;
}

bool ResponseHeadReader::readHeader(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!std::all_of(name.begin(), name.end(), isTokenCharacter) || !isSoundText(value)) {
        return false;
    }
    const auto [place, added] = head_.headers.emplace(lowerCase(std::string(name)), value);
    if (!added) {
        place->second.append(", ").append(value);
        head_.repeatedHeaders.insert(place->first);
    }
    return true;
}

bool ResponseHeadReader::endHead()
{
    const auto body = bodyFraming();
    if (!body) {
        return false;
    }
    if (isInterim()) {
        head_ = {};
        hasStatusLine_ = false;
        return true;
    }
    head_.framing = "HTTP/1.1 " + std::to_string(head_.status) + " \r\n" + *body + "\r\n";
    status_ = Status::Complete;
    return true;
}

/// Returns nothing if the length of the body could be read in more than one way. A repeated header has a comma in its value.
std::optional<std::string> ResponseHeadReader::bodyFraming() const
{
    const auto length = head_.headers.find("content-length");
    const auto encoding = head_.headers.find("transfer-encoding");
    const bool hasLength = length != head_.headers.end();
    const bool hasEncoding = encoding != head_.headers.end();
    if ((hasLength || hasEncoding) && isInterim()) {
        return std::nullopt;
    }
    std::string framing;
    if (hasLength) {
        const std::string &digits = length->second;
        if (hasEncoding || digits.empty() || digits.size() > MaxLengthDigits || !std::all_of(digits.begin(), digits.end(), isDigit)) {
            return std::nullopt;
        }
        framing = "Content-Length: " + digits + "\r\n";
    } else if (hasEncoding) {
        if (isVersion10_ || lowerCase(encoding->second) != "chunked") {
            return std::nullopt;
        }
        framing = "Transfer-Encoding: chunked\r\n";
    }
    const auto connection = head_.headers.find("connection");
    const std::string_view options = connection == head_.headers.end() ? std::string_view() : std::string_view(connection->second);
    if (listContains(options, "close") || (isVersion10_ && !listContains(options, "keep-alive"))) {
        framing += "Connection: close\r\n";
    }
    return framing;
}

} // namespace Burdock
