#pragma once

#include "chunkedbody.h"

#include <burdock/wire/httpserver.h>

#include <evhtp/parser.h>
#include <functional>
#include <memory>

struct evbuffer;

namespace Burdock
{

/// Parses the bytes of a connection into requests, one at a time, with libevhtp's parser. Enforces the limits.
///
/// libevhtp's parser reads one byte beyond its input if that ends within the method or the query. It is therefore given the
/// complete head of a request at once. The body is passed on as it arrives. A body in chunks is read by ChunkedBodyReader,
/// because libevhtp's parser accepts sizes that are no numbers where `char` is unsigned.
class HttpRequestParser
{
public:
    enum class Status {
        /// The request needs more bytes.
        Incomplete,
        /// A complete request is available; call `takeRequest` before reading on.
        Complete,
        /// Not HTTP/1.x, or framed ambiguously, so that two parsers could see different requests.
        Malformed,
        /// The head or the body exceeds its limit.
        TooLarge,
        /// The body may not begin to arrive; none of it was read.
        Refused,
    };

    /// Decides from a body's length, 0 if that is not known, whether it may begin to arrive.
    using Admission = std::function<bool(std::size_t bytes)>;

    HttpRequestParser(
        std::size_t headerLimit, std::size_t bodyLimit, Admission admitsBody = [](std::size_t) { return true; });

    /// Consumes bytes from the buffer, at most up to the end of one request.
    Status read(evbuffer *input);

    /// Returns true once for each request whose client waits for `100 Continue` before it sends the body.
    bool takeExpectContinue();

    /// Returns the complete request and resets the parser for the next one.
    HttpServerRequest takeRequest();

    /// Whether the client of the request taken last wants the connection to stay open.
    bool keepAlive() const
    {
        return keepAlive_;
    }

    /// Whether the client of the request taken last supports chunked responses.
    bool supportsChunked() const
    {
        return supportsChunked_;
    }

    /// The memory that the request in progress takes.
    std::size_t heldBytes() const;

    /// The bytes that the body in progress may still bring.
    std::size_t remainingBytes() const;

private:
    static HttpRequestParser &fromParser(htparser *parser);
    static int onPath(htparser *parser, const char *text, std::size_t length);
    static int onQuery(htparser *parser, const char *text, std::size_t length);
    static int onHeaderName(htparser *parser, const char *text, std::size_t length);
    static int onHeaderValue(htparser *parser, const char *text, std::size_t length);
    static int onHeadersDone(htparser *parser);
    static int onBody(htparser *parser, const char *bytes, std::size_t length);
    static int onDone(htparser *parser);

    static const htparse_hooks &hooks();

    void reset();
    int stop(Status status);
    void readHead(evbuffer *input);
    void readTarget(evbuffer *input, std::size_t length);
    void readBody(evbuffer *input);
    void readChunks(evbuffer *input);
    void run(evbuffer *input, std::size_t length);
    Status errorStatus() const;
    bool hasAmbiguousFraming() const;

    const std::size_t headerLimit_;
    const std::size_t bodyLimit_;
    const Admission admitsBody_;
    /// The length of the body in progress, or the limit if that is not known.
    std::size_t expectedBytes_ = 0;
    /// Contains a line buffer of 8 KiB, so it exists only while a request is being read.
    std::unique_ptr<htparser, void (*)(void *)> parser_;
    HttpServerRequest request_;
    /// What has arrived of the body.
    std::string body_;
    std::string headerName_;
    Status status_ = Status::Incomplete;
    std::size_t contentLengthCount_ = 0;
    ChunkedBodyReader chunks_;
    bool isChunked_ = false;
    /// Whether the body has a transfer encoding that the library does not understand.
    bool unknownEncoding_ = false;
    bool headComplete_ = false;
    bool expectsContinue_ = false;
    bool keepAlive_ = false;
    bool supportsChunked_ = false;
};

} // namespace Burdock
