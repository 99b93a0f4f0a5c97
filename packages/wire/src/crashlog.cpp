#include <burdock/wire/crashlog.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <event2/event.h>
#include <exception>
#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace Burdock
{

namespace
{

/// A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t MaxLineBytes = 4096;
constexpr std::size_t MaxTextBytes = 512;
constexpr std::size_t MaxNameBytes = 48;
constexpr std::size_t MaxModules = 32;
constexpr int MaxFrames = 64;
constexpr std::size_t HandlerStackBytes = 131072;
constexpr std::uint64_t MillisecondsPerSecond = 1000;
constexpr std::uint64_t NanosecondsPerMillisecond = 1000000;
constexpr const char *ProgramName = "program";

struct FatalSignal
{
    int number;
    const char *name;
};

constexpr std::array<FatalSignal, 5> FatalSignals{{{SIGSEGV, "SIGSEGV"}, {SIGABRT, "SIGABRT"}, {SIGBUS, "SIGBUS"}, {SIGFPE, "SIGFPE"}, {SIGILL, "SIGILL"}}};

/// A text in a fixed buffer; what does not fit is cut off. All its functions are safe in a signal handler.
template<std::size_t Capacity>
class FixedText
{
public:
    void add(std::string_view text)
    {
        const std::size_t length = std::min(text.size(), Capacity - size_);
        std::memcpy(bytes_.data() + size_, text.data(), length);
        size_ += length;
    }

    void addNumber(std::uint64_t number, unsigned base = 10)
    {
        constexpr std::string_view Digits = "0123456789abcdef";
        std::array<char, 20> digits{};
        std::size_t begin = digits.size();
        do {
            digits[--begin] = Digits[number % base];
            number /= base;
        } while (number > 0);
        add(std::string_view(digits.data() + begin, digits.size() - begin));
    }

    void addAddress(std::uintptr_t address)
    {
        constexpr unsigned Hexadecimal = 16;
        add("0x");
        addNumber(address, Hexadecimal);
    }

    /// Adds a text for use in a JSON string. Bytes outside printable ASCII, quotes and backslashes become `?`.
    void addPlain(std::string_view text)
    {
        for (const char letter : text) {
            const bool plain = letter >= ' ' && letter <= '~' && letter != '"' && letter != '\\';
            add(plain ? std::string_view(&letter, 1) : std::string_view("?"));
        }
    }

    std::string_view text() const
    {
        return {bytes_.data(), size_};
    }

    std::size_t room() const
    {
        return Capacity - size_;
    }

private:
    std::array<char, Capacity> bytes_{};
    std::size_t size_ = 0;
};

/// The program or a shared library, and where it is loaded.
struct Module
{
    FixedText<MaxNameBytes> name;
    std::uintptr_t loadAddress = 0;
    std::uintptr_t begin = 0;
    std::uintptr_t end = 0;
};

/// Everything that the handlers need. It is filled in before, because little may be called in a signal handler.
struct CrashState
{
    int descriptor = -1;
    FixedText<MaxTextBytes> instance;
    FixedText<MaxTextBytes> exception;
    std::array<Module, MaxModules> modules;
    std::size_t moduleCount = 0;
    const std::string *waiting = nullptr;
    std::array<struct sigaction, FatalSignals.size()> previous{};
    std::array<char, HandlerStackBytes> stack{};
};

CrashState &state()
{
    static CrashState instance;
    return instance;
}

int addModule(dl_phdr_info *info, std::size_t, void *)
{
    CrashState &crash = state();
    if (crash.moduleCount == MaxModules) {
        return 1;
    }
    Module &module = crash.modules[crash.moduleCount++];
    const std::string_view path = info->dlpi_name;
    const std::string_view name = path.substr(path.find_last_of('/') + 1);
    module.name.addPlain(name.empty() ? ProgramName : name);
    module.loadAddress = info->dlpi_addr;
    module.begin = UINTPTR_MAX;
    for (int index = 0; index < info->dlpi_phnum; ++index) {
        const ElfW(Phdr) &segment = info->dlpi_phdr[index];
        if (segment.p_type == PT_LOAD) {
            module.begin = std::min<std::uintptr_t>(module.begin, info->dlpi_addr + segment.p_vaddr);
            module.end = std::max<std::uintptr_t>(module.end, info->dlpi_addr + segment.p_vaddr + segment.p_memsz);
        }
    }
    return 0;
}

using Line = FixedText<MaxLineBytes>;

void addFrame(Line &line, std::uintptr_t address)
{
    const CrashState &crash = state();
    const auto *end = crash.modules.data() + crash.moduleCount;
    const auto *module =
        std::find_if(crash.modules.data(), end, [address](const Module &candidate) { return address >= candidate.begin && address < candidate.end; });
    if (module != end) {
        line.add(module->name.text());
        line.add("+");
        address -= module->loadAddress;
    }
    line.addAddress(address);
}

void addStack(Line &line)
{
    constexpr std::size_t MaxFrameBytes = MaxNameBytes + 24;
    std::array<void *, MaxFrames> frames{};
    const int count = backtrace(frames.data(), MaxFrames);
    for (int index = 0; index < count && line.room() > 2 * MaxFrameBytes; ++index) {
        line.add(index == 0 ? "\"" : ",\"");
        addFrame(line, reinterpret_cast<std::uintptr_t>(frames[static_cast<std::size_t>(index)]));
        line.add("\"");
    }
}

std::uint64_t wallMilliseconds()
{
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * MillisecondsPerSecond + static_cast<std::uint64_t>(time.tv_nsec) / NanosecondsPerMillisecond;
}

/// Writes in pieces that the descriptor accepts without blocking; what it does not accept is dropped.
void writeWithoutBlocking(std::string_view text)
{
    pollfd ready{state().descriptor, POLLOUT, 0};
    while (!text.empty() && poll(&ready, 1, 0) > 0 && (ready.revents & POLLOUT) != 0) {
        const ssize_t written = write(state().descriptor, text.data(), std::min(text.size(), MaxLineBytes));
        if (written <= 0) {
            return;
        }
        text.remove_prefix(static_cast<std::size_t>(written));
    }
}

void onFatalSignal(int number, siginfo_t *info, void *)
{
    const int error = errno;
    std::size_t index = 0;
    while (index + 1 < FatalSignals.size() && FatalSignals[index].number != number) {
        ++index;
    }
    // A fault of this handler itself must end the process.
    sigaction(number, &state().previous[index], nullptr);
    Line line;
    line.add("{\"ms\":");
    line.addNumber(wallMilliseconds());
    line.add(",\"instance\":\"");
    line.add(state().instance.text());
    line.add("\",\"event\":\"ended\",\"signal\":");
    line.addNumber(static_cast<std::uint64_t>(number));
    line.add(",\"name\":\"");
    line.add(FatalSignals[index].name);
    line.add("\",\"address\":\"");
    // A signal that another process sent has no address.
    line.addAddress(info->si_code > 0 ? reinterpret_cast<std::uintptr_t>(info->si_addr) : 0);
    line.add("\",\"sent\":");
    line.addNumber(info->si_code > 0 ? 0 : 1);
    line.add(",\"exception\":\"");
    line.add(state().exception.text());
    line.add("\",\"stack\":[");
    // Written first, because reading a damaged stack may fault.
    writeWithoutBlocking(line.text());
    Line stack;
    addStack(stack);
    stack.add("]}\n");
    writeWithoutBlocking(stack.text());
    // Last, because the text may be in the middle of a change.
    if (state().waiting != nullptr) {
        writeWithoutBlocking(*state().waiting);
    }
    errno = error;
    // Takes effect when this handler returns, because the signal is blocked until then.
    raise(number);
}

[[noreturn]] void onTerminate()
{
    FixedText<MaxTextBytes> &text = state().exception;
    try {
        if (const std::exception_ptr exception = std::current_exception()) {
            std::rethrow_exception(exception);
        }
        text.add("terminated without an exception");
    } catch (const std::exception &exception) {
        text.addPlain(exception.what());
    } catch (...) {
        text.add("an exception of another type");
    }
    std::abort();
}

/// libevent would exit with status 1.
void onLibraryFailed(int)
{
    state().exception.add("a fatal error of libevent, which standard error names");
    std::abort();
}

} // namespace

void CrashLog::install(int descriptor, std::string_view instance)
{
    CrashState &crash = state();
    crash.descriptor = descriptor;
    crash.instance.addPlain(instance);
    dl_iterate_phdr(&addModule, nullptr);
    // The first call loads a library, which is not allowed in a signal handler.
    std::array<void *, 1> frame{};
    backtrace(frame.data(), 1);
    stack_t stack{};
    stack.ss_sp = crash.stack.data();
    stack.ss_size = crash.stack.size();
    sigaltstack(&stack, nullptr);
    struct sigaction action
    {
    };
    action.sa_sigaction = &onFatalSignal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK;
    sigfillset(&action.sa_mask);
    for (std::size_t index = 0; index < FatalSignals.size(); ++index) {
        sigaction(FatalSignals[index].number, &action, &crash.previous[index]);
    }
    std::set_terminate(&onTerminate);
    event_set_fatal_callback(&onLibraryFailed);
}

void CrashLog::setWaiting(const std::string *lines)
{
    state().waiting = lines;
}

} // namespace Burdock
