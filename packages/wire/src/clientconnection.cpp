#include "internal/clientconnection.h"

#include "internal/httptext.h"
#include "internal/sockets.h"

#include <algorithm>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <new>
#include <sys/socket.h>
#include <utility>

namespace Burdock
{

namespace
{

constexpr int OkStatus = 200;
constexpr ev_ssize_t ResponseHeaderBytes = 65536;

/// Calls have timers of their own; libevent's must not fire before them, also not on a watch that waits for hours.
constexpr timeval LibraryTimeout{31536000, 0};

evhttp_cmd_type commandOf(const std::string &method)
{
    return method == "POST" ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
}

bool wellFormedPath(const std::string &path)
{
    const auto printable = [](unsigned char letter) { return letter > ' ' && letter < 0x7f; };
    return !path.empty() && path.front() == '/' && std::all_of(path.begin(), path.end(), printable);
}

std::string takeAll(evbuffer *buffer)
{
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, text.data(), text.size());
    return text;
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

ClientConnection::ClientConnection(EventLoop &loop, const Address &address, Events events)
    : address_(address)
    , events_(std::move(events))
    , stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    , connection_(evhttp_connection_base_bufferevent_new(loop.base(), nullptr, stream_, address.host.c_str(), address.port))
{
    if (connection_ == nullptr) {
        throw std::bad_alloc();
    }
    evhttp_connection_set_timeout_tv(connection_, &LibraryTimeout);
    evhttp_connection_set_max_headers_size(connection_, ResponseHeaderBytes);
    // Without EVHTTP_CON_READ_ON_WRITE_ERROR: with it libevent 2.1.12 never reports a response that is cut off.
    evhttp_connection_set_closecb(connection_, &ClientConnection::onClose, this);
    evbuffer_add_cb(bufferevent_get_output(stream_), &ClientConnection::onOutput, this);
}

ClientConnection::~ClientConnection()
{
    evhttp_connection_set_closecb(connection_, nullptr, nullptr);
    evhttp_connection_free(connection_);
}

tl::expected<void, Failure> ClientConnection::start(const HttpCall &call, std::size_t bodyLimit)
{
    call_ = &call;
    written_ = false;
    error_ = EVREQ_HTTP_EOF;
    refusedPieces_.clear();
    evhttp_request *request = makeRequest();
    if (request == nullptr) {
        return notRun(Errc::BadRequest, "the path or a header holds characters that HTTP does not allow");
    }
    evhttp_connection_set_max_body_size(connection_, static_cast<ev_ssize_t>(bodyLimit));
    if (evhttp_make_request(connection_, request, commandOf(call_->request.method), call_->request.path.c_str()) != 0) {
        closed_ = true;
        return notRun(Errc::Unavailable, "cannot connect to " + address_.toString());
    }
    disableNagle(bufferevent_getfd(stream_));
    return {};
}

evhttp_request *ClientConnection::makeRequest()
{
    const HttpRequest &wanted = call_->request;
    if (!wellFormedPath(wanted.path)) {
        return nullptr;
    }
    evhttp_request *request = evhttp_request_new(&ClientConnection::onResponse, this);
    evhttp_request_set_error_cb(request, &ClientConnection::onError);
    if (wanted.onPiece) {
        evhttp_request_set_chunked_cb(request, &ClientConnection::onPiece);
    }
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    bool valid = evhttp_add_header(headers, "Host", address_.toString().c_str()) == 0;
    for (const auto &[name, value] : wanted.headers) {
        valid = valid && evhttp_add_header(headers, name.c_str(), value.c_str()) == 0;
    }
    if (!valid) {
        evhttp_request_free(request);
        return nullptr;
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), wanted.body.data(), wanted.body.size());
    return request;
}

void ClientConnection::abandon()
{
    call_ = nullptr;
    closed_ = true;
}

void ClientConnection::retire()
{
    closed_ = true;
}

bool ClientConnection::endedByPeer() const
{
    char byte = 0;
    const ssize_t length = recv(bufferevent_getfd(stream_), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return length >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void ClientConnection::onOutput(evbuffer *, const evbuffer_cb_info *info, void *context)
{
    auto *self = static_cast<ClientConnection *>(context);
    // A buffer that is drained unsent as the connection is given up counts as written too: the safe side.
    if (info->n_deleted > 0) {
        self->written_ = true;
    }
}

void ClientConnection::onResponse(evhttp_request *request, void *context)
{
    auto *self = static_cast<ClientConnection *>(context);
    if (!self->busy()) {
        return;
    }
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        self->closed_ = true;
        self->finish(tl::make_unexpected(self->brokenFailure()));
        return;
    }
    // Bytes after the response belong to no request: they must not become the answer to the next one.
    if (evbuffer_get_length(bufferevent_get_input(self->stream_)) > 0) {
        self->closed_ = true;
    }
    self->finish(self->readResponse(request));
}

void ClientConnection::onPiece(evhttp_request *request, void *context)
{
    auto *self = static_cast<ClientConnection *>(context);
    std::string piece = takeAll(evhttp_request_get_input_buffer(request));
    if (!self->busy()) {
        return;
    }
    // The limit holds for each piece: a watch runs for hours.
    request->body_size = 0;
    if (evhttp_request_get_response_code(request) != OkStatus) {
        self->refusedPieces_ += piece;
        return;
    }
    const auto onPiece = self->call_->request.onPiece;
    onPiece(piece);
}

void ClientConnection::onError(evhttp_request_error error, void *context)
{
    static_cast<ClientConnection *>(context)->error_ = error;
}

void ClientConnection::onClose(evhttp_connection *, void *context)
{
    auto *self = static_cast<ClientConnection *>(context);
    self->closed_ = true;
    if (!self->busy()) {
        self->events_.onIdleClose();
    }
}

HttpResponse ClientConnection::readResponse(evhttp_request *request)
{
    HttpResponse response;
    response.status = evhttp_request_get_response_code(request);
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
        response.headers.insert_or_assign(lowerCase(header->key), header->value);
    }
    response.body = std::move(refusedPieces_);
    refusedPieces_.clear();
    response.body += takeAll(evhttp_request_get_input_buffer(request));
    return response;
}

Failure ClientConnection::brokenFailure() const
{
    const std::string what = std::string(describe(error_)) + ", " + address_.toString();
    return written_ ? mayHaveRun(Errc::ConnectionLost, what).value() : notRun(Errc::Unavailable, "nothing was sent: " + what).value();
}

void ClientConnection::finish(Result<HttpResponse> result)
{
    events_.onDone(std::exchange(call_, nullptr)->id, std::move(result));
}

} // namespace Burdock
