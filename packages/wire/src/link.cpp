#include "internal/link.h"

#include "internal/sockets.h"
#include "internal/websocket.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/ioctl.h>
#include <utility>

namespace Burdock
{

namespace
{

constexpr const char *LinkPath = "/link";
constexpr std::size_t LowBacklogBytes = 65536;
/// The limit on a frame of a peer that has not said who it is.
constexpr std::size_t ShortFrameBytes = 4096;

} // namespace

class Link::Private
{
public:
    Private(WebSocketEndpoints &endpoints, bufferevent *stream, Address address)
        : endpoints_(endpoints)
        , stream_(stream)
        , address_(std::move(address))
    {
    }

    WebSocketEndpoints &endpoints_;
    bufferevent *stream_;
    /// The address to connect to. Port 0 on an accepted link.
    Address address_;
    WebSocketConnection::ptr connection_;
    bool closing_ = false;
    bool ended_ = false;

    bool isDialled() const
    {
        return address_.port != 0;
    }

    evbuffer *output() const
    {
        return bufferevent_get_output(stream_);
    }

    websocketpp::lib::error_code write(const std::vector<websocketpp::transport::buffer> &buffers) const
    {
        for (const auto &buffer : buffers) {
            evbuffer_add(output(), buffer.buf, buffer.len);
        }
        return {};
    }

    /// The reason why websocketpp ended the connection.
    LinkEndReason endReason() const
    {
        const auto error = connection_->get_ec();
        if (error == websocketpp::processor::error::make_error_code(websocketpp::processor::error::message_too_big)) {
            return LinkEndReason::Oversize;
        }
        if (error.category() == websocketpp::processor::error::get_processor_category()) {
            return LinkEndReason::Malformed;
        }
        return connection_->get_remote_close_code() == websocketpp::close::status::normal ? LinkEndReason::Redundant : LinkEndReason::Lost;
    }
};

Link::Link(EventLoop &loop, WebSocketEndpoints &endpoints, LinkOwner &owner, MemoryBudget &memory, const Address &address)
    : loop_(loop)
    , owner_(owner)
    , memory_(memory)
    , arrived_(memory)
    , progress_(loop.now())
    , d_(std::make_unique<Private>(endpoints, bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE), address))
    , lastActivity_(loop.now())
{
}

Link::Link(EventLoop &loop, WebSocketEndpoints &endpoints, LinkOwner &owner, MemoryBudget &memory, int socket)
    : loop_(loop)
    , owner_(owner)
    , memory_(memory)
    , arrived_(memory)
    , progress_(loop.now())
    , d_(std::make_unique<Private>(endpoints, bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE), Address{}))
    , lastActivity_(loop.now())
{
}

Link::~Link()
{
    if (d_->connection_) {
        d_->connection_->set_open_handler(nullptr);
        d_->connection_->set_close_handler(nullptr);
        d_->connection_->set_fail_handler(nullptr);
        d_->connection_->set_message_handler(nullptr);
        // A connection that waits for input holds a reference to itself, which eof() releases.
        d_->connection_->eof();
        d_->connection_->set_vector_write_handler(nullptr);
    }
    bufferevent_free(d_->stream_);
}

void Link::start()
{
    bufferevent_setcb(d_->stream_, &Link::onRead, &Link::onWritten, &Link::onEvent, this);
    bufferevent_setwatermark(d_->stream_, EV_WRITE, LowBacklogBytes, 0);
    bufferevent_enable(d_->stream_, EV_READ | EV_WRITE);
    if (!d_->isDialled()) {
        startWebSocket();
        return;
    }
    const auto socketAddress = Burdock::socketAddress(d_->address_);
    if (!socketAddress) {
        finish(LinkEndReason::Lost);
        return;
    }
    // libevent reports a failure at once only here, and not to onEvent.
    const int length = static_cast<int>(socketAddressLength(*socketAddress));
    if (bufferevent_socket_connect(d_->stream_, reinterpret_cast<const sockaddr *>(&*socketAddress), length) != 0) {
        finish(LinkEndReason::Lost);
    }
}

void Link::startWebSocket()
{
    prepareLinkSocket(bufferevent_getfd(d_->stream_));
    websocketpp::lib::error_code error;
    d_->connection_ =
        d_->isDialled() ? d_->endpoints_.client.get_connection("ws://" + d_->address_.toString() + LinkPath, error) : d_->endpoints_.server.get_connection();
    if (error || !d_->connection_) {
        finish(LinkEndReason::Lost);
        return;
    }
    WebSocketConnection &connection = *d_->connection_;
    connection.set_vector_write_handler([this](const auto &, const auto &buffers) { return d_->write(buffers); });
    connection.set_write_handler([this](const auto &, const char *bytes, std::size_t length) { return d_->write({{bytes, length}}); });
    connection.set_validate_handler([this](const auto &) { return d_->connection_->get_resource() == LinkPath; });
    connection.set_open_handler([this](const auto &) { owner_.onOpened(*this); });
    connection.set_fail_handler([this](const auto &) { finish(d_->endReason()); });
    connection.set_close_handler([this](const auto &) { finish(d_->endReason()); });
    connection.set_message_handler([this](const auto &, const auto &message) {
        if (message->get_opcode() != websocketpp::frame::opcode::binary) {
            finish(LinkEndReason::Malformed);
            return;
        }
        arrived_.set(0);
        owner_.onFrame(*this, message->get_payload());
    });
    connection.set_max_message_size(ShortFrameBytes);
    if (d_->isDialled()) {
        d_->endpoints_.client.connect(d_->connection_);
    } else {
        connection.start();
    }
}

