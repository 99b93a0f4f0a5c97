#include "internal/clientconnection.h"

#include <burdock/wire/factories.h>

#include <algorithm>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Burdock
{

namespace
{

/// Stands in where the limits name none.
constexpr std::size_t DefaultResponseBytes = 16777216;

/// Everything that concerns one address.
struct Peer
{
    Address address;
    ConnectionLimits limits;
    std::deque<HttpCallId> queue;
    std::vector<std::unique_ptr<ClientConnection>> connections;
};

/// A call with the place it has reached: queued at its peer while it has no connection.
struct CallEntry
{
    HttpCall call;
    Peer *peer = nullptr;
    ClientConnection *connection = nullptr;
};

/// An HttpClient on libevent's evhttp connections.
///
/// A connection that is of no more use is closed in the next turn of the loop, since its own callback may be
/// running; until then it counts against the limit of its address.
class EvhttpClient final : public HttpClient
{
public:
    EvhttpClient(EventLoop &loop, const ConnectionLimits &defaults)
        : loop_(loop)
        , defaults_(defaults)
    {
    }

    ~EvhttpClient() override
    {
        loop_.cancel(reaper_);
        for (const auto &[id, entry] : calls_) {
            loop_.cancel(entry.call.timer);
        }
    }

    EvhttpClient(const EvhttpClient &) = delete;
    EvhttpClient &operator=(const EvhttpClient &) = delete;

    HttpCallId send(HttpRequest request, Callback done) override
    {
        const HttpCallId id = ++last_;
        Peer &peer = peerOf(request.address);
        CallEntry entry{{id, std::move(request), std::move(done), 0}, &peer, nullptr};
        entry.call.timer = loop_.schedule(entry.call.request.timeout, [this, id] { expire(id); });
        calls_.emplace(id, std::move(entry));
        peer.queue.push_back(id);
        dispatch(peer);
        return id;
    }

    void cancel(HttpCallId id) override
    {
        takeOut(id);
    }

    void setLimits(const Address &address, const ConnectionLimits &limits) override
    {
        Peer &peer = peerOf(address);
        peer.limits = limits;
        trim(peer);
        dispatch(peer);
    }

    void closeIdle() override
    {
        for (const auto &[address, peer] : peers_) {
            for (const auto &connection : peer->connections) {
                if (!connection->busy()) {
                    connection->retire();
                }
            }
            reapLater(*peer);
        }
    }

    std::uint32_t openConnections(const Address &address) const override
    {
        const auto found = peers_.find(address);
        return found == peers_.end() ? 0 : static_cast<std::uint32_t>(found->second->connections.size());
    }

private:
    struct AddressHash
    {
        std::size_t operator()(const Address &address) const
        {
            return std::hash<std::string>()(address.host) * std::size_t{31} + address.port;
        }
    };

    Peer &peerOf(const Address &address)
    {
        auto &peer = peers_[address];
        if (!peer) {
            peer = std::make_unique<Peer>();
            peer->address = address;
            peer->limits = defaults_;
        }
        return *peer;
    }

    /// Starts queued calls while there are connections for them.
    void dispatch(Peer &peer)
    {
        while (!peer.queue.empty()) {
            ClientConnection *connection = unused(peer);
            if (connection == nullptr) {
                return;
            }
            CallEntry &entry = calls_.at(peer.queue.front());
            peer.queue.pop_front();
            start(entry, *connection);
        }
    }

    void start(CallEntry &entry, ClientConnection &connection)
    {
        const std::size_t limit = entry.peer->limits.responseBytes;
        const auto started = connection.start(entry.call, limit == 0 ? DefaultResponseBytes : limit);
        if (started) {
            entry.connection = &connection;
            return;
        }
        connection.abandon();
        reapLater(*entry.peer);
        loop_.cancel(entry.call.timer);
        entry.call.timer = loop_.schedule(Duration{0}, [this, id = entry.call.id, failure = started.error()] { end(id, tl::make_unexpected(failure)); });
    }

    ClientConnection *unused(Peer &peer)
    {
        for (const auto &connection : peer.connections) {
            if (connection->busy() || connection->closed()) {
                continue;
            }
            // A request written now would be lost, and nobody could say that it did not run.
            if (connection->endedByPeer() || connection->outlived()) {
                connection->retire();
                reapLater(peer);
                continue;
            }
            return connection.get();
        }
        if (peer.connections.size() >= peer.limits.connections) {
            return nullptr;
        }
        ClientConnection::Events events;
        events.onDone = [this](HttpCallId id, Result<HttpResponse> result) { onDone(id, std::move(result)); };
        events.onIdleClose = [this, &peer] { reapLater(peer); };
        peer.connections.push_back(std::make_unique<ClientConnection>(loop_, peer.address, std::move(events)));
        return peer.connections.back().get();
    }

    void onDone(HttpCallId id, Result<HttpResponse> result)
    {
        Peer &peer = *calls_.at(id).peer;
        if (calls_.at(id).connection->closed()) {
            reapLater(peer);
        }
        dispatch(peer);
        trim(peer);
        end(id, std::move(result));
    }

    void end(HttpCallId id, Result<HttpResponse> result)
    {
        const auto node = calls_.extract(id);
        HttpCall &call = node.mapped().call;
        loop_.cancel(call.timer);
        call.done(std::move(result));
    }

    void expire(HttpCallId id)
    {
        const TakenOut out = takeOut(id);
        const std::string what = "no answer within the timeout from " + out.call.request.address.toString();
        if (out.written) {
            out.call.done(mayHaveRun(Errc::DeadlineExceeded, what));
        } else {
            out.call.done(notRun(Errc::DeadlineExceeded, what));
        }
    }

    struct TakenOut
    {
        HttpCall call;
        bool written = false;
    };

    /// Takes a call out of the queue or off its connection, which closes.
    TakenOut takeOut(HttpCallId id)
    {
        auto node = calls_.extract(id);
        if (node.empty()) {
            return {};
        }
        CallEntry &entry = node.mapped();
        loop_.cancel(entry.call.timer);
        bool written = false;
        if (entry.connection != nullptr) {
            written = entry.connection->written();
            entry.connection->abandon();
            reapLater(*entry.peer);
        } else {
            auto &queue = entry.peer->queue;
            queue.erase(std::remove(queue.begin(), queue.end(), id), queue.end());
        }
        return {std::move(entry.call), written};
    }

    /// Retires unused connections above the limits.
    void trim(Peer &peer)
    {
        const auto usable = [](const auto &connection) { return !connection->closed(); };
        auto open = std::count_if(peer.connections.begin(), peer.connections.end(), usable);
        std::size_t idle = 0;
        for (const auto &connection : peer.connections) {
            if (connection->busy() || connection->closed()) {
                continue;
            }
            if (++idle > peer.limits.idle || open > peer.limits.connections) {
                connection->retire();
                --open;
                reapLater(peer);
            }
        }
    }

    void reapLater(Peer &peer)
    {
        toReap_.insert(&peer);
        if (reaper_ == 0) {
            reaper_ = loop_.schedule(Duration{0}, [this] { reap(); });
        }
    }

    void reap()
    {
        reaper_ = 0;
        for (Peer *peer : std::exchange(toReap_, {})) {
            auto &all = peer->connections;
            const auto closed = [](const auto &connection) { return connection->closed() && !connection->busy(); };
            all.erase(std::remove_if(all.begin(), all.end(), closed), all.end());
            dispatch(*peer);
        }
    }

    EventLoop &loop_;
    const ConnectionLimits defaults_;
    HttpCallId last_ = 0;
    std::unordered_map<Address, std::unique_ptr<Peer>, AddressHash> peers_;
    std::unordered_map<HttpCallId, CallEntry> calls_;
    std::set<Peer *> toReap_;
    TimerId reaper_ = 0;
};

} // namespace

std::unique_ptr<HttpClient> makeHttpClient(EventLoop &loop, const ConnectionLimits &defaults)
{
    return std::make_unique<EvhttpClient>(loop, defaults);
}

} // namespace Burdock
