#include <burdock/fakes/fakehttpserver.h>

#include <algorithm>
#include <cctype>
#include <evhtp/evhtp.h>
#include <map>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>

namespace Burdock
{

namespace
{

constexpr int Backlog = 1024;
constexpr std::uint32_t DefaultConnections = 10000;
constexpr std::size_t SplitPieces = 8;
/// Between the packets of a split answer.
constexpr Duration SplitPause = std::chrono::milliseconds(2);
/// How often a broken answer's connection is looked at for unsent bytes before it is closed.
constexpr Duration FlushPoll = std::chrono::milliseconds(1);

/// evhtp's C callbacks are stored under one function type.
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

HttpServerRequest incomingOf(evhtp_request_t *request)
{
    HttpServerRequest incoming;
    incoming.method = methodName(request->method);
    incoming.path = request->uri->path->full;
    incoming.target = incoming.path;
    if (request->uri->query_raw != nullptr) {
        incoming.target.append("?").append(reinterpret_cast<const char *>(request->uri->query_raw));
    }
    if (request->uri->query != nullptr) {
        evhtp_kvs_for_each(request->uri->query, &collectQuery, &incoming.query);
    }
    evhtp_kvs_for_each(request->headers_in, &collect, &incoming.headers);
    incoming.body.resize(evbuffer_get_length(request->buffer_in));
    evbuffer_copyout(request->buffer_in, incoming.body.data(), incoming.body.size());
    return incoming;
}

/// One request of evhtp; forgets it as soon as evhtp frees it.
class EvhtpResponder final : public FakeResponder, public std::enable_shared_from_this<EvhtpResponder>
{
public:
    EvhtpResponder(Runtime &runtime, evhtp_request_t *request, bool first)
        : runtime_(runtime)
        , request_(request)
        , first_(first)
    {
    }

    /// Keeps itself alive until evhtp frees the request.
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

    void precede(const HttpServerResponse &stray) override
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

    void setDisconnectHandler(std::function<void()> gone) override
    {
        gone_ = std::move(gone);
    }

    bool firstOfConnection() const override
    {
        return first_;
    }

private:
    static evhtp_res freed(evhtp_request_t *, void *argument)
    {
        auto *const self = static_cast<std::shared_ptr<EvhtpResponder> *>(argument);
        (*self)->request_ = nullptr;
        if ((!(*self)->answered_ || (*self)->chunked_) && (*self)->gone_) {
            (*self)->gone_();
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
    std::function<void()> gone_;
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

    Address address_;
    std::uint32_t limit_ = DefaultConnections;
    std::uint64_t refused_ = 0;
    std::uint32_t most_ = 0;
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

    static evhtp_res onPreAccept(evhtp_connection_t *, void *argument)
    {
        auto *const self = static_cast<Private *>(argument);
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
        self->most_ = std::max(self->most_, static_cast<std::uint32_t>(self->connections_.size()));
        evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini, asHook(&Private::onClosed), self);
        return EVHTP_RES_OK;
    }

    static evhtp_res onClosed(evhtp_connection_t *connection, void *argument)
    {
        static_cast<Private *>(argument)->connections_.erase(connection);
        return EVHTP_RES_OK;
    }

    static void onRequest(evhtp_request_t *request, void *argument)
    {
        auto *const self = static_cast<Private *>(argument);
        const bool first = request->conn->num_requests <= 1;
        const auto responder = std::make_shared<EvhtpResponder>(self->runtime_, request, first);
        responder->attach();
        self->handler_(incomingOf(request), responder);
    }

    Runtime &runtime_;
    FakeHandler handler_;
    evhtp_t *http_;
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

std::uint32_t FakeHttpServer::openConnections() const
{
    return static_cast<std::uint32_t>(d_->connections_.size());
}

std::uint32_t FakeHttpServer::mostConnections() const
{
    return d_->most_;
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
