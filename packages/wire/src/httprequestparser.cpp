#include "internal/httprequestparser.h"

#include "internal/httptext.h"

#include <algorithm>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string_view>
#include <utility>

namespace Burdock
{

namespace
{

/// The library's parser with its line buffer, and the headers of an ordinary request.
constexpr std::size_t ParserBytes = 10240;
constexpr std::string_view HeadEnd = "\r\n\r\n";

bool hasControlCharacter(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char letter) { return (letter < ' ' && letter != '\t') || letter == 0x7f; });
}

std::string trimmed(std::string_view text)
{
    constexpr const char *Blank = " \t";
    const std::size_t first = text.find_first_not_of(Blank);
    return first == std::string_view::npos ? std::string() : std::string(text.substr(first, text.find_last_not_of(Blank) - first + 1));
}

std::map<std::string, std::string> parseQuery(const std::string &text)
{
    std::map<std::string, std::string> query;
    evkeyvalq pairs{};
    if (evhttp_parse_query_str(text.c_str(), &pairs) == 0) {
        for (const evkeyval *pair = pairs.tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
            query.emplace(pair->key, pair->value);
        }
        evhttp_clear_headers(&pairs);
    }
    return query;
}

void skipEmptyLines(evbuffer *input)
{
    char first = 0;
    while (evbuffer_copyout(input, &first, 1) == 1 && (first == '\r' || first == '\n')) {
        evbuffer_drain(input, 1);
    }
}

} // namespace

HttpRequestParser::HttpRequestParser(std::size_t headerLimit, std::size_t bodyLimit, Admission admitsBody)
    : headerLimit_(headerLimit)
    , bodyLimit_(bodyLimit)
    , admitsBody_(std::move(admitsBody))
    , parser_(nullptr, &std::free)
    , chunks_(headerLimit, bodyLimit)
{
}

const htparse_hooks &HttpRequestParser::hooks()
{
    static const htparse_hooks table = [] {
        htparse_hooks hooks{};
        hooks.path = &HttpRequestParser::onPath;
        hooks.args = &HttpRequestParser::onQuery;
        hooks.hdr_key = &HttpRequestParser::onHeaderName;
        hooks.hdr_val = &HttpRequestParser::onHeaderValue;
        hooks.on_hdrs_complete = &HttpRequestParser::onHeadersDone;
        hooks.body = &HttpRequestParser::onBody;
        hooks.on_msg_complete = &HttpRequestParser::onDone;
        return hooks;
    }();
    return table;
}

HttpRequestParser &HttpRequestParser::fromParser(htparser *parser)
{
    return *static_cast<HttpRequestParser *>(htparser_get_userdata(parser));
}

void HttpRequestParser::reset()
{
    parser_.reset();
    request_ = {};
    body_ = {};
    status_ = Status::Incomplete;
    headerName_.clear();
    contentLengthCount_ = 0;
    chunks_.reset();
    isChunked_ = false;
    unknownEncoding_ = false;
    headComplete_ = false;
    expectsContinue_ = false;
    expectedBytes_ = 0;
}

HttpRequestParser::Status HttpRequestParser::read(evbuffer *input)
{
    if (!headComplete_) {
        readHead(input);
    }
    while (headComplete_ && status_ == Status::Incomplete && evbuffer_get_length(input) > 0) {
        readBody(input);
    }
    return status_;
}

void HttpRequestParser::readHead(evbuffer *input)
{
    skipEmptyLines(input);
    const evbuffer_ptr end = evbuffer_search(input, HeadEnd.data(), HeadEnd.size(), nullptr);
    const bool whole = end.pos >= 0;
    const std::size_t length = whole ? static_cast<std::size_t>(end.pos) + HeadEnd.size() : evbuffer_get_length(input);
    if (length > headerLimit_) {
        status_ = Status::TooLarge;
    } else if (whole) {
        headComplete_ = true;
        readTarget(input, length);
        parser_.reset(htparser_new());
        htparser_init(parser_.get(), htp_type_request);
        htparser_set_userdata(parser_.get(), this);
        run(input, length);
    }
}

void HttpRequestParser::readTarget(evbuffer *input, std::size_t length)
{
    const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
    const std::string_view head(bytes, length);
    const std::string_view line = head.substr(0, head.find('\r'));
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    if (first != std::string_view::npos && first < last) {
        request_.target = std::string(line.substr(first + 1, last - first - 1));
    }
}

void HttpRequestParser::readBody(evbuffer *input)
{
    if (isChunked_) {
        readChunks(input);
    } else {
        run(input, evbuffer_get_contiguous_space(input));
    }
}

void HttpRequestParser::readChunks(evbuffer *input)
{
    const std::size_t length = evbuffer_get_contiguous_space(input);
    std::string_view bytes(reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length))), length);
    const ChunkedBodyReader::Status status = chunks_.read(bytes, body_);
    evbuffer_drain(input, length - bytes.size());
    switch (status) {
    case ChunkedBodyReader::Status::Incomplete:
        break;
    case ChunkedBodyReader::Status::Complete:
        status_ = Status::Complete;
        break;
    case ChunkedBodyReader::Status::Malformed:
        status_ = Status::Malformed;
        break;
    case ChunkedBodyReader::Status::TooLarge:
        status_ = Status::TooLarge;
        break;
    }
}

