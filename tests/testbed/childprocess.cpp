#include "childprocess.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace Burdock
{

namespace
{
constexpr int LineTimeoutMs = 10000;
constexpr int SignalExitBase = 128;
} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &outputPath)
{
    std::array<int, 2> pipeEnds{};
    if (pipe2(pipeEnds.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (outputPath.empty()) {
        posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    } else {
        constexpr mode_t OwnerOnly = 0600;
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, OwnerOnly);
    }
    std::vector<char *> argv{const_cast<char *>(program.c_str())};
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipeEnds[1]);
    output_ = pipeEnds[0];
    if (error != 0) {
        close(output_);
        throw std::runtime_error("cannot start " + program);
    }
}

ChildProcess::~ChildProcess()
{
    if (isRunning()) {
        ::kill(pid_, SIGKILL);
        wait();
    }
    close(output_);
}

std::string ChildProcess::readLine()
{
    for (;;) {
        const auto end = buffer_.find('\n');
        if (end != std::string::npos) {
            std::string line = buffer_.substr(0, end);
            buffer_.erase(0, end + 1);
            return line;
        }
        pollfd ready{output_, POLLIN, 0};
        std::array<char, 4096> chunk{};
        const ssize_t count = poll(&ready, 1, LineTimeoutMs) == 1 ? read(output_, chunk.data(), chunk.size()) : 0;
        if (count <= 0) {
            return {};
        }
        buffer_.append(chunk.data(), static_cast<std::size_t>(count));
    }
}

std::string ChildProcess::readAll()
{
    std::string text;
    for (std::string line = readLine(); !line.empty(); line = readLine()) {
        text += line + '\n';
    }
    return text + buffer_;
}

void ChildProcess::signal(int number)
{
    if (pid_ > 0 && exitCode_ < 0) {
        sentSignals_.insert(number);
        ::kill(pid_, number);
    }
}

std::string ChildProcess::faultyEnd()
{
    if (isRunning() || exitCode_ == 0) {
        return {};
    }
    for (const int asked : {SIGINT, SIGTERM, SIGKILL}) {
        if (exitCode_ == SignalExitBase + asked && sentSignals_.count(asked) > 0) {
            return {};
        }
    }
    return "exited with code " + std::to_string(exitCode_);
}

int ChildProcess::wait()
{
    int status = 0;
    if (exitCode_ < 0 && waitpid(pid_, &status, 0) == pid_) {
        exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : SignalExitBase + WTERMSIG(status);
    }
    return exitCode_;
}

bool ChildProcess::isRunning()
{
    int status = 0;
    if (exitCode_ < 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
        exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : SignalExitBase + WTERMSIG(status);
    }
    return exitCode_ < 0;
}

} // namespace Burdock
