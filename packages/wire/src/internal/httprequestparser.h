#pragma once

#include <burdock/wire/httpserver.h>

#include <evhtp/parser.h>
#include <memory>

struct evbuffer;

namespace Burdock
{

/// Turns the bytes of a connection into requests, one at a time, with libevhtp's parser and within the limits.
///
/// The parser gets the head of a request in one piece: of a piece that ends within the method or the query it reads
/// one byte beyond the end. The body goes in as it comes.
class HttpRequestParser
{
public:
    enum class Status {
        /// More bytes are needed.
        Incomplete,
        /// A whole request is there; `take` it before going on.
        Complete,
        /// Not HTTP/1.x, or framed in a way that two readers could read differently.
        Malformed,
        TooLarge,
    };

    HttpRequestParser(std::size_t headerLimit, std::size_t bodyLimit);

    /// Takes bytes from the buffer, at most up to the end of one request.
    Status read(evbuffer *input);

    /// True once for a request whose client waits for `100 Continue` before it sends the body.
    bool takeContinue();

    /// The whole request; the parser starts on the next one.
    HttpIncoming take();

    /// Of the request last taken: the client wants the connection to stay open.
    bool keepAlive() const
    {
        return keepAlive_;
    }

    /// Of the request last taken: the client understands chunked answers.
    bool knowsChunks() const
    {
        return knowsChunks_;
    }

private:
    static HttpRequestParser &of(htparser *parser);
    static int onPath(htparser *parser, const char *text, std::size_t length);
    static int onQuery(htparser *parser, const char *text, std::size_t length);
    static int onHeaderName(htparser *parser, const char *text, std::size_t length);
    static int onHeaderValue(htparser *parser, const char *text, std::size_t length);
    static int onHeadersDone(htparser *parser);
    static int onNewChunk(htparser *parser);
    static int onBody(htparser *parser, const char *bytes, std::size_t length);
    static int onDone(htparser *parser);

    static const htparse_hooks &hooks();

    void restart();
    int stop(Status status);
    void readHead(evbuffer *input);
    void readTarget(evbuffer *input, std::size_t length);
    void readBody(evbuffer *input);
    void run(evbuffer *input, std::size_t length);
    Status failure() const;
    bool framedTwice() const;

    const std::size_t headerLimit_;
    const std::size_t bodyLimit_;
    /// Holds a line of 8 KiB, so it is there only while a request is read.
    std::unique_ptr<htparser, void (*)(void *)> parser_;
    HttpIncoming incoming_;
    std::string headerName_;
    Status status_ = Status::Incomplete;
    std::size_t contentLengths_ = 0;
    bool headRead_ = false;
    bool expectsContinue_ = false;
    bool keepAlive_ = false;
    bool knowsChunks_ = false;
};

} // namespace Burdock
