#include "internal/serverconnection.h"

#include "internal/lingeringclose.h"
#include "internal/refusal.h"

#include <algorithm>
#include <cctype>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>
#include <utility>

namespace Burdock
{

namespace
{

constexpr int BadRequestStatus = 400;
constexpr int TooLargeStatus = 413;

/// The bytes of a header line beside its name and value: colon, space, line end.
constexpr std::size_t HeaderLineExtra = 4;

/// libevhtp takes hooks of every signature as one type.
template<class Function>
evhtp_hook hook(Function *function)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

std::string lowerCase(const char *text, std::size_t length)
{
    std::string lower(text, length);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return lower;
}

int addHeader(evhtp_header_t *header, void *context)
{
    auto *incoming = static_cast<HttpIncoming *>(context);
    incoming->headers.insert_or_assign(lowerCase(header->key, header->klen), std::string(header->val, header->vlen));
    return 0;
}

std::map<std::string, std::string> parseQuery(const char *text)
{
    std::map<std::string, std::string> query;
    evkeyvalq pairs{};
    if (evhttp_parse_query_str(text, &pairs) == 0) {
        for (const evkeyval *pair = pairs.tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
            query.emplace(pair->key, pair->value);
        }
        evhttp_clear_headers(&pairs);
    }
    return query;
}

std::string takeAll(evbuffer *buffer)
{
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, text.data(), text.size());
    return text;
}

HttpIncoming readRequest(evhtp_request_t *request)
{
    HttpIncoming incoming;
    incoming.method = htparser_get_methodstr_m(request->method);
    incoming.path = request->uri->path->full;
    if (request->uri->query_raw != nullptr) {
        incoming.query = parseQuery(reinterpret_cast<const char *>(request->uri->query_raw));
    }
    evhtp_headers_for_each(request->headers_in, &addHeader, &incoming);
    incoming.body = takeAll(request->buffer_in);
    return incoming;
}

} // namespace

ServerContext::ServerContext(EventLoop &eventLoop, const HttpServerLimits &serverLimits)
    : loop(eventLoop)
    , limits(serverLimits)
{
}

ServerContext::~ServerContext() = default;

ServerConnection::ServerConnection(ServerContext &context, evhtp_connection_t *connection)
    : context_(context)
    , connection_(connection)
    , since_(context.loop.now())
    , written_(since_)
{
    installHooks();
    evbuffer_add_cb(bufferevent_get_input(connection_->bev), &ServerConnection::onInput, this);
    evbuffer_add_cb(bufferevent_get_output(connection_->bev), &ServerConnection::onOutput, this);
    bufferevent_setwatermark(connection_->bev, EV_READ, 0, context_.limits.headerBytes + context_.limits.bodyBytes);
}

ServerConnection::~ServerConnection()
{
    context_.loop.cancel(turn_);
}

void ServerConnection::installHooks()
{
    const std::initializer_list<std::pair<evhtp_hook_type, evhtp_hook>> hooks{
        {evhtp_hook_on_event, hook(&ServerConnection::onEvent)},
        {evhtp_hook_on_header, hook(&ServerConnection::onHeader)},
        {evhtp_hook_on_headers, hook(&ServerConnection::onHeaders)},
        {evhtp_hook_on_read, hook(&ServerConnection::onBody)},
        {evhtp_hook_on_write, hook(&ServerConnection::onWritten)},
        {evhtp_hook_on_connection_fini, hook(&ServerConnection::onClosed)},
    };
    for (const auto &[type, function] : hooks) {
        evhtp_connection_set_hook(connection_, type, function, this);
    }
}

ServerConnection &ServerConnection::of(const evhtp_request_t *request)
{
    return *static_cast<ServerConnection *>(request->conn->hooks->on_connection_fini_arg);
}

void ServerConnection::enter(State state)
{
    state_ = state;
    since_ = context_.loop.now();
}

void ServerConnection::work(evhtp_request_t *request)
{
    enter(State::Working);
    ++context_.counters->requests;
    ++context_.inFlight;
    headerBytes_ = 0;
    bodyBytes_ = 0;
    request_ = request;
    exchange_ = std::make_shared<HttpExchange>(*this, context_.counters);
    context_.handler(readRequest(request), exchange_);
    if (request_ != nullptr) {
        paused_ = true;
        evhtp_request_pause(request_);
        nextTurn(&ServerConnection::watchClient);
    }
}

void ServerConnection::answer(HttpOutgoing answer)
{
    prepareHeaders(std::move(answer.headers));
    evbuffer_add(request_->buffer_out, answer.body.data(), answer.body.size());
    evhtp_send_reply(request_, static_cast<evhtp_res>(answer.status));
    answered();
}

void ServerConnection::sendChunk(const std::string &piece)
{
    if (!chunked_) {
        chunked_ = true;
        prepareHeaders({});
        evhtp_send_reply_chunk_start(request_, EVHTP_RES_OK);
    }
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, piece.data(), piece.size());
    evhtp_send_reply_chunk(request_, buffer);
    evbuffer_free(buffer);
}

void ServerConnection::finish()
{
    if (!chunked_) {
        sendChunk({});
    }
    evhtp_send_reply_chunk_end(request_);
    answered();
}