void HttpRequestParser::run(evbuffer *input, std::size_t length)
{
    htparse_hooks table = hooks();
    const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
    const std::size_t taken = htparser_run(parser_.get(), &table, bytes, length);
    evbuffer_drain(input, taken);
    if (status_ != Status::Incomplete) {
        return;
    }
    if (htparser_get_error(parser_.get()) != htparse_error_none || taken != length) {
        status_ = errorStatus();
    }
}

HttpRequestParser::Status HttpRequestParser::errorStatus() const
{
    // The parser also reports "too big" for a content length that is not a number, and then does not report the header's value.
    const bool badLength = headerName_ == "content-length";
    return htparser_get_error(parser_.get()) == htparse_error_too_big && !badLength ? Status::TooLarge : Status::Malformed;
}

std::size_t HttpRequestParser::heldBytes() const
{
    const std::size_t body = body_.empty() ? 0 : body_.capacity();
    return body + (parser_ ? ParserBytes : 0);
}

std::size_t HttpRequestParser::remainingBytes() const
{
    return expectedBytes_ - std::min(expectedBytes_, body_.size());
}

bool HttpRequestParser::takeExpectContinue()
{
    return std::exchange(expectsContinue_, false);
}

HttpServerRequest HttpRequestParser::takeRequest()
{
    HttpServerRequest request = std::move(request_);
    request.body = std::move(body_);
    keepAlive_ = htparser_should_keep_alive(parser_.get()) != 0;
    supportsChunked_ = htparser_get_minor(parser_.get()) > 0;
    reset();
    return request;
}

int HttpRequestParser::stop(Status status)
{
    status_ = status;
    return 1;
}

int HttpRequestParser::onPath(htparser *parser, const char *text, std::size_t length)
{
    HttpRequestParser &self = fromParser(parser);
    self.request_.path.assign(text, length);
    return hasControlCharacter(self.request_.path) ? self.stop(Status::Malformed) : 0;
}

int HttpRequestParser::onQuery(htparser *parser, const char *text, std::size_t length)
{
    fromParser(parser).request_.query = parseQuery(std::string(text, length));
    return 0;
}

int HttpRequestParser::onHeaderName(htparser *parser, const char *text, std::size_t length)
{
    HttpRequestParser &self = fromParser(parser);
    if (!self.headerName_.empty()) {
        return self.stop(Status::Malformed);
    }
    self.headerName_ = lowerCase({text, length});
    return 0;
}

int HttpRequestParser::onHeaderValue(htparser *parser, const char *text, std::size_t length)
{
    HttpRequestParser &self = fromParser(parser);
    if (self.headerName_.empty() || hasControlCharacter({text, length})) {
        return self.stop(Status::Malformed);
    }
    // The library reads a body in chunks for these two spellings only, and none for any other.
    self.unknownEncoding_ = self.unknownEncoding_
        || (self.headerName_ == "transfer-encoding" && std::string_view(text, length) != "chunked" && std::string_view(text, length) != "Chunked");
    self.contentLengthCount_ += self.headerName_ == "content-length" ? 1 : 0;
    const auto [place, added] = self.request_.headers.emplace(self.headerName_, trimmed({text, length}));
    if (!added && self.headerName_ == "host") {
        return self.stop(Status::Malformed);
    }
    if (!added) {
        place->second.append(", ").append(trimmed({text, length}));
    }
    self.headerName_.clear();
    return 0;
}

bool HttpRequestParser::hasAmbiguousFraming() const
{
    return unknownEncoding_ || contentLengthCount_ > 1 || (contentLengthCount_ == 1 && request_.headers.count("transfer-encoding") > 0);
}

int HttpRequestParser::onHeadersDone(htparser *parser)
{
    HttpRequestParser &self = fromParser(parser);
    const char *method = htparser_get_methodstr(parser);
    if (!self.headerName_.empty() || method == nullptr || htparser_get_method(parser) == htp_method_UNKNOWN || self.hasAmbiguousFraming()) {
        return self.stop(Status::Malformed);
    }
    self.request_.method = method;
    self.isChunked_ = self.request_.headers.count("transfer-encoding") > 0;
    const auto expect = self.request_.headers.find("expect");
    self.expectsContinue_ = expect != self.request_.headers.end() && lowerCase(expect->second) == "100-continue";
    const std::uint64_t length = htparser_get_content_length(parser);
    if (length > self.bodyLimit_) {
        return self.stop(Status::TooLarge);
    }
    self.expectedBytes_ = self.isChunked_ ? self.bodyLimit_ : static_cast<std::size_t>(length);
    const bool hasBody = self.isChunked_ || length > 0;
    return hasBody && !self.admitsBody_(static_cast<std::size_t>(length)) ? self.stop(Status::Refused) : 0;
}

int HttpRequestParser::onBody(htparser *parser, const char *bytes, std::size_t length)
{
    HttpRequestParser &self = fromParser(parser);
    if (self.body_.size() + length > self.bodyLimit_) {
        return self.stop(Status::TooLarge);
    }
    std::string &body = self.body_;
    const std::size_t needed = body.size() + length;
    if (needed > body.capacity()) {
        // Without this the last doubling could take twice the length.
        body.reserve(std::max(needed, std::min(self.expectedBytes_, 2 * body.capacity())));
    }
    body.append(bytes, length);
    return 0;
}

int HttpRequestParser::onDone(htparser *parser)
{
    return fromParser(parser).stop(Status::Complete);
}

} // namespace Burdock
