#include <burdock/router/decisionlog.h>

#include <burdock/wire/crashlog.h>

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

/// The maximum size of the buffer, and the fill levels from which routine lines and problems are dropped.
constexpr std::size_t MaxBufferBytes = 262144;
constexpr std::size_t MaxRoutineBytes = MaxBufferBytes / 4;
constexpr std::size_t MaxProblemBytes = MaxBufferBytes / 2;
/// A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t MaxWriteBytes = 4096;
/// Lines are collected for this time before they are written, because each write is a system call.
constexpr Duration FlushDelay = std::chrono::milliseconds(100);

void appendEscaped(std::string &line, std::string_view text)
{
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (byte < ' ' || byte > '~') {
            std::array<char, 8> code{};
            std::snprintf(code.data(), code.size(), "\\u%04x", byte);
            line += code.data();
        } else {
            line += character;
        }
    }
}

/// The length of the longest piece of whole lines that one write takes; a line that is longer is cut.
std::size_t pieceLength(std::string_view text)
{
    if (text.size() <= MaxWriteBytes) {
        return text.size();
    }
    const std::size_t end = text.rfind('\n', MaxWriteBytes - 1);
    return end == std::string_view::npos ? MaxWriteBytes : end + 1;
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
    CrashLog::setWaiting(&buffer_);
}

DecisionLog::~DecisionLog()
{
    CrashLog::setWaiting(nullptr);
    runtime_.cancel(timer_);
    flush();
}

bool DecisionLog::hasRoom(DecisionPriority priority) const
{
    constexpr std::array<std::size_t, 3> MaxBytes{MaxRoutineBytes, MaxProblemBytes, MaxBufferBytes};
    return buffer_.size() < MaxBytes[static_cast<std::size_t>(priority)];
}

void DecisionLog::write(DecisionPriority priority, std::string_view event, std::initializer_list<DecisionField> fields)
{
    if (!hasRoom(priority)) {
        ++dropped_;
        return;
    }
    append(event, fields);
    scheduleFlush();
}

void DecisionLog::append(std::string_view event, std::initializer_list<DecisionField> fields)
{
    buffer_ += "{\"ms\":";
    appendNumber(buffer_, runtime_.wallNow().time_since_epoch() / std::chrono::milliseconds(1));
    buffer_.append(",\"instance\":\"").append(instance_).append("\",\"event\":\"").append(event).append("\"");
    for (const DecisionField &field : fields) {
        buffer_.append(",\"").append(field.name).append("\":");
        if (const auto *number = std::get_if<std::int64_t>(&field.value)) {
            appendNumber(buffer_, *number);
        } else {
            buffer_ += '"';
            appendEscaped(buffer_, std::get<std::string_view>(field.value));
            buffer_ += '"';
        }
    }
    buffer_ += "}\n";
}

void DecisionLog::scheduleFlush()
{
    if (timer_ == 0) {
        timer_ = runtime_.schedule(FlushDelay, [this] {
            timer_ = 0;
            flush();
        });
    }
}

void DecisionLog::flush()
{
    if (reportedDropped_ != dropped_ && buffer_.size() < MaxRoutineBytes) {
        append("log.dropped", {{"lines", static_cast<std::int64_t>(dropped_ - reportedDropped_)}});
        reportedDropped_ = dropped_;
    }
    std::size_t writtenBytes = 0;
    while (writtenBytes < buffer_.size()) {
        pollfd ready{descriptor_, POLLOUT, 0};
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        // Pieces end with a line, because other writers of the descriptor may write between them.
        const std::string_view left = std::string_view(buffer_).substr(writtenBytes);
        const ssize_t written = ::write(descriptor_, left.data(), pieceLength(left));
        if (written <= 0) {
            break;
        }
        writtenBytes += static_cast<std::size_t>(written);
    }
    buffer_.erase(0, writtenBytes);
    if (!buffer_.empty()) {
        scheduleFlush();
    }
}

} // namespace Burdock
