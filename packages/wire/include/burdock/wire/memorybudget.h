#pragma once

#include <burdock/values/runtime.h>
#include <burdock/values/sharedtext.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Burdock
{

/// How much a process may hold for others, and who has stopped in the middle.
struct MemoryTerms
{
    /// The bytes that may be held for others: requests that arrive, requests in progress, and responses on their way.
    std::size_t limit = std::size_t{256} << 20;
    /// A connection makes progress if it moves at least this many bytes a second over the span below. One byte now and then is none.
    std::size_t leastRate = 1024;
    Duration span = std::chrono::seconds(2);

    /// The terms of a process that has a machine of so many megabytes for itself. Half of them are for what it holds for others.
    static MemoryTerms ofMachine(std::size_t megabytes);

    auto fields() const
    {
        return std::tie(limit, leastRate, span);
    }
};

inline bool operator==(const MemoryTerms &left, const MemoryTerms &right)
{
    return left.fields() == right.fields();
}

/// How full the budget is. Each level keeps what the one before it does.
enum class MemoryLevel {
    Calm,
    /// Connections that hold much are not read any further.
    Pausing,
    /// Requests with a body are refused before the body is read. Connections that make no progress are closed.
    Refusing,
    /// All requests but urgent ones are refused.
    Exhausted,
};

std::string_view nameOf(MemoryLevel level);

/// What one connection holds, for the decision who is paused or closed.
struct MemoryUse
{
    std::size_t bytes = 0;
    /// How many bytes the request that arrives may still bring.
    std::size_t remaining = 0;
    /// When the request that arrives, or the response that waits, began.
    TimePoint since{};
    /// When the connection last made progress.
    TimePoint progressAt{};
    /// Since when the connection has not been read, if it is paused.
    TimePoint pausedAt{};
    bool isPaused = false;
    /// Whether a request is arriving, so that a pause keeps the connection from holding more.
    bool isReceiving = false;
    /// Whether the connection waits for its client, to send the rest of a request or to read a response.
    bool awaitsClient = false;
    /// Whether bytes of the client wait in the kernel, so that a paused client has not stopped by itself.
    bool hasUnread = false;
};

/// What is to be done with the connections of a list, by their indexes, in order.
struct MemoryRelief
{
    std::vector<std::size_t> paused;
    std::vector<std::size_t> resumed;
    std::vector<std::size_t> closed;
};

/// Decides which connections are paused, resumed and closed while clients that nobody controls hold `held` bytes.
///
/// Answers the load of many clients that send large bodies, or read long responses, slowly or not to the end. Paused are those that hold
/// most for longest, until what the others may still send has room. Closed are those without progress, the longest first, until the
/// budget is below the pausing level. Resumed are those paused longest, as far as there is room, and at least one if no other is read.
MemoryRelief planRelief(const std::vector<MemoryUse> &uses, std::size_t held, const MemoryTerms &terms, TimePoint now);

/// The level at which `held` bytes are.
MemoryLevel memoryLevel(std::size_t held, const MemoryTerms &terms);

/// The memory that a process holds for others: one account for all its servers and clients. Each part takes before it holds and gives
/// back. Above the calm level the budget relieves itself at short intervals through the connections that hold.
class MemoryBudget
{
public:
    /// A connection that holds memory. All functions are called from the event loop, outside of the connection's own callbacks.
    class Holder
    {
    public:
        virtual ~Holder() = default;
        virtual MemoryUse memoryUse(TimePoint now) = 0;
        virtual void pauseReading(TimePoint now) = 0;
        virtual void resumeReading() = 0;
        /// Closes the connection, which may end the life of this object.
        virtual void closeForMemory() = 0;
    };

    /// A server, which knows its connections.
    class Member
    {
    public:
        virtual ~Member() = default;
        /// Adds the connections that hold memory.
        virtual void addHolders(std::vector<Holder *> &holders) = 0;
        /// Whether the holder is still one of the server's.
        virtual bool contains(const Holder *holder) const = 0;
    };

    struct Counters
    {
        std::uint64_t paused = 0;
        std::uint64_t refused = 0;
        std::uint64_t closed = 0;
        /// Responses that were dropped because there was no room for them.
        std::uint64_t dropped = 0;
        std::size_t peak = 0;
    };

    /// Called when the level changes, with the level before.
    using LevelHandler = std::function<void(MemoryLevel before, MemoryLevel now)>;

    MemoryBudget(Runtime &runtime, const MemoryTerms &terms);
    ~MemoryBudget();
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    void setTerms(const MemoryTerms &terms);
    const MemoryTerms &terms() const
    {
        return terms_;
    }

    void add(Member &member);
    void remove(Member &member);

    /// Takes bytes, also beyond the limit: for what is already there.
    void take(std::size_t bytes);
    void giveBack(std::size_t bytes);

    /// Takes bytes if they fit.
    bool tryTake(std::size_t bytes);

    /// Whether there is room for so many more bytes.
    bool fits(std::size_t bytes) const
    {
        return held_ + bytes <= terms_.limit;
    }

    /// Whether a response or a frame that has brought so many bytes may bring so many more. Long ones need room; all others may take a
    /// small part more than the limit, beyond which only those of a few bytes may arrive.
    bool admitsArrival(std::size_t received, std::size_t more) const;

    /// Whether a body may begin to arrive. `bytes` is its length, 0 if that is unknown. A single one always may.
    bool admitsBody(std::size_t bytes) const;

    /// Notes that a request was refused, or a response dropped, for lack of room.
    void noteRefused()
    {
        ++counters_.refused;
    }
    void noteDropped()
    {
        ++counters_.dropped;
    }
    void notePaused()
    {
        ++counters_.paused;
    }

    /// After this time a client that was refused may come back: connections without progress have then been closed.
    Duration retryAfter() const
    {
        return terms_.span;
    }

    std::size_t held() const
    {
        return held_;
    }
    MemoryLevel level() const
    {
        return level_;
    }
    const Counters &counters() const
    {
        return counters_;
    }
    void setLevelHandler(LevelHandler handler);

private:
    void update();
    void relieve();
    /// Calls the action for each chosen holder that still exists.
    template<class Action>
    void apply(const std::vector<Holder *> &holders, const std::vector<std::size_t> &chosen, const Action &action);

    Runtime &runtime_;
    MemoryTerms terms_;
    std::size_t held_ = 0;
    MemoryLevel level_ = MemoryLevel::Calm;
    MemoryLevel reportedLevel_ = MemoryLevel::Calm;
    bool hasPaused_ = false;
    Counters counters_;
    std::vector<Member *> members_;
    LevelHandler onLevel_;
    TimerId timer_ = 0;
};

/// What one owner holds of a budget; gives it back when it is destroyed.
class MemoryHold
{
public:
    explicit MemoryHold(MemoryBudget &budget)
        : budget_(budget)
    {
    }
    ~MemoryHold()
    {
        set(0);
    }
    MemoryHold(const MemoryHold &) = delete;
    MemoryHold &operator=(const MemoryHold &) = delete;

    /// Changes what is held to so many bytes.
    void set(std::size_t bytes)
    {
        if (bytes > bytes_) {
            budget_.take(bytes - bytes_);
        } else if (bytes < bytes_) {
            budget_.giveBack(bytes_ - bytes);
        }
        bytes_ = bytes;
    }

    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    MemoryBudget &budget_;
    std::size_t bytes_ = 0;
};

/// Returns the text as one that is in the account until its last owner is gone.
SharedText heldIn(const std::shared_ptr<MemoryBudget> &budget, SharedText text);

} // namespace Burdock
