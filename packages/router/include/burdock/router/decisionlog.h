#pragma once

#include <burdock/values/runtime.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace Burdock
{

/// One named value of a decision: text, or a number.
struct DecisionField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t> value;
};

/// How much a line matters when there is no room for all.
enum class DecisionPriority {
    /// A request that went well; dropped first.
    Routine,
    /// A request that went badly, or one step of it.
    Problem,
    /// A change of what the process believes.
    Change,
};

/// Structured lines about decisions, as JSON on standard output.
///
/// Lines wait in a buffer of fixed size and are written from the loop only when the reader has room, so logging never blocks.
/// What does not fit is dropped and counted, routine lines first; the count is logged once there is room again.
class DecisionLog
{
public:
    DecisionLog(Runtime &runtime, int descriptor, std::string instance);
    ~DecisionLog();
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;

    void write(DecisionPriority priority, std::string_view event, std::initializer_list<DecisionField> fields);

    /// Writes what waits, as far as the reader has room.
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
