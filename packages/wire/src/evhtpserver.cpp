#include "internal/lingeringclose.h"
#include "internal/serverconnection.h"

#include <burdock/wire/factories.h>

#include "internal/sockets.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Burdock
{

namespace
{

constexpr int ListenBacklog = 1024;

/// How often connections are looked over for being overdue: a fraction of the shorter limit, within bounds.
constexpr int SweepsPerLimit = 4;
constexpr Duration ShortestSweep = std::chrono::milliseconds(5);
constexpr Duration LongestSweep = std::chrono::seconds(1);

/// An HttpServer on libevhtp: accepts, counts, and looks over the connections for overdue ones.
class EvhtpServer final : public HttpServer
{
public:
    EvhtpServer(EventLoop &loop, const HttpServerLimits &limits)
        : context_(loop, limits)
        , server_(evhtp_new(loop.base(), nullptr))
        , sweepEvery_(std::clamp(std::min(limits.requestTime, limits.idleTime) / SweepsPerLimit, ShortestSweep, LongestSweep))
    {
        evhtp_enable_flag(server_, EVHTP_FLAG_ENABLE_NODELAY);
        evhtp_set_gencb(server_, &EvhtpServer::onRequest, this);
        evhtp_set_pre_accept_cb(server_, &EvhtpServer::onAccept, this);
        evhtp_set_post_accept_cb(server_, &EvhtpServer::onAccepted, this);
        sweep();
    }

    ~EvhtpServer() override
    {
        context_.loop.cancel(sweepTimer_);
        context_.loop.cancel(unbindTimer_);
        unbind();
        while (!context_.connections.empty()) {
            const auto first = context_.connections.begin();
            evhtp_connection_free(first->second->handle());
        }
        evhtp_free(server_);
    }

    EvhtpServer(const EvhtpServer &) = delete;
    EvhtpServer &operator=(const EvhtpServer &) = delete;

    Result<Address> listen(const Address &address) override
    {
        const bool six = address.host.find(':') != std::string::npos;
        const std::string host = six ? "ipv6:" + address.host : address.host;
        if (evhtp_bind_socket(server_, host.c_str(), address.port, ListenBacklog) != 0) {
            return notRun(Errc::Unavailable, "cannot listen on " + address.toString() + "; is the port in use?");
        }
        return localAddress(evconnlistener_get_fd(server_->server));
    }

    void setHandler(Handler handler) override
    {
        context_.handler = std::move(handler);
    }

    void closeConnectionsAfterAnswers() override
    {
        context_.closing = true;
        forEachConnection([](ServerConnection &connection) { connection.closeIfIdle(); });
    }

    void stopAccepting() override
    {
        // The next turn accepts what the kernel already holds before this timer runs.
        context_.loop.cancel(unbindTimer_);
        unbindTimer_ = context_.loop.schedule(Duration{0}, [this] { unbind(); });
    }

    std::uint32_t openConnections() const override
    {
        return static_cast<std::uint32_t>(context_.connections.size() + context_.lingering.size());
    }

    std::uint32_t requestsInFlight() const override
    {
        return context_.inFlight;
    }

    const HttpServerCounters &counters() const override
    {
        return *context_.counters;
    }

private:
    static evhtp_res onAccept(evhtp_connection_t *, void *context)
    {
        auto *self = static_cast<EvhtpServer *>(context);
        if (self->openConnections() >= self->context_.limits.connections) {
            ++self->context_.counters->refusedConnections;
            return EVHTP_RES_ERROR;
        }
        return EVHTP_RES_OK;
    }

    static evhtp_res onAccepted(evhtp_connection_t *handle, void *context)
    {
        auto *self = static_cast<EvhtpServer *>(context);
        ++self->context_.counters->accepted;
        auto connection = std::make_unique<ServerConnection>(self->context_, handle);
        const auto *key = connection.get();
        self->context_.connections.emplace(key, std::move(connection));
        return EVHTP_RES_OK;
    }

    static void onRequest(evhtp_request_t *request, void *)
    {
        ServerConnection::of(request).work(request);
    }

    void unbind()
    {
        if (server_->server != nullptr) {
            evhtp_unbind_socket(server_);
        }
    }

    /// Calls the action for every connection; the action may close it.
    template<class Action>
    void forEachConnection(Action action)
    {
        std::vector<ServerConnection *> all;
        all.reserve(context_.connections.size());
        for (const auto &[key, connection] : context_.connections) {
            all.push_back(connection.get());
        }
        for (ServerConnection *connection : all) {
            action(*connection);
        }
    }

    void sweep()
    {
        const TimePoint now = context_.loop.now();
        forEachConnection([now](ServerConnection &connection) { connection.closeIfOverdue(now); });
        sweepTimer_ = context_.loop.schedule(sweepEvery_, [this] { sweep(); });
    }

    ServerContext context_;
    evhtp_t *server_;
    const Duration sweepEvery_;
    TimerId sweepTimer_ = 0;
    TimerId unbindTimer_ = 0;
};

} // namespace

std::unique_ptr<HttpServer> makeHttpServer(EventLoop &loop, const HttpServerLimits &limits)
{
    return std::make_unique<EvhtpServer>(loop, limits);
}

} // namespace Burdock
