#include <burdock/router/decisionlog.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace Burdock
{

namespace
{

/// The most bytes that wait, and the parts of it from which routine lines and troubles are dropped.
constexpr std::size_t BufferBytes = 262144;
constexpr std::size_t RoutineBytes = BufferBytes / 4;
constexpr std::size_t TroubleBytes = BufferBytes / 2;
/// A pipe that polls as writable takes this much without blocking (PIPE_BUF).
constexpr std::size_t WriteBytes = 4096;
/// Lines are written together after this time, since each write costs a system call.
constexpr Duration FlushAfter = std::chrono::milliseconds(100);

void appendEscaped(std::string &line, std::string_view text)
{
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            line += '\\';
            line += letter;
        } else if (byte < ' ' || byte > '~') {
            std::array<char, 8> code{};
            std::snprintf(code.data(), code.size(), "\\u%04x", byte);
            line += code.data();
        } else {
            line += letter;
        }
    }
}

void appendNumber(std::string &line, std::int64_t number)
{
    std::array<char, 24> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
    line.append(digits.data(), end);
}

} // namespace

DecisionLog::DecisionLog(Runtime &runtime, int descriptor, std::string instance)
    : runtime_(runtime)
    , descriptor_(descriptor)
    , instance_(std::move(instance))
{
}

DecisionLog::~DecisionLog()
{
    runtime_.cancel(timer_);
    flush();
}

bool DecisionLog::hasRoom(DecisionWeight weight) const
{
    constexpr std::array<std::size_t, 3> Bounds{RoutineBytes, TroubleBytes, BufferBytes};
    return waiting_.size() < Bounds[static_cast<std::size_t>(weight)];
}

void DecisionLog::write(DecisionWeight weight, std::string_view event, std::initializer_list<DecisionField> fields)
{
    if (!hasRoom(weight)) {
        ++dropped_;
        return;
    }
    append(event, fields);
    flushLater();
}

void DecisionLog::append(std::string_view event, std::initializer_list<DecisionField> fields)
{
    waiting_ += "{\"ms\":";
    appendNumber(waiting_, runtime_.wallNow().time_since_epoch() / std::chrono::milliseconds(1));
    waiting_.append(",\"instance\":\"").append(instance_).append("\",\"event\":\"").append(event).append("\"");
    for (const DecisionField &field : fields) {
        waiting_.append(",\"").append(field.name).append("\":");
        if (const auto *number = std::get_if<std::int64_t>(&field.value)) {
            appendNumber(waiting_, *number);
        } else {
            waiting_ += '"';
            appendEscaped(waiting_, std::get<std::string_view>(field.value));
            waiting_ += '"';
        }
    }
    waiting_ += "}\n";
}

void DecisionLog::flushLater()
{
    if (timer_ == 0) {
        timer_ = runtime_.schedule(FlushAfter, [this] {
            timer_ = 0;
            flush();
        });
    }
}

void DecisionLog::flush()
{
    if (droppedTold_ != dropped_ && waiting_.size() < RoutineBytes) {
        append("log.dropped", {{"lines", static_cast<std::int64_t>(dropped_ - droppedTold_)}});
        droppedTold_ = dropped_;
    }
    std::size_t done = 0;
    while (done < waiting_.size()) {
        pollfd ready{descriptor_, POLLOUT, 0};
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        const ssize_t written = ::write(descriptor_, waiting_.data() + done, std::min(WriteBytes, waiting_.size() - done));
        if (written <= 0) {
            break;
        }
        done += static_cast<std::size_t>(written);
    }
    waiting_.erase(0, done);
    if (!waiting_.empty()) {
        flushLater();
    }
}

} // namespace Burdock
