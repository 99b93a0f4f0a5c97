#include "internal/lingeringclose.h"
#include "internal/listener.h"
#include "internal/serverconnection.h"

#include <burdock/values/periodictimer.h>
#include <burdock/wire/factories.h>

#include <algorithm>
#include <event2/util.h>
#include <functional>
#include <limits>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace Burdock
{

namespace
{

/// Connections are checked for timeouts this many times per shorter time limit, within the interval bounds below.
constexpr int SweepsPerLimit = 4;
constexpr Duration MinSweepInterval = std::chrono::milliseconds(5);
constexpr Duration MaxSweepInterval = std::chrono::seconds(1);
/// A connection that has been idle for less than this time may be about to carry a request, and is not closed for another.
constexpr Duration MinReplacedIdleTime = std::chrono::seconds(1);
/// After a lack of connections, responses close theirs for this time.
constexpr Duration CrowdedTime = std::chrono::seconds(1);
/// The fraction of the memory for clients that the kernel may hold of what they sent, by all connections of a server together.
constexpr std::size_t ReceiveDivisor = 8;
/// The kernel chooses the size of a connection's receive buffer itself as long as the share is not below this.
constexpr std::size_t MinSharedReceiveBytes = 65536;
constexpr std::size_t MinReceiveBytes = 4096;

/// An HttpServer that uses libevhtp's parser and libevent's buffers. Accepts and counts connections, and closes overdue ones.
class EventHttpServer final : public HttpServer, private ConnectionPool::Member, private MemoryBudget::Member
{
public:
    EventHttpServer(EventLoop &loop, const HttpServerLimits &limits, std::shared_ptr<ConnectionPool> pool, std::shared_ptr<MemoryBudget> memory)
        : context_(loop, limits, memory ? std::move(memory) : std::make_shared<MemoryBudget>(loop, MemoryTerms()))
        , pool_(pool ? std::move(pool) : std::make_shared<ConnectionPool>(std::numeric_limits<std::uint32_t>::max()))
        , listener_(std::make_unique<Listener>(
              loop, [this](int socket) { accept(socket); }, [this](AcceptError error) { return onAcceptFailed(error); }))
        , sweepTimer_(
              loop, std::clamp(std::min(limits.requestTime, limits.idleTime) / SweepsPerLimit, MinSweepInterval, MaxSweepInterval), [this] { closeOverdue(); })
    {
        pool_->add(*this);
        context_.memory->add(*this);
        sweepTimer_.start();
    }

    ~EventHttpServer() override
    {
        context_.memory->remove(*this);
        pool_->remove(*this);
        context_.loop.cancel(stopTimer_);
        forEachConnection([this](const ServerConnection &connection) { context_.connections.erase(&connection); });
    }

    EventHttpServer(const EventHttpServer &) = delete;
    EventHttpServer &operator=(const EventHttpServer &) = delete;

    Result<Address> listen(const Address &address) override
    {
        return listener_->listen(address);
    }

    void setHandler(Handler handler) override
    {
        context_.handler = std::move(handler);
    }

    void setFailureResponse(HttpServerResponse response) override
    {
        context_.failureResponse = std::move(response);
    }

    void setLimits(const HttpServerLimits &limits) override
    {
        context_.limits = limits;
    }

    void announceClose() override
    {
        context_.closing = true;
    }

    void closeConnectionsAfterAnswers() override
    {
        context_.closing = true;
        forEachConnection([](ServerConnection &connection) { connection.closeIfIdle(); });
    }

    void stopAccepting() override
    {
        // The next iteration of the loop accepts connections that the kernel has already queued before this timer runs.
        context_.loop.cancel(stopTimer_);
        stopTimer_ = context_.loop.schedule(Duration{0}, [this] { listener_.reset(); });
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
    void accept(int socket)
    {
        if (!makeRoom()) {
            ++context_.counters->refusedConnections;
            evutil_closesocket(socket);
            return;
        }
        ++context_.counters->accepted;
        limitReceiveBuffer(socket);
        auto connection = std::make_unique<ServerConnection>(context_, socket);
        const auto *key = connection.get();
        context_.connections.emplace(key, std::move(connection));
    }

    /// Where there are many connections, each gets a small receive buffer: the kernel holds what a busy process has not read yet.
    void limitReceiveBuffer(int socket) const
    {
        const std::size_t share = context_.memory->terms().limit / ReceiveDivisor / (openConnections() + 1);
        if (share < MinSharedReceiveBytes) {
            // The kernel doubles the size for its own overhead.
            const int bytes = static_cast<int>(std::max(share / 2, MinReceiveBytes));
            setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
        }
    }

    /// Returns whether one more connection may be open.
    bool makeRoom()
    {
        if (openConnections() >= context_.limits.connections) {
            return closeIdle();
        }
        return !pool_->isFull() || openConnections() < context_.limits.reserved || pool_->closeIdle();
    }

    /// Returns whether a descriptor was freed, so that the next attempt may succeed.
    bool onAcceptFailed(AcceptError error)
    {
        ++context_.counters->failedAccepts;
        if (error != AcceptError::Shortage) {
            return false;
        }
        ++context_.counters->shortages;
        return pool_->closeIdle();
    }

    std::uint32_t pooledConnections() const override
    {
        return openConnections();
    }

    /// Closes the connection that has been idle longest and on which nothing arrives, and returns whether there was one. Kept
    /// connections would otherwise leave new clients waiting until the end of their idle time.
    bool closeIdle() override
    {
        const TimePoint now = context_.loop.now();
        context_.crowdedUntil = now + CrowdedTime;
        std::vector<std::pair<Duration, ServerConnection *>> idle;
        for (const auto &[key, connection] : context_.connections) {
            if (connection->idleTime(now) >= MinReplacedIdleTime) {
                idle.emplace_back(connection->idleTime(now), connection.get());
            }
        }
        std::sort(idle.begin(), idle.end(), std::greater<>());
        const bool replaced = std::any_of(idle.begin(), idle.end(), [](const auto &candidate) { return candidate.second->closeIfIdle(); });
        context_.counters->replacedConnections += replaced ? 1 : 0;
        return replaced;
    }

    void addHolders(std::vector<MemoryBudget::Holder *> &holders) override
    {
        for (const auto &[key, connection] : context_.connections) {
            if (connection->holdsMemory()) {
                holders.push_back(connection.get());
            }
        }
    }

    bool contains(const MemoryBudget::Holder *holder) const override
    {
        return context_.connections.count(holder) > 0;
    }

    /// Calls the action for each connection. The action may close it.
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

    void closeOverdue()
    {
        const TimePoint now = context_.loop.now();
        forEachConnection([now](ServerConnection &connection) { connection.closeIfOverdue(now); });
    }

    ServerContext context_;
    std::shared_ptr<ConnectionPool> pool_;
    std::unique_ptr<Listener> listener_;
    PeriodicTimer sweepTimer_;
    TimerId stopTimer_ = 0;
};

} // namespace

std::unique_ptr<HttpServer>
makeHttpServer(EventLoop &loop, const HttpServerLimits &limits, std::shared_ptr<ConnectionPool> pool, std::shared_ptr<MemoryBudget> memory)
{
    return std::make_unique<EventHttpServer>(loop, limits, std::move(pool), std::move(memory));
}

} // namespace Burdock