void ServerConnection::prepareHeaders(std::map<std::string, std::string> headers)
{
    headers.emplace("Content-Type", "application/json");
    for (const auto &[name, value] : headers) {
        evhtp_headers_add_header(request_->headers_out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
    }
    if (context_.closing) {
        evhtp_request_set_keepalive(request_, 0);
    }
    lastAnswer_ = (request_->flags & EVHTP_REQ_FLAG_KEEPALIVE) == 0;
}

void ServerConnection::answered()
{
    exchange_->complete();
    exchange_.reset();
    --context_.inFlight;
    chunked_ = false;
    written_ = context_.loop.now();
    enter(State::Idle);
    evhtp_request_t *request = std::exchange(request_, nullptr);
    if (paused_) {
        paused_ = false;
        context_.loop.cancel(std::exchange(turn_, 0));
        evhtp_request_resume(request);
    }
}

void ServerConnection::nextTurn(void (ServerConnection::*step)())
{
    context_.loop.cancel(turn_);
    turn_ = context_.loop.schedule(Duration{0}, [this, step] {
        turn_ = 0;
        (this->*step)();
    });
}

void ServerConnection::watchClient()
{
    if (paused_) {
        bufferevent_enable(connection_->bev, EV_READ);
    }
}

void ServerConnection::resume()
{
    evhtp_connection_resume(connection_);
}

void ServerConnection::close()
{
    evhtp_connection_free(connection_);
}

bool ServerConnection::outputEmpty() const
{
    return evbuffer_get_length(bufferevent_get_output(connection_->bev)) == 0;
}

void ServerConnection::closeIfOverdue(TimePoint now)
{
    const bool notReading = !outputEmpty() && now - written_ > context_.limits.requestTime;
    const bool slow = state_ == State::Receiving && now - since_ > context_.limits.requestTime;
    const bool idle = state_ == State::Idle && outputEmpty() && now - since_ > context_.limits.idleTime;
    if (notReading || slow) {
        ++context_.counters->timedOut;
    }
    if (notReading || slow || idle) {
        close();
    }
}

void ServerConnection::closeIfIdle()
{
    char byte = 0;
    const bool arriving = recv(bufferevent_getfd(connection_->bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    if (state_ == State::Idle && outputEmpty() && !arriving) {
        close();
    }
}

evhtp_res ServerConnection::onEvent(evhtp_connection_t *, short events, void *context)
{
    auto *self = static_cast<ServerConnection *>(context);
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0) {
        return EVHTP_RES_OK;
    }
    self->broken_ = true;
    if (self->paused_) {
        self->nextTurn(&ServerConnection::resume);
    }
    if (self->exchange_) {
        --self->context_.inFlight;
        self->request_ = nullptr;
        const auto exchange = std::exchange(self->exchange_, nullptr);
        exchange->clientGone();
    }
    return EVHTP_RES_OK;
}

evhtp_res ServerConnection::onHeader(evhtp_request_t *, evhtp_header_t *header, void *context)
{
    auto *self = static_cast<ServerConnection *>(context);
    self->headerBytes_ += header->klen + header->vlen + HeaderLineExtra;
    return self->headerBytes_ > self->context_.limits.headerBytes ? self->refuse(TooLargeStatus) : EVHTP_RES_OK;
}

evhtp_res ServerConnection::onHeaders(evhtp_request_t *request, evhtp_headers_t *, void *context)
{
    auto *self = static_cast<ServerConnection *>(context);
    return evhtp_request_content_len(request) > self->context_.limits.bodyBytes ? self->refuse(TooLargeStatus) : EVHTP_RES_OK;
}

evhtp_res ServerConnection::onBody(evhtp_request_t *, evbuffer *piece, void *context)
{
    auto *self = static_cast<ServerConnection *>(context);
    self->bodyBytes_ += evbuffer_get_length(piece);
    return self->bodyBytes_ > self->context_.limits.bodyBytes ? self->refuse(TooLargeStatus) : EVHTP_RES_OK;
}

evhtp_res ServerConnection::onWritten(evhtp_connection_t *, void *context)
{
    auto *self = static_cast<ServerConnection *>(context);
    if (self->lastAnswer_ && self->request_ == nullptr && self->outputEmpty()) {
        self->nextTurn(&ServerConnection::close);
    }
    return EVHTP_RES_OK;
}

evhtp_res ServerConnection::onClosed(evhtp_connection_t *, void *context)
{
    auto *self = static_cast<ServerConnection *>(context);
    if (self->exchange_) {
        --self->context_.inFlight;
        std::exchange(self->exchange_, nullptr)->clientGone();
    }
    self->handOver();
    self->context_.connections.erase(self);
    return EVHTP_RES_OK;
}

void ServerConnection::onInput(evbuffer *, const evbuffer_cb_info *info, void *context)
{
    auto *self = static_cast<ServerConnection *>(context);
    if (info->n_added > 0 && self->state_ == State::Idle) {
        self->enter(State::Receiving);
    }
}

void ServerConnection::onOutput(evbuffer *, const evbuffer_cb_info *info, void *context)
{
    auto *self = static_cast<ServerConnection *>(context);
    if (info->n_deleted > 0 || info->orig_size == 0) {
        self->written_ = self->context_.loop.now();
    }
}

evhtp_res ServerConnection::refuse(int status)
{
    refusal_ = status;
    return EVHTP_RES_ERROR;
}

void ServerConnection::handOver()
{
    const bool malformed = !broken_ && state_ == State::Receiving && htparser_get_error(connection_->parser) != htparse_error_none;
    if (refusal_ == 0 && malformed) {
        refusal_ = BadRequestStatus;
    }
    if (refusal_ == 0) {
        return;
    }
    ++(refusal_ == TooLargeStatus ? context_.counters->tooLarge : context_.counters->badRequests);
    bufferevent *stream = connection_->bev;
    evhtp_connection_set_bev(connection_, nullptr);
    auto &all = context_.lingering;
    auto key = std::make_shared<const LingeringClose *>(nullptr);
    auto lingering = std::make_unique<LingeringClose>(context_.loop, stream, refusalBytes(refusal_), [&all, key] { all.erase(*key); });
    *key = lingering.get();
    all.emplace(*key, std::move(lingering));
}

} // namespace Burdock
