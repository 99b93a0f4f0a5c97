#include "internal/clientconnection.h"

#include "internal/httptext.h"
#include "internal/sockets.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <new>
#include <optional>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace Burdock
{

namespace
{

constexpr int OkStatus = 200;
constexpr ev_ssize_t ResponseHeaderBytes = 65536;

/// The percentage of a server's keep-alive time for which an idle connection is used. The rest covers the network latency.
constexpr int KeepAliveUsePercent = 80;

/// One year. Calls have their own timers, and libevent's must not fire earlier, not even for a watch that waits for hours.
constexpr timeval LibraryTimeout{31536000, 0};

/// libevent finds that an empty line is no status line, and fails the call.
constexpr std::string_view NoHead = "\r\n";

struct Method
{
    std::string_view name;
    evhttp_cmd_type command;
};

constexpr std::array<Method, 8> Methods{{
    {"GET", EVHTTP_REQ_GET},
    {"POST", EVHTTP_REQ_POST},
    {"PUT", EVHTTP_REQ_PUT},
    {"DELETE", EVHTTP_REQ_DELETE},
    {"PATCH", EVHTTP_REQ_PATCH},
    {"HEAD", EVHTTP_REQ_HEAD},
    {"OPTIONS", EVHTTP_REQ_OPTIONS},
    {"TRACE", EVHTTP_REQ_TRACE},
}};

/// The libevent command of a method, or nothing if libevent cannot send it.
std::optional<evhttp_cmd_type> commandOf(const std::string &method)
{
    const auto *found = std::find_if(Methods.begin(), Methods.end(), [&method](const Method &known) { return known.name == method; });
    return found == Methods.end() ? std::nullopt : std::optional(found->command);
}

/// The value of `timeout` in a Keep-Alive header such as `timeout=5, max=100`, or nothing if it has none.
std::optional<Duration> keepAliveTimeout(const std::string &header)
{
    constexpr std::string_view Name = "timeout=";
    const std::size_t found = header.find(Name);
    if (found == std::string::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char *begin = header.data() + found + Name.size();
    const auto [end, error] = std::from_chars(begin, header.data() + header.size(), seconds);
    if (error != std::errc() || seconds < 0) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

bool isValidPath(const std::string &path)
{
    const auto isPrintable = [](unsigned char letter) { return letter > ' ' && letter < 0x7f; };
    return !path.empty() && path.front() == '/' && std::all_of(path.begin(), path.end(), isPrintable);
}

std::string drain(evbuffer *buffer)
{
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, text.data(), text.size());
    return text;
}

/// Adds the text without copying it; the buffer shares it until it is sent.
void addShared(evbuffer *buffer, const SharedText &text)
{
    if (text.empty()) {
        return;
    }
    auto owner = std::make_unique<SharedText>(text);
    const auto release = [](const void *, std::size_t, void *context) { delete static_cast<SharedText *>(context); };
    if (evbuffer_add_reference(buffer, text.data(), text.size(), release, owner.get()) != 0) {
        throw std::bad_alloc();
    }
    // The buffer deletes it.
    static_cast<void>(owner.release());
}

const char *describe(evhttp_request_error error)
{
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return "the connection timed out";
    case EVREQ_HTTP_EOF:
        return "the connection closed before the whole response";
    case EVREQ_HTTP_INVALID_HEADER:
        return "the response is malformed";
    case EVREQ_HTTP_BUFFER_ERROR:
        return "the connection failed";
    case EVREQ_HTTP_REQUEST_CANCEL:
        return "the request was cancelled";
    case EVREQ_HTTP_DATA_TOO_LONG:
        return "the response is over the limit";
    }
    return "the connection failed";
}

} // namespace

ClientConnection::ClientConnection(EventLoop &loop, const Address &address, std::shared_ptr<MemoryBudget> memory, Events events)
    : loop_(loop)
    , address_(address)
    , memory_(std::move(memory))
    , received_(*memory_)
    , events_(std::move(events))
    , stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    , connection_(evhttp_connection_base_bufferevent_new(loop.base(), nullptr, stream_, address.host.c_str(), address.port))
    , head_(ResponseHeaderBytes)
{
    if (connection_ == nullptr) {
        throw std::bad_alloc();
    }
    evhttp_connection_set_timeout_tv(connection_, &LibraryTimeout);
    evhttp_connection_set_max_headers_size(connection_, ResponseHeaderBytes);
    // EVHTTP_CON_READ_ON_WRITE_ERROR is not set, because with it libevent 2.1.12 never reports a truncated response.
    evhttp_connection_set_closecb(connection_, &ClientConnection::onClose, this);
    evbuffer_add_cb(bufferevent_get_output(stream_), &ClientConnection::onOutput, this);
    evbuffer_add_cb(bufferevent_get_input(stream_), &ClientConnection::onInput, this);
}

ClientConnection::~ClientConnection()
{
    release();
}

class ClientConnection::CallbackScope
{
public:
    explicit CallbackScope(ClientConnection &connection)
        : connection_(connection)
    {
        ++connection_.runningCallbacks_;
    }
    ~CallbackScope()
    {
        --connection_.runningCallbacks_;
    }
    CallbackScope(const CallbackScope &) = delete;
    CallbackScope &operator=(const CallbackScope &) = delete;

private:
    ClientConnection &connection_;
};

void ClientConnection::release()
{
    if (connection_ != nullptr) {
        evhttp_connection_set_closecb(connection_, nullptr, nullptr);
        evhttp_connection_free(std::exchange(connection_, nullptr));
        stream_ = nullptr;
    }
}

tl::expected<void, Failure> ClientConnection::start(const HttpCall &call, std::size_t bodyLimit)
{
    call_ = &call;
    written_ = false;
    error_ = EVREQ_HTTP_EOF;
    errorBody_.clear();
    head_.reset();
    received_.set(0);
    readingHead_ = true;
    evhttp_request *request = makeRequest();
    if (request == nullptr) {
        return notRun(Errc::BadRequest, "the method, the path or a header is not one that HTTP allows");
    }
    evhttp_connection_set_max_body_size(connection_, static_cast<ev_ssize_t>(bodyLimit));
    // libevent does not limit the line with the size of a chunk. Reading stops at this many unparsed bytes, and the call times out.
    bufferevent_setwatermark(stream_, EV_READ, 0, bodyLimit + ResponseHeaderBytes);
    starting_ = true;
    const int made = evhttp_make_request(connection_, request, *commandOf(call_->request.method), call_->request.path.c_str());
    starting_ = false;
    if (made != 0 || closed_) {
        closed_ = true;
        return notRun(Errc::Unavailable, "cannot connect to " + address_.toString());
    }
    disableNagle(bufferevent_getfd(stream_));
    return {};
}

evhttp_request *ClientConnection::makeRequest()
{
    const HttpRequest &wanted = call_->request;
    if (!isValidPath(wanted.path) || !commandOf(wanted.method)) {
        return nullptr;
    }
    evhttp_request *request = evhttp_request_new(&ClientConnection::onResponse, this);
    evhttp_request_set_error_cb(request, &ClientConnection::onError);
    if (wanted.onBodyChunk) {
        evhttp_request_set_chunked_cb(request, &ClientConnection::onBodyChunk);
    }
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    bool valid = true;
    if (wanted.headers.count("host") == 0) {
        valid = evhttp_add_header(headers, "Host", address_.toString().c_str()) == 0;
    }
    if (!wanted.body.empty()) {
        valid = valid && evhttp_add_header(headers, "Content-Length", std::to_string(wanted.body.size()).c_str()) == 0;
    }
    for (const auto &[name, value] : wanted.headers) {
        valid = valid && evhttp_add_header(headers, name.c_str(), value.c_str()) == 0;
    }
    if (!valid) {
        evhttp_request_free(request);
        return nullptr;
    }
    addShared(evhttp_request_get_output_buffer(request), wanted.body);
    return request;
}

void ClientConnection::abandon()
{
    call_ = nullptr;
    closed_ = true;
    received_.set(0);
    if (connection_ == nullptr) {
        return;
    }
    // With an ordinary close the kernel would go on sending what the server has not acknowledged.
    const linger abortive{1, 0};
    setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
    if (runningCallbacks_ == 0) {
        release();
    }
}

void ClientConnection::markClosed()
{
    closed_ = true;
}

bool ClientConnection::hasPendingInput() const
{
    char byte = 0;
    const ssize_t length = recv(bufferevent_getfd(stream_), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return length >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void ClientConnection::onOutput(evbuffer *, const evbuffer_cb_info *info, void *context)
{
    auto *self = static_cast<ClientConnection *>(context);
    // Draining an unsent buffer when the connection is abandoned also counts as written, which is the safe assumption.
    if (info->n_deleted > 0) {
        self->written_ = true;
    }
}

void ClientConnection::onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *context)
{
    auto *self = static_cast<ClientConnection *>(context);
    if (info->n_added > 0 && self->isBusy()) {
        self->loop_.boundary().run("response memory", [&] { self->takeReceived(info->n_added); });
    }
    // What arrives on an idle connection is left to libevent, which then closes it.
    if (info->n_added > 0 && self->isBusy() && self->readingHead_ && !self->loop_.boundary().run("response head", [&] { self->readHead(buffer); })) {
        self->readingHead_ = false;
        evbuffer_drain(buffer, evbuffer_get_length(buffer));
        evbuffer_add(buffer, NoHead.data(), NoHead.size());
    }
}

void ClientConnection::takeReceived(std::size_t bytes)
{
    if (!memory_->admitsArrival(received_.bytes(), bytes)) {
        memory_->noteDropped();
        // libevent compares with the limit when it next reads, and fails the call.
        evhttp_connection_set_max_body_size(connection_, 0);
    }
    received_.set(received_.bytes() + bytes);
}

/// libevent accepts much that is no head. It therefore gets nothing before the head is complete, and then only what it needs
/// to read the body.
void ClientConnection::readHead(evbuffer *buffer)
{
    const std::string bytes = drain(buffer);
    std::string_view rest = bytes;
    const ResponseHeadReader::Status status = head_.read(rest);
    if (status == ResponseHeadReader::Status::Incomplete) {
        return;
    }
    readingHead_ = false;
    if (status == ResponseHeadReader::Status::Malformed) {
        evbuffer_add(buffer, NoHead.data(), NoHead.size());
        return;
    }
    const std::string &framing = head_.head().framing;
    evbuffer_add(buffer, framing.data(), framing.size());
    evbuffer_add(buffer, rest.data(), rest.size());
}

void ClientConnection::onResponse(evhttp_request *request, void *context)
{
    auto *self = static_cast<ClientConnection *>(context);
    const CallbackScope scope(*self);
    if (self->starting_) {
        // The connect failed at once; `start` reports it.
        self->closed_ = true;
        return;
    }
    if (self->isBusy() && !self->loop_.boundary().run("response", [self, request] { self->handleResponse(request); })) {
        self->failCall();
    }
}

void ClientConnection::handleResponse(evhttp_request *request)
{
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        closed_ = true;
        finish(tl::make_unexpected(connectionFailure()));
        return;
    }
    // Bytes after the response belong to no request and must not be read as the response to the next one.
    const bool extraBytes = evbuffer_get_length(bufferevent_get_input(stream_)) > 0;
    // The response arrived before the whole request was sent. The server must not read the rest as the next request.
    const bool unsent = evbuffer_get_length(bufferevent_get_output(stream_)) > 0;
    if (extraBytes || unsent) {
        closed_ = true;
    }
    HttpResponse response = readResponse(request);
    if (call_->request.isReplyToRequest && !call_->request.isReplyToRequest(response)) {
        closed_ = true;
        finish(mayHaveRun(Errc::ConnectionLost, "the response answers another request, " + address_.toString()));
        return;
    }
    finish(std::move(response));
}

void ClientConnection::onBodyChunk(evhttp_request *request, void *context)
{
    auto *self = static_cast<ClientConnection *>(context);
    const CallbackScope scope(*self);
    if (!self->loop_.boundary().run("response body", [self, request] { self->handleBodyChunk(request); })) {
        self->failCall();
    }
}

void ClientConnection::handleBodyChunk(evhttp_request *request)
{
    std::string chunk = drain(evhttp_request_get_input_buffer(request));
    if (!isBusy()) {
        return;
    }
    // The body limit applies to each chunk, because a watch runs for hours.
    request->body_size = 0;
    if (evhttp_request_get_response_code(request) != OkStatus) {
        errorBody_ += chunk;
        return;
    }
    received_.set(0);
    const auto onBodyChunk = call_->request.onBodyChunk;
    onBodyChunk(chunk);
}

void ClientConnection::failCall()
{
    closed_ = true;
    if (isBusy()) {
        loop_.boundary().run("response", [this] { finish(mayHaveRun(Errc::Internal, "an internal error ended the call, " + address_.toString())); });
    }
}

void ClientConnection::onError(evhttp_request_error error, void *context)
{
    static_cast<ClientConnection *>(context)->error_ = error;
}

void ClientConnection::onClose(evhttp_connection *, void *context)
{
    auto *self = static_cast<ClientConnection *>(context);
    const CallbackScope scope(*self);
    self->closed_ = true;
    if (!self->isBusy()) {
        self->loop_.boundary().run("close", self->events_.onIdleClose);
    }
}

HttpResponse ClientConnection::readResponse(evhttp_request *request)
{
    HttpResponse response;
    response.status = head_.head().status;
    response.headers = head_.head().headers;
    response.repeatedHeaders = head_.head().repeatedHeaders;
    updateKeepAlive(response);
    std::string body = std::move(errorBody_);
    errorBody_.clear();
    body += drain(evhttp_request_get_input_buffer(request));
    // What arrived is held by the response from here on.
    received_.set(0);
    response.body = heldIn(memory_, std::move(body));
    return response;
}

void ClientConnection::updateKeepAlive(const HttpResponse &response)
{
    const auto header = response.headers.find("keep-alive");
    const auto timeout = header == response.headers.end() ? std::nullopt : keepAliveTimeout(header->second);
    usableUntil_ = timeout ? std::optional(loop_.now() + *timeout * KeepAliveUsePercent / 100) : std::nullopt;
}

bool ClientConnection::isKeepAliveExpired() const
{
    return usableUntil_ && loop_.now() >= *usableUntil_;
}

Failure ClientConnection::connectionFailure() const
{
    const std::string what = std::string(describe(error_)) + ", " + address_.toString();
    return written_ ? mayHaveRun(Errc::ConnectionLost, what).value() : notRun(Errc::Unavailable, "nothing was sent: " + what).value();
}

void ClientConnection::finish(Result<HttpResponse> result)
{
    received_.set(0);
    events_.onDone(std::exchange(call_, nullptr)->id, std::move(result));
}

} // namespace Burdock
