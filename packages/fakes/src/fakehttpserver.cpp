#include <burdock/fakes/fakehttpserver.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <evhtp/evhtp.h>
#include <map>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <utility>

namespace Burdock
{

namespace
{

constexpr int Backlog = 1024;
constexpr std::uint32_t DefaultConnections = 10000;
constexpr std::size_t SplitPieces = 8;
/// Delay between the packets of a split response.
constexpr Duration SplitPause = std::chrono::milliseconds(2);
/// Interval at which a connection to be closed is checked for unsent bytes.
constexpr Duration FlushPoll = std::chrono::milliseconds(1);

/// Converts a callback to the single function type under which evhtp stores hooks.
template<class F>
evhtp_hook asHook(F *function)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

std::string rawAnswer(const HttpServerResponse &answer)
{
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " Fake\r\n";
    for (const auto &header : answer.headers) {
        text += header.first + ": " + header.second + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

const char *methodName(htp_method method)
{
    switch (method) {
    case htp_method_GET:
        return "GET";
    case htp_method_POST:
        return "POST";
    case htp_method_PUT:
        return "PUT";
    case htp_method_DELETE:
        return "DELETE";
    default:
        return "OTHER";
    }
}

int collect(evhtp_kv_t *pair, void *target)
{
    auto &headers = *static_cast<std::map<std::string, std::string> *>(target);
    headers[lowerCase(std::string(pair->key, pair->klen))] = std::string(pair->val == nullptr ? "" : pair->val, pair->vlen);
    return 0;
}

int collectQuery(evhtp_kv_t *pair, void *target)
{
    auto &query = *static_cast<std::map<std::string, std::string> *>(target);
    query[std::string(pair->key, pair->klen)] = std::string(pair->val == nullptr ? "" : pair->val, pair->vlen);
    return 0;
}

HttpServerRequest requestOf(evhtp_request_t *request)
{
    HttpServerRequest result;
    result.method = methodName(request->method);
    result.path = request->uri->path->full;
    result.target = result.path;
    if (request->uri->query_raw != nullptr) {
        result.target.append("?").append(reinterpret_cast<const char *>(request->uri->query_raw));
    }
    if (request->uri->query != nullptr) {
        evhtp_kvs_for_each(request->uri->query, &collectQuery, &result.query);
    }
    evhtp_kvs_for_each(request->headers_in, &collect, &result.headers);
    std::string body(evbuffer_get_length(request->buffer_in), '\0');
    evbuffer_copyout(request->buffer_in, body.data(), body.size());
    result.body = std::move(body);
    return result;
}

std::string clientOf(const evhtp_connection_t *connection)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    const auto *const any = connection->saddr;
    const void *const ip = any->sa_family == AF_INET6 ? static_cast<const void *>(&reinterpret_cast<const sockaddr_in6 *>(any)->sin6_addr)
                                                      : &reinterpret_cast<const sockaddr_in *>(any)->sin_addr;
    inet_ntop(any->sa_family, ip, text.data(), text.size());
    return text.data();
}

/// Makes closing a socket reset its connection.
void resetOnClose(evutil_socket_t socket)
{
    const linger abort{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
}

/// Responds to an evhtp request; drops its pointer to the request when evhtp frees it.
class EvhtpResponder final : public FakeResponder, public std::enable_shared_from_this<EvhtpResponder>
{
public:
    EvhtpResponder(Runtime &runtime, evhtp_request_t *request, bool first)
        : runtime_(runtime)
        , request_(request)
        , first_(first)
    {
    }

    /// Keeps this object alive until evhtp frees the request.
    void attach()
    {
        auto *const self = new std::shared_ptr<EvhtpResponder>(shared_from_this());
        evhtp_request_set_hook(request_, evhtp_hook_on_request_fini, asHook(&EvhtpResponder::freed), self);
    }

    void respond(HttpServerResponse answer, Delivery delivery) override
    {
        if (request_ == nullptr || answered_) {
            return;
        }
        answered_ = true;
        switch (delivery) {
        case Delivery::Whole:
            return sendWhole(answer);
        case Delivery::Dropped:
            return closeWhenSent();
        case Delivery::Truncated: {
            const std::string text = rawAnswer(answer);
            return sendAndClose(text.substr(0, text.size() - std::max<std::size_t>(1, answer.body.size() / 2)));
        }
        case Delivery::Split:
            return sendSplit(rawAnswer(answer), 0);
        case Delivery::Doubled:
            return sendRaw(rawAnswer(answer) + rawAnswer(answer));
        }
    }

    void sendStray(const HttpServerResponse &stray) override
    {
        if (request_ != nullptr && !answered_) {
            write(rawAnswer(stray));
        }
    }

    void sendChunk(const std::string &piece) override
    {
        if (request_ == nullptr || (answered_ && !chunked_)) {
            return;
        }
        if (!chunked_) {
            chunked_ = answered_ = true;
            evhtp_send_reply_chunk_start(request_, EVHTP_RES_OK);
        }
        evbuffer *const buffer = evbuffer_new();
        evbuffer_add(buffer, piece.data(), piece.size());
        evhtp_send_reply_chunk(request_, buffer);
        evbuffer_free(buffer);
    }

    void finish() override
    {
        if (request_ != nullptr && chunked_) {
            evhtp_send_reply_chunk_end(request_);
        }
    }

    void setDisconnectHandler(std::function<void()> onDisconnect) override
    {
        onDisconnect_ = std::move(onDisconnect);
    }

    bool isFirstOfConnection() const override
    {
        return first_;
    }

private:
    static evhtp_res freed(evhtp_request_t *, void *argument)
    {
        auto *const self = static_cast<std::shared_ptr<EvhtpResponder> *>(argument);
        (*self)->request_ = nullptr;
        if ((!(*self)->answered_ || (*self)->chunked_) && (*self)->onDisconnect_) {
            (*self)->onDisconnect_();
        }
        delete self;
        return EVHTP_RES_OK;
    }

    void sendWhole(const HttpServerResponse &answer)
    {
        for (const auto &header : answer.headers) {
            evhtp_headers_add_header(request_->headers_out, evhtp_header_new(header.first.c_str(), header.second.c_str(), 1, 1));
        }
        evbuffer_add(request_->buffer_out, answer.body.data(), answer.body.size());
        evhtp_send_reply(request_, static_cast<evhtp_res>(answer.status));
    }

    void write(const std::string &text)
    {
        bufferevent_write(request_->conn->bev, text.data(), text.size());
    }

    void sendRaw(const std::string &text)
    {
        write(text);
        evhtp_send_reply_end(request_);
    }

    void sendAndClose(const std::string &text)
    {
        write(text);
        closeWhenSent();
    }

    void closeWhenSent()
    {
        runtime_.schedule(FlushPoll, [self = shared_from_this()] {
            if (self->request_ == nullptr) {
                return;
            }
            evhtp_connection_t *const connection = self->request_->conn;
            if (evbuffer_get_length(bufferevent_get_output(connection->bev)) > 0) {
                return self->closeWhenSent();
            }
            evhtp_connection_free(connection);
        });
    }

    void sendSplit(std::string text, std::size_t sent)
    {
        if (request_ == nullptr) {
            return;
        }
        const std::size_t piece = std::max<std::size_t>(1, text.size() / SplitPieces);
        if (text.size() - sent <= piece) {
            return sendRaw(text.substr(sent));
        }
        write(text.substr(sent, piece));
        runtime_.schedule(SplitPause,
                          [self = shared_from_this(), text = std::move(text), sent = sent + piece]() mutable { self->sendSplit(std::move(text), sent); });
    }

    Runtime &runtime_;
    evhtp_request_t *request_;
    bool first_;
    bool answered_ = false;
    bool chunked_ = false;
    std::function<void()> onDisconnect_;
};

} // namespace

class FakeHttpServer::Private
{
public:
    Private(Runtime &runtime, event_base *base, FakeHandler handler)
        : runtime_(runtime)
        , handler_(std::move(handler))
        , http_(evhtp_new(base, nullptr))
    {
        evhtp_set_gencb(http_, &Private::onRequest, this);
        evhtp_set_pre_accept_cb(http_, &Private::onPreAccept, this);
        evhtp_set_post_accept_cb(http_, &Private::onAccept, this);
        evhtp_enable_flag(http_, EVHTP_FLAG_ENABLE_NODELAY);
    }

    ~Private()
    {
        unbind();
        cut();
        evhtp_free(http_);
    }

    Result<Address> bind(const Address &address)
    {
        const bool v6 = address.host.find(':') != std::string::npos;
        const std::string host = (v6 ? "ipv6:" : "") + address.host;
        if (evhtp_bind_socket(http_, host.c_str(), address.port, Backlog) != 0) {
            return notRun(Errc::Unavailable, "cannot listen on " + address.toString());
        }
        address_ = address;
        address_.port = boundPort();
        return address_;
    }

    void unbind()
    {
        if (http_->server != nullptr) {
            evhtp_unbind_socket(http_);
        }
    }

    void cut()
    {
        const auto open = connections_;
        for (evhtp_connection_t *connection : open) {
            evhtp_connection_free(connection);
        }
    }

    void setLinkCuts(const std::map<std::string, LinkCut> &cuts)
    {
        const auto earlier = std::exchange(cuts_, cuts);
        const auto open = connections_;
        for (evhtp_connection_t *connection : open) {
            const auto before = earlier.find(clientOf(connection));
            const LinkCut cut = cutOf(connection);
            // Enabling a stream that was not disabled would call back for the end of a response, and libevhtp would close the connection.
            const bool wasDisabled = before != earlier.end() && (before->second == LinkCut::Hang || before->second == LinkCut::OneWay);
            if (wasDisabled && before->second != cut && lost_.count(connection) == 0) {
                bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
            }
            apply(cut, connection);
        }
    }

    Address address_;
    std::uint32_t limit_ = DefaultConnections;
    std::uint64_t refused_ = 0;
    std::uint32_t peakConnections_ = 0;
    std::set<evhtp_connection_t *> connections_;

private:
    std::uint16_t boundPort() const
    {
        sockaddr_storage storage{};
        socklen_t size = sizeof(storage);
        getsockname(evconnlistener_get_fd(http_->server), reinterpret_cast<sockaddr *>(&storage), &size);
        return storage.ss_family == AF_INET6 ? ntohs(reinterpret_cast<sockaddr_in6 *>(&storage)->sin6_port)
                                             : ntohs(reinterpret_cast<sockaddr_in *>(&storage)->sin_port);
    }

    LinkCut cutOf(const evhtp_connection_t *connection) const
    {
        const auto found = cuts_.empty() ? cuts_.end() : cuts_.find(clientOf(connection));
        return found == cuts_.end() ? LinkCut::None : found->second;
    }

    void apply(LinkCut cut, evhtp_connection_t *connection)
    {
        switch (cut) {
        case LinkCut::Hang:
            bufferevent_disable(connection->bev, EV_READ | EV_WRITE);
            break;
        case LinkCut::Lose:
            lost_.insert(connection);
            bufferevent_disable(connection->bev, EV_WRITE);
            bufferevent_setcb(connection->bev, &Private::onLostBytes, nullptr, &Private::onLostEvent, connection);
            break;
        case LinkCut::OneWay:
            bufferevent_disable(connection->bev, EV_WRITE);
            break;
        case LinkCut::Reset:
            resetOnClose(connection->sock);
            evhtp_connection_free(connection);
            break;
        case LinkCut::RefuseNew:
        case LinkCut::None:
            break;
        }
    }

    static void onLostBytes(bufferevent *stream, void *)
    {
        evbuffer *const input = bufferevent_get_input(stream);
        evbuffer_drain(input, evbuffer_get_length(input));
    }

    static void onLostEvent(bufferevent *, short, void *connection)
    {
        evhtp_connection_free(static_cast<evhtp_connection_t *>(connection));
    }

    static evhtp_res onPreAccept(evhtp_connection_t *connection, void *argument)
    {
        auto *const self = static_cast<Private *>(argument);
        const LinkCut cut = self->cutOf(connection);
        if (cut == LinkCut::Reset || cut == LinkCut::RefuseNew) {
            resetOnClose(connection->sock);
            return EVHTP_RES_ERROR;
        }
        if (self->connections_.size() >= self->limit_) {
            ++self->refused_;
            return EVHTP_RES_ERROR;
        }
        return EVHTP_RES_OK;
    }

    static evhtp_res onAccept(evhtp_connection_t *connection, void *argument)
    {
        auto *const self = static_cast<Private *>(argument);
        self->connections_.insert(connection);
        self->peakConnections_ = std::max(self->peakConnections_, static_cast<std::uint32_t>(self->connections_.size()));
        evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini, asHook(&Private::onClosed), self);
        self->apply(self->cutOf(connection), connection);
        return EVHTP_RES_OK;
    }

    static evhtp_res onClosed(evhtp_connection_t *connection, void *argument)
    {
        auto *const self = static_cast<Private *>(argument);
        self->connections_.erase(connection);
        self->lost_.erase(connection);
        return EVHTP_RES_OK;
    }

    static void onRequest(evhtp_request_t *request, void *argument)
    {
        auto *const self = static_cast<Private *>(argument);
        const bool first = request->conn->num_requests <= 1;
        const auto responder = std::make_shared<EvhtpResponder>(self->runtime_, request, first);
        responder->attach();
        self->handler_(requestOf(request), responder);
    }

    Runtime &runtime_;
    FakeHandler handler_;
    evhtp_t *http_;
    std::map<std::string, LinkCut> cuts_;
    /// Connections whose requests were lost, which never answer again.
    std::set<evhtp_connection_t *> lost_;
};

FakeHttpServer::FakeHttpServer(Runtime &runtime, event_base *base, FakeHandler handler)
    : d_(std::make_unique<Private>(runtime, base, std::move(handler)))
{
}

FakeHttpServer::~FakeHttpServer() = default;

Result<Address> FakeHttpServer::listen(const Address &address)
{
    return d_->bind(address);
}

void FakeHttpServer::refuseConnections()
{
    d_->unbind();
    d_->cut();
}

void FakeHttpServer::acceptConnections()
{
    d_->bind(d_->address_);
}

void FakeHttpServer::setConnectionLimit(std::uint32_t connections)
{
    d_->limit_ = connections;
}

void FakeHttpServer::setLinkCuts(const std::map<std::string, LinkCut> &cuts)
{
    d_->setLinkCuts(cuts);
}

std::uint32_t FakeHttpServer::openConnections() const
{
    return static_cast<std::uint32_t>(d_->connections_.size());
}

std::uint32_t FakeHttpServer::peakConnections() const
{
    return d_->peakConnections_;
}

std::uint64_t FakeHttpServer::refusedConnections() const
{
    return d_->refused_;
}

const Address &FakeHttpServer::address() const
{
    return d_->address_;
}

} // namespace Burdock
