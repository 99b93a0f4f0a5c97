#include "internal/serverconnection.h"

#include "internal/httptext.h"
#include "internal/lingeringclose.h"
#include "internal/sockets.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace Burdock
{

namespace
{

constexpr int OkStatus = 200;
constexpr int BadRequestStatus = 400;
constexpr int TooLargeStatus = 413;
constexpr int InternalErrorStatus = 500;
constexpr int UnavailableStatus = 503;

/// Pipelined requests are not parsed while this many bytes of responses are unsent.
constexpr std::size_t MaxBacklogBytes = 1048576;

/// Unparsed input is read up to this multiple of the limit of a header, so that a header over the limit is noticed.
constexpr std::size_t InputHeaders = 2;
/// Long responses are written in pieces: a piece is freed only when all of it was sent, and pieces of the size in which responses arrive
/// take the blocks that those leave.
constexpr std::size_t PieceBytes = 16384;
/// From the refusing level on, a connection is not read any further once it holds more than this, and at the exhausted level in any case.
constexpr std::size_t MinPausedBytes = 16384;
/// Responses up to this size are sent also if there is no room.
constexpr std::size_t MinDroppedBytes = 16384;
/// The receive buffer of a paused connection and of one that is read again. The kernel doubles both for its own overhead.
constexpr int PausedReceiveBytes = 8192;
constexpr int ResumedReceiveBytes = 16384;

constexpr const char *ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr const char *LastChunk = "0\r\n\r\n";

std::string chunkHead(std::size_t length)
{
    std::array<char, 2 * sizeof(length) + 3> text{};
    std::snprintf(text.data(), text.size(), "%zx\r\n", length);
    return text.data();
}

} // namespace

ServerContext::ServerContext(EventLoop &eventLoop, const HttpServerLimits &serverLimits, std::shared_ptr<MemoryBudget> memoryBudget)
    : loop(eventLoop)
    , limits(serverLimits)
    , memory(std::move(memoryBudget))
    , failureResponse{InternalErrorStatus, {}, errorBody(InternalErrorStatus)}
{
}

ServerContext::~ServerContext() = default;

bool ServerContext::closesAfterAnswers() const
{
    return closing || loop.now() < crowdedUntil;
}

ServerConnection::ServerConnection(ServerContext &context, int socket)
    : context_(context)
    , stream_(bufferevent_socket_new(context.loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
    , parser_(context.limits.headerBytes, context.limits.bodyBytes, [&context](std::size_t bytes) { return context.memory->admitsBody(bytes); })
    , stateSince_(context.loop.now())
    , lastWriteProgress_(stateSince_)
    , held_(*context.memory)
    , progress_(stateSince_)
{
    disableNagle(socket);
    bufferevent_setcb(stream_, &ServerConnection::onRead, &ServerConnection::onWritten, &ServerConnection::onEvent, this);
    bufferevent_setwatermark(stream_, EV_READ, 0, InputHeaders * context.limits.headerBytes);
    evbuffer_add_cb(bufferevent_get_output(stream_), &ServerConnection::onOutput, this);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
}

ServerConnection::~ServerConnection()
{
    onClientDisconnected();
    if (stream_ != nullptr) {
        bufferevent_free(stream_);
    }
}

void ServerConnection::setState(State state)
{
    state_ = state;
    stateSince_ = context_.loop.now();
}

template<class Action>
void ServerConnection::guard(const Action &action)
{
    ServerContext &context = context_;
    ExceptionBoundary &boundary = context.loop.boundary();
    if (!boundary.run("connection", action) && context.connections.count(this) > 0) {
        boundary.run("connection", [this] { close(); });
    }
}

void ServerConnection::onRead(bufferevent *, void *context)
{
    auto *self = static_cast<ServerConnection *>(context);
    self->guard([self] { self->handleInput(); });
}

void ServerConnection::handleInput()
{
    if (state_ == State::Closing) {
        discardInput();
        return;
    }
    progress_.onMoved(evbuffer_get_length(bufferevent_get_input(stream_)) - inputBytes_);
    if (!inHandler_) {
        parse();
    }
    inputBytes_ = evbuffer_get_length(bufferevent_get_input(stream_));
    updateHeld();
    const MemoryLevel level = context_.memory->level();
    const bool isLarge = held_.bytes() > MinPausedBytes || level == MemoryLevel::Exhausted;
    if (state_ == State::ReceivingRequest && level >= MemoryLevel::Refusing && isLarge) {
        context_.memory->notePaused();
        pauseReading(context_.loop.now());
    }
}

bool ServerConnection::canParse() const
{
    const std::size_t maxBacklog = context_.memory->level() == MemoryLevel::Calm ? MaxBacklogBytes : 1;
    const bool acceptsRequests = state_ == State::Idle || state_ == State::ReceivingRequest;
    return acceptsRequests && evbuffer_get_length(bufferevent_get_input(stream_)) > 0 && backlog() < maxBacklog;
}

void ServerConnection::parse()
{
    evbuffer *input = bufferevent_get_input(stream_);
    while (canParse()) {
        if (state_ == State::Idle) {
            setState(State::ReceivingRequest);
            progress_.restart(stateSince_);
        }
        const auto status = parser_.read(input);
        if (parser_.takeExpectContinue() && status == HttpRequestParser::Status::Incomplete) {
            write(ContinueResponse);
        }
        if (status == HttpRequestParser::Status::Incomplete) {
            return;
        }
        if (status == HttpRequestParser::Status::Refused) {
            refuse();
        } else if (status == HttpRequestParser::Status::Complete) {
            dispatchRequest();
        } else {
            sendError(status == HttpRequestParser::Status::TooLarge ? TooLargeStatus : BadRequestStatus);
        }
    }
}

void ServerConnection::dispatchRequest()
{
    HttpServerRequest request = parser_.takeRequest();
    if (request.body.empty() && !context_.limits.urgent && context_.memory->level() == MemoryLevel::Exhausted) {
        refuse();
        return;
    }
    requestBytes_ = headBytes(request.target, request.headers);
    request.body = heldIn(context_.memory, std::move(request.body));
    setState(State::HandlingRequest);
    ++context_.counters->requests;
    ++context_.inFlight;
    exchange_ = std::make_shared<HttpExchange>(*this, context_.counters);
    isHeadRequest_ = request.method == "HEAD";
    closeAfterAnswer_ = !parser_.keepAlive();
    inHandler_ = true;
    // The connection may be closed before the handler responds, so the handler shares ownership of the responder.
    context_.loop.boundary().runFor(
        exchange_, "request", [this, &request] { context_.handler(std::move(request), std::shared_ptr<HttpResponder>(exchange_)); });
    inHandler_ = false;
}

void ServerConnection::sendError(int status)
{
    ++(status == TooLargeStatus ? context_.counters->tooLarge : context_.counters->badRequests);
    sendLast(status, {});
}

void ServerConnection::refuse()
{
    context_.memory->noteRefused();
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(context_.memory->retryAfter());
    sendLast(UnavailableStatus, {{"Retry-After", std::to_string(seconds.count())}});
}

void ServerConnection::sendLast(int status, const std::map<std::string, std::string> &headers)
{
    const std::string body = errorBody(status);
    write(responseHead(status, headers, body.size(), true) + body);
    setState(State::Closing);
    discardInput();
}

bool ServerConnection::mustDrop(std::size_t bytes) const
{
    return bytes > MinDroppedBytes && !context_.memory->fits(bytes);
}

void ServerConnection::dropAnswer()
{
    context_.memory->noteDropped();
    ++context_.counters->droppedAnswers;
    closeAfterAnswer_ = true;
    onAnswerComplete();
    shutdown(bufferevent_getfd(stream_), SHUT_RDWR);
}

void ServerConnection::answer(const HttpServerResponse &answer)
{
    if (mustDrop(answer.body.size())) {
        dropAnswer();
        return;
    }
    closeAfterAnswer_ = closeAfterAnswer_ || context_.closesAfterAnswers();
    write(responseHead(answer.status, answer.headers, answer.body.size(), closeAfterAnswer_, answer.jsonByDefault));
    if (!isHeadRequest_) {
        write(answer.body);
    }
    onAnswerComplete();
}

void ServerConnection::sendChunk(const std::string &chunk)
{
    if (!std::exchange(chunked_, true)) {
        // For an HTTP/1.0 client the end of the connection marks the end of the response.
        closeAfterAnswer_ = closeAfterAnswer_ || context_.closesAfterAnswers() || !parser_.supportsChunked();
        const std::map<std::string, std::string> framing{{"Transfer-Encoding", "chunked"}};
        write(responseHead(OkStatus, parser_.supportsChunked() ? framing : std::map<std::string, std::string>(), {}, closeAfterAnswer_));
    }
    if (chunk.empty() || isHeadRequest_) {
        return;
    }
    write(parser_.supportsChunked() ? chunkHead(chunk.size()) + chunk + "\r\n" : chunk);
    updateHeld();
}

void ServerConnection::finish()
{
    sendChunk({});
    if (parser_.supportsChunked() && !isHeadRequest_) {
        write(LastChunk);
    }
    chunked_ = false;
    onAnswerComplete();
}

void ServerConnection::fail()
{
    if (chunked_) {
        // The end of the connection shows that the response is not complete.
        shutdown(bufferevent_getfd(stream_), SHUT_RDWR);
        return;
    }
    answer(context_.failureResponse);
}

void ServerConnection::onAnswerComplete()
{
    std::exchange(exchange_, nullptr)->complete();
    --context_.inFlight;
    requestBytes_ = 0;
    updateHeld();
    setState(closeAfterAnswer_ ? State::Closing : State::Idle);
    if (state_ == State::Closing) {
        discardInput();
    } else if (!inHandler_ && canParse()) {
        // Deferred, because the next request's handler must not run inside the call that sends this response.
        bufferevent_trigger(stream_, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
    }
}

void ServerConnection::write(const std::string &bytes)
{
    if (backlog() == 0) {
        lastWriteProgress_ = context_.loop.now();
        progress_.restart(lastWriteProgress_);
    }
    for (std::size_t at = 0; at < bytes.size(); at += PieceBytes) {
        bufferevent_write(stream_, bytes.data() + at, std::min(PieceBytes, bytes.size() - at));
    }
}

void ServerConnection::discardInput()
{
    evbuffer *input = bufferevent_get_input(stream_);
    evbuffer_drain(input, evbuffer_get_length(input));
    inputBytes_ = 0;
}

std::size_t ServerConnection::backlog() const
{
    return evbuffer_get_length(bufferevent_get_output(stream_));
}

void ServerConnection::onOutput(evbuffer *, const evbuffer_cb_info *info, void *context)
{
    auto *self = static_cast<ServerConnection *>(context);
    if (info->n_deleted > 0) {
        self->lastWriteProgress_ = self->context_.loop.now();
        self->progress_.onMoved(info->n_deleted);
    }
}

void ServerConnection::onWritten(bufferevent *, void *context)
{
    auto *self = static_cast<ServerConnection *>(context);
    self->guard([self] { self->handleWritten(); });
}

void ServerConnection::handleWritten()
{
    if (state_ == State::Closing) {
        closeLingering();
    } else if (!inHandler_) {
        parse();
        inputBytes_ = evbuffer_get_length(bufferevent_get_input(stream_));
        updateHeld();
    }
}

void ServerConnection::onEvent(bufferevent *, short events, void *context)
{
    auto *self = static_cast<ServerConnection *>(context);
    self->guard([self, events] { self->handleEvent(events); });
}

void ServerConnection::handleEvent(short events)
{
    const bool ended = (events & BEV_EVENT_EOF) != 0;
    // A client may shut down its sending side and still read the responses in transit.
    if (ended && state_ != State::HandlingRequest && backlog() > 0) {
        setState(State::Closing);
        return;
    }
    close();
}

void ServerConnection::closeIfOverdue(TimePoint now)
{
    const bool notReading = backlog() > 0 && now - lastWriteProgress_ > context_.limits.requestTime;
    const bool slow = state_ == State::ReceivingRequest && now - stateSince_ > context_.limits.requestTime;
    const bool idle = idleTime(now) > context_.limits.idleTime;
    if (notReading || slow) {
        ++context_.counters->timedOut;
    }
    if (notReading || slow || idle) {
        close();
    }
}

bool ServerConnection::closeIfIdle()
{
    char byte = 0;
    const bool arriving = recv(bufferevent_getfd(stream_), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    const bool idle = state_ == State::Idle && backlog() == 0 && !arriving;
    if (idle) {
        close();
    }
    return idle;
}

Duration ServerConnection::idleTime(TimePoint now) const
{
    return state_ == State::Idle && backlog() == 0 ? now - stateSince_ : Duration{0};
}

void ServerConnection::updateHeld()
{
    const std::size_t unread = paused_ ? std::size_t{2} * PausedReceiveBytes : 0;
    held_.set(evbuffer_get_length(bufferevent_get_input(stream_)) + backlog() + parser_.heldBytes() + requestBytes_ + unread);
}

MemoryUse ServerConnection::memoryUse(TimePoint now)
{
    updateHeld();
    MemoryUse use;
    use.bytes = held_.bytes();
    use.isReceiving = state_ == State::ReceivingRequest;
    use.remaining = use.isReceiving ? parser_.remainingBytes() : 0;
    use.since = stateSince_;
    use.progressAt = progress_.update(context_.memory->terms(), now);
    use.pausedAt = pausedAt_;
    use.isPaused = paused_;
    use.awaitsClient = use.isReceiving || backlog() > 0;
    int unread = 0;
    use.hasUnread = paused_ && ioctl(bufferevent_getfd(stream_), FIONREAD, &unread) == 0 && unread > 0;
    return use;
}

void ServerConnection::pauseReading(TimePoint now)
{
    paused_ = true;
    pausedAt_ = now;
    bufferevent_disable(stream_, EV_READ);
    setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_RCVBUF, &PausedReceiveBytes, sizeof(PausedReceiveBytes));
    updateHeld();
}

void ServerConnection::resumeReading()
{
    paused_ = false;
    setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_RCVBUF, &ResumedReceiveBytes, sizeof(ResumedReceiveBytes));
    progress_.restart(context_.loop.now());
    bufferevent_enable(stream_, EV_READ);
    updateHeld();
}

void ServerConnection::closeForMemory()
{
    // With an ordinary close the kernel would go on holding what the client does not read.
    const linger abortive{1, 0};
    setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
    close();
}

void ServerConnection::onClientDisconnected()
{
    if (exchange_) {
        --context_.inFlight;
        const auto exchange = std::exchange(exchange_, nullptr);
        context_.loop.boundary().runFor({}, "disconnect", [&exchange] { exchange->onClientDisconnected(); });
    }
}

void ServerConnection::closeLingering()
{
    evbuffer_remove_cb(bufferevent_get_output(stream_), &ServerConnection::onOutput, this);
    auto &all = context_.lingering;
    const auto key = std::make_shared<const LingeringClose *>(nullptr);
    auto lingering = std::make_unique<LingeringClose>(context_.loop, std::exchange(stream_, nullptr), [&all, key] { all.erase(*key); });
    *key = lingering.get();
    all.emplace(*key, std::move(lingering));
    close();
}

void ServerConnection::close()
{
    onClientDisconnected();
    context_.connections.erase(this);
}

} // namespace Burdock