void Link::send(const std::string &frame)
{
    lastActivity_ = loop_.now();
    d_->connection_->send(frame.data(), frame.size(), websocketpp::frame::opcode::binary);
}

std::size_t Link::backlog() const
{
    return evbuffer_get_length(d_->output());
}

void Link::closeAfterFlush(bool redundant)
{
    if (d_->closing_ || d_->ended_) {
        return;
    }
    d_->closing_ = true;
    if (d_->connection_ && d_->connection_->get_state() == websocketpp::session::state::open) {
        websocketpp::lib::error_code ignored;
        d_->connection_->close(redundant ? websocketpp::close::status::normal : websocketpp::close::status::going_away, {}, ignored);
    }
    bufferevent_disable(d_->stream_, EV_READ);
    bufferevent_setwatermark(d_->stream_, EV_WRITE, 0, 0);
    // An empty buffer produces no write event, so trigger one. If the buffer does not drain, the owner's timeout closes the link.
    if (backlog() == 0) {
        bufferevent_trigger(d_->stream_, EV_WRITE, BEV_TRIG_DEFER_CALLBACKS | BEV_TRIG_IGNORE_WATERMARKS);
    }
}

void Link::tryFlush()
{
    if (bufferevent_getfd(d_->stream_) >= 0) {
        evbuffer_write(d_->output(), bufferevent_getfd(d_->stream_));
    }
}

void Link::onRead(bufferevent *stream, void *context)
{
    auto *self = static_cast<Link *>(context);
    self->guard([self, stream] { self->read(bufferevent_get_input(stream)); });
}

void Link::read(evbuffer *input)
{
    lastActivity_ = loop_.now();
    while (!d_->ended_ && !d_->closing_ && evbuffer_get_length(input) > 0) {
        const std::size_t length = evbuffer_get_contiguous_space(input);
        if (!takeArrived(length)) {
            finish(LinkEndReason::Lost);
            return;
        }
        const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
        const std::size_t taken = d_->connection_->read_all(bytes, length);
        evbuffer_drain(input, length);
        if (taken < length) {
            finish(LinkEndReason::Malformed);
        }
    }
}

bool Link::takeArrived(std::size_t bytes)
{
    if (!memory_.admitsArrival(arrived_.bytes(), bytes)) {
        memory_.noteDropped();
        return false;
    }
    if (arrived_.bytes() == 0) {
        arrivingSince_ = lastActivity_;
        progress_.restart(lastActivity_);
    }
    progress_.onMoved(bytes);
    arrived_.set(arrived_.bytes() + bytes);
    return true;
}

void Link::allowLongFrames()
{
    d_->connection_->set_max_message_size(MaxFrameBytes);
}

MemoryUse Link::memoryUse(TimePoint now)
{
    MemoryUse use;
    use.bytes = arrived_.bytes();
    use.remaining = MaxFrameBytes - std::min(MaxFrameBytes, use.bytes);
    use.since = arrivingSince_;
    use.progressAt = progress_.update(memory_.terms(), now);
    use.pausedAt = pausedAt_;
    use.isPaused = paused_;
    use.isReceiving = true;
    use.awaitsClient = true;
    int unread = 0;
    use.hasUnread = paused_ && ioctl(bufferevent_getfd(d_->stream_), FIONREAD, &unread) == 0 && unread > 0;
    return use;
}

void Link::pauseReading(TimePoint now)
{
    paused_ = true;
    pausedAt_ = now;
    bufferevent_disable(d_->stream_, EV_READ);
}

void Link::resumeReading()
{
    paused_ = false;
    progress_.restart(loop_.now());
    if (!d_->ended_ && !d_->closing_) {
        bufferevent_enable(d_->stream_, EV_READ);
    }
}

void Link::closeForMemory()
{
    arrived_.set(0);
    finish(LinkEndReason::Lost);
}

void Link::onWritten(bufferevent *, void *context)
{
    auto *self = static_cast<Link *>(context);
    self->guard([self] {
        if (!self->d_->closing_) {
            self->owner_.onWritable(*self);
        } else if (self->backlog() == 0) {
            self->finish(LinkEndReason::Flushed);
        }
    });
}

void Link::onEvent(bufferevent *, short events, void *context)
{
    auto *self = static_cast<Link *>(context);
    self->guard([self, events] {
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            self->startWebSocket();
        } else if (self->d_->connection_) {
            self->d_->connection_->eof();
            self->finish(LinkEndReason::Lost);
        } else {
            self->finish(LinkEndReason::Lost);
        }
    });
}

void Link::guard(const std::function<void()> &action)
{
    ExceptionBoundary &boundary = loop_.boundary();
    if (!boundary.run("link", action)) {
        boundary.run("link", [this] { finish(LinkEndReason::Lost); });
    }
}

void Link::finish(LinkEndReason end)
{
    if (std::exchange(d_->ended_, true)) {
        return;
    }
    bufferevent_disable(d_->stream_, EV_READ | EV_WRITE);
    owner_.onEnded(*this, end);
}

} // namespace Burdock
