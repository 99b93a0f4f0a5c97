#include "internal/clientconnection.h"
#include "internal/httptext.h"
#include "internal/sockets.h"

#include <burdock/wire/factories.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Burdock
{

namespace
{

/// Used if the limits specify 0.
constexpr std::size_t DefaultResponseBytes = 16777216;

/// The queue and the connections of one address.
struct Peer
{
    Address address;
    ConnectionLimits limits;
    std::deque<HttpCallId> queue;
    std::vector<std::unique_ptr<ClientConnection>> connections;
};

/// A call and its connection. While it has none, it is queued at its peer.
struct CallEntry
{
    HttpCall call;
    Peer *peer = nullptr;
    ClientConnection *connection = nullptr;
    /// Whether the call was queued again for lack of a descriptor.
    bool queuedAgain = false;
    /// The head of the request, in the account until the call ends.
    std::unique_ptr<MemoryHold> head;
};

/// An HttpClient that uses libevent's evhttp connections.
///
/// A connection that is marked closed is destroyed in the next iteration of the loop, because one of its callbacks may be
/// running. Until then it counts towards the limit of its address. The socket of an abandoned call is closed before, so that
/// nothing of a call that has ended is sent.
class EvhttpClient final : public HttpClient
{
public:
    EvhttpClient(EventLoop &loop, const ConnectionLimits &defaults, std::shared_ptr<MemoryBudget> memory)
        : loop_(loop)
        , defaults_(defaults)
        , memory_(memory ? std::move(memory) : std::make_shared<MemoryBudget>(loop, MemoryTerms()))
    {
    }

    ~EvhttpClient() override
    {
        loop_.cancel(reapTimer_);
        for (const auto &[id, entry] : calls_) {
            loop_.cancel(entry.call.timer);
        }
    }

    EvhttpClient(const EvhttpClient &) = delete;
    EvhttpClient &operator=(const EvhttpClient &) = delete;

    HttpCallId send(HttpRequest request, Callback done) override
    {
        const HttpCallId id = ++lastId_;
        Peer &peer = peerOf(request.address);
        CallEntry entry{{id, std::move(request), std::move(done), 0, loop_.boundary().work()}, &peer, nullptr, false, std::make_unique<MemoryHold>(*memory_)};
        entry.head->set(headBytes(entry.call.request.path, entry.call.request.headers));
        entry.call.timer = loop_.schedule(entry.call.request.timeout, [this, id] { expire(id); });
        calls_.emplace(id, std::move(entry));
        peer.queue.push_back(id);
        dispatch(peer);
        return id;
    }

    void cancel(HttpCallId id) override
    {
        removeCall(id);
    }

    void setLimits(const Address &address, const ConnectionLimits &limits) override
    {
        Peer &peer = peerOf(address);
        peer.limits = limits;
        closeExcess(peer);
        dispatch(peer);
    }

    void setShortageHandler(const std::function<bool()> &onShortage) override
    {
        onShortage_ = onShortage;
    }

    void setTotalLimit(const std::function<std::size_t()> &limit) override
    {
        totalLimit_ = limit;
    }

    bool hasRoom(std::size_t calls) const override
    {
        return calls_.size() + calls <= totalLimit_();
    }

    void closeIdle() override
    {
        for (const auto &[address, peer] : peers_) {
            for (const auto &connection : peer->connections) {
                if (!connection->isBusy()) {
                    connection->markClosed();
                }
            }
            scheduleReap(*peer);
        }
    }

    void failUnsent(const Address &address) override
    {
        const auto found = peers_.find(address);
        if (found == peers_.end()) {
            return;
        }
        const Peer &peer = *found->second;
        std::vector<HttpCallId> unsent(peer.queue.begin(), peer.queue.end());
        for (const auto &[id, entry] : calls_) {
            if (entry.peer == &peer && entry.connection != nullptr && !entry.connection->hasWritten()) {
                unsent.push_back(id);
            }
        }
        for (const HttpCallId id : unsent) {
            // A callback may have cancelled it.
            const RemovedCall removed = removeCall(id);
            if (removed.call.done) {
                report(removed.call, notRun(Errc::Unavailable, "nothing was sent to " + address.toString() + ", which cannot be reached"));
            }
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

    /// Starts queued calls while connections are available.
    void dispatch(Peer &peer)
    {
        while (!peer.queue.empty()) {
            ClientConnection *connection = acquireConnection(peer);
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
            // libevent has a copy of its own.
            entry.call.request.headers.clear();
            return;
        }
        connection.abandon();
        scheduleReap(*entry.peer);
        if (!entry.queuedAgain && areDescriptorsUsedUp() && onShortage_()) {
            // The descriptor is free in the next iteration.
            entry.queuedAgain = true;
            callsToQueueAgain_.push_back(entry.call.id);
            return;
        }
        loop_.cancel(entry.call.timer);
        entry.call.timer = loop_.schedule(Duration{0}, [this, id = entry.call.id, failure = started.error()] { finishCall(id, tl::make_unexpected(failure)); });
    }

    /// Returns an idle connection or a new one, or null if the limit is reached.
    ClientConnection *acquireConnection(Peer &peer)
    {
        for (const auto &connection : peer.connections) {
            if (connection->isBusy() || connection->isClosed()) {
                continue;
            }
            // A request written now would be lost, and the caller could not know that it did not run.
            if (connection->hasPendingInput() || connection->isKeepAliveExpired()) {
                connection->markClosed();
                scheduleReap(peer);
                continue;
            }
            return connection.get();
        }
        if (peer.connections.size() >= peer.limits.connections) {
            return nullptr;
        }
        makeRoom();
        ClientConnection::Events events;
        events.onDone = [this](HttpCallId id, Result<HttpResponse> result) { onDone(id, std::move(result)); };
        events.onIdleClose = [this, &peer] { scheduleReap(peer); };
        peer.connections.push_back(std::make_unique<ClientConnection>(loop_, peer.address, memory_, std::move(events)));
        return peer.connections.back().get();
    }

    /// Closes an idle connection if there are as many as there may be.
    void makeRoom()
    {
        std::size_t open = 0;
        std::pair<Peer *, ClientConnection *> idle{nullptr, nullptr};
        for (const auto &[address, peer] : peers_) {
            open += peer->connections.size();
            for (const auto &connection : peer->connections) {
                if (!connection->isBusy() && !connection->isClosed()) {
                    idle = {peer.get(), connection.get()};
                }
            }
        }
        if (idle.first != nullptr && open >= totalLimit_()) {
            // Unlike a connection that is marked closed, its descriptor is free at once.
            idle.second->abandon();
            scheduleReap(*idle.first);
        }
    }

    void onDone(HttpCallId id, Result<HttpResponse> result)
    {
        Peer &peer = *calls_.at(id).peer;
        if (calls_.at(id).connection->isClosed()) {
            scheduleReap(peer);
        }
        loop_.boundary().runFor({}, "next call", [this, &peer] {
            dispatch(peer);
            closeExcess(peer);
        });
        finishCall(id, std::move(result));
    }

    /// Reports the result of a call that was removed.
    void report(const HttpCall &call, Result<HttpResponse> result)
    {
        loop_.boundary().runFor(call.work, "response", [&call, &result] { call.done(std::move(result)); });
    }

    void finishCall(HttpCallId id, Result<HttpResponse> result)
    {
        const auto node = calls_.extract(id);
        HttpCall &call = node.mapped().call;
        loop_.cancel(call.timer);
        report(call, std::move(result));
    }

    void expire(HttpCallId id)
    {
        const RemovedCall removed = removeCall(id);
        const std::string what = "no answer within the timeout from " + removed.call.request.address.toString();
        if (removed.written) {
            report(removed.call, mayHaveRun(Errc::DeadlineExceeded, what));
        } else {
            report(removed.call, notRun(Errc::DeadlineExceeded, what));
        }
    }

    struct RemovedCall
    {
        HttpCall call;
        bool written = false;
    };

    /// Removes a call from the queue, or from its connection, which is then closed.
    RemovedCall removeCall(HttpCallId id)
    {
        auto node = calls_.extract(id);
        if (node.empty()) {
            return {};
        }
        CallEntry &entry = node.mapped();
        loop_.cancel(entry.call.timer);
        bool written = false;
        if (entry.connection != nullptr) {
            written = entry.connection->hasWritten();
            entry.connection->abandon();
            scheduleReap(*entry.peer);
        } else {
            auto &queue = entry.peer->queue;
            queue.erase(std::remove(queue.begin(), queue.end(), id), queue.end());
        }
        return {std::move(entry.call), written};
    }

    /// Closes idle connections in excess of the limits.
    void closeExcess(Peer &peer)
    {
        const auto isOpen = [](const auto &connection) { return !connection->isClosed(); };
        auto open = std::count_if(peer.connections.begin(), peer.connections.end(), isOpen);
        std::size_t idle = 0;
        for (const auto &connection : peer.connections) {
            if (connection->isBusy() || connection->isClosed()) {
                continue;
            }
            if (++idle > peer.limits.idle || open > peer.limits.connections) {
                connection->markClosed();
                --open;
                scheduleReap(peer);
            }
        }
    }

    void scheduleReap(Peer &peer)
    {
        peersToReap_.insert(&peer);
        if (reapTimer_ == 0) {
            reapTimer_ = loop_.schedule(Duration{0}, [this] { reap(); });
        }
    }

    void reap()
    {
        reapTimer_ = 0;
        for (const HttpCallId id : std::exchange(callsToQueueAgain_, {})) {
            const auto found = calls_.find(id);
            if (found != calls_.end()) {
                found->second.peer->queue.push_front(id);
            }
        }
        for (Peer *peer : std::exchange(peersToReap_, {})) {
            auto &all = peer->connections;
            const auto isUnused = [](const auto &connection) { return connection->isClosed() && !connection->isBusy(); };
            all.erase(std::remove_if(all.begin(), all.end(), isUnused), all.end());
            dispatch(*peer);
        }
    }

    EventLoop &loop_;
    const ConnectionLimits defaults_;
    const std::shared_ptr<MemoryBudget> memory_;
    HttpCallId lastId_ = 0;
    std::unordered_map<Address, std::unique_ptr<Peer>, AddressHash> peers_;
    std::unordered_map<HttpCallId, CallEntry> calls_;
    std::set<Peer *> peersToReap_;
    std::vector<HttpCallId> callsToQueueAgain_;
    std::function<bool()> onShortage_ = [] { return false; };
    std::function<std::size_t()> totalLimit_ = [] { return std::numeric_limits<std::size_t>::max(); };
    TimerId reapTimer_ = 0;
};

} // namespace

std::unique_ptr<HttpClient> makeHttpClient(EventLoop &loop, const ConnectionLimits &defaults, std::shared_ptr<MemoryBudget> memory)
{
    return std::make_unique<EvhttpClient>(loop, defaults, std::move(memory));
}

} // namespace Burdock
