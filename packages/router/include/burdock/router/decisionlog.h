#pragma once

#include <burdock/values/runtime.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace Burdock
{

/// A named field of a log line; the value is text or a number.
struct DecisionField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t> value;
};

/// The priority of a log line; a full buffer drops the lines of low priority first.
enum class DecisionPriority {
    /// A request that succeeded; dropped first.
    Routine,
    /// A request that failed, or a failed step of one.
    Problem,
    /// A change of the process's state or of its view of the system; dropped last.
    Change,
};

/// Writes structured log lines about decisions as JSON to a file descriptor, usually standard output.
///
/// Lines are buffered up to a fixed size and written from the event loop only while the descriptor is writable, so logging never
/// blocks. Lines that do not fit are dropped and counted, routine lines first; the count is logged once there is room again.
class DecisionLog
{
public:
    DecisionLog(Runtime &runtime, int descriptor, std::string instance);
    ~DecisionLog();
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;

    /// Appends a line to the buffer, or drops it if the buffer is too full for its priority.
    void write(DecisionPriority priority, std::string_view event, std::initializer_list<DecisionField> fields);

    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    bool hasRoom(DecisionPriority priority) const;
    void append(std::string_view event, std::initializer_list<DecisionField> fields);
    void scheduleFlush();

    Runtime &runtime_;
    const int descriptor_;
    const std::string instance_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reportedDropped_ = 0;
    TimerId timer_ = 0;
};

} // namespace Burdock
