#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Burdock
{

/// The head of a final response.
struct ResponseHead
{
    int status = 0;
    /// Names in lower case; the values of a repeated header are joined by commas.
    std::map<std::string, std::string> headers;
    std::set<std::string> repeatedHeaders;
    /// The status and what frames the body, written in the one way that every parser reads alike.
    std::string framing;
};

/// Reads the head of a response from the raw bytes of a connection, and accepts nothing that is malformed or can be read in
/// more than one way.
///
/// Late bytes of an earlier response may precede the status line, and then both together may look like one head. Therefore the
/// first byte must begin a status line, every other line must be a header, and no reason phrase or header value may contain the
/// beginning of a status line. Interim responses are skipped.
class ResponseHeadReader
{
public:
    enum class Status {
        /// The head needs more bytes.
        Incomplete,
        /// A complete head is available.
        Complete,
        /// Not the head of an HTTP/1.x response, ambiguous, or over the limit.
        Malformed,
    };

    /// `limit` is in bytes and includes interim responses.
    explicit ResponseHeadReader(std::size_t limit);

    /// Expects a new head.
    void reset();

    /// Takes bytes up to the end of the head at most, and removes them from `bytes`. After a complete or malformed head it
    /// takes nothing.
    Status read(std::string_view &bytes);

    /// The complete head.
    const ResponseHead &head() const
    {
        return head_;
    }

private:
    bool readLine(std::string_view line);
    bool readStatusLine(std::string_view line);
    bool readHeader(std::string_view line);
    bool endHead();
    bool isInterim() const;
    bool hasValidStart() const;
    std::optional<std::string> bodyFraming() const;

    const std::size_t limit_;
    std::size_t taken_ = 0;
    /// The bytes of a line that has not ended yet.
    std::string line_;
    Status status_ = Status::Incomplete;
    bool hasStatusLine_ = false;
    bool isVersion10_ = false;
    ResponseHead head_;
};

} // namespace Burdock
